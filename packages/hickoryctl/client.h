#ifndef HICKORYWOOD_HICKORYCTL_CLIENT_H_
#define HICKORYWOOD_HICKORYCTL_CLIENT_H_

#include <chrono>
#include <string>

namespace hickorywood::hickoryctl {

// The instance that receives the requests.
struct server {
  std::string address;  // "IP:PORT" of a caller listener
  std::string token;    // an operator's token; empty: none
};

struct reply {
  bool is_answered = false;
  int status = 0;
  std::string body;
  std::string error;  // set if there was no response
};

// Sends a request and waits for the response.
reply SendRequest(const server& target, const std::string& method,
                  const std::string& path, const std::string& body,
                  std::chrono::milliseconds timeout);

}  // namespace hickorywood::hickoryctl

#endif  // HICKORYWOOD_HICKORYCTL_CLIENT_H_
