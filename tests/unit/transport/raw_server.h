#ifndef HICKORYWOOD_TESTS_UNIT_TRANSPORT_RAW_SERVER_H_
#define HICKORYWOOD_TESTS_UNIT_TRANSPORT_RAW_SERVER_H_

#include <atomic>
#include <cstdint>
#include <thread>

namespace hickorywood::transport {

// A server on plain sockets that handles one connection at a time and closes it
// as scripted.
class raw_server {
 public:
  enum class script {
    kAnswer,                  // answers each request
    kAnswerThenReadAndClose,  // first connection: answers one request, reads
                              // the next and closes
    kReadAndClose,            // reads a request and closes
    kTruncatedBody,           // sends less body than Content-Length
  };

  explicit raw_server(script behavior);
  ~raw_server();

  uint16_t Port() const { return port_; }
  int Requests() const { return requests_; }

 private:
  void Run();
  void Serve(int client, int connection);
  bool ReadRequest(int client);

  const script script_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<int> requests_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace hickorywood::transport

#endif  // HICKORYWOOD_TESTS_UNIT_TRANSPORT_RAW_SERVER_H_
