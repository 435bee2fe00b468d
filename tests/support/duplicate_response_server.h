#ifndef HICKORYWOOD_TESTS_SUPPORT_DUPLICATE_RESPONSE_SERVER_H_
#define HICKORYWOOD_TESTS_SUPPORT_DUPLICATE_RESPONSE_SERVER_H_

// A server on plain sockets that sends two responses to each request, according
// to a script.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "net/message.h"

namespace hickorywood::net {

// The request id in the second response.
enum class named_request { kNone, kRepeated, kOther };

enum class answer_form {
  kComplete,
  kCut,            // body is shorter than its Content-Length
  kWithoutLength,  // no Content-Length, and the connection stays open
};

enum class second_moment {
  kNever,
  kImmediate,           // in the same write as the first response
  kLate,                // `delay` after the first response
  kBeforeNextResponse,  // before the response to the next request of the
                        // connection
};

struct duplicate_response {
  named_request named = named_request::kRepeated;
  answer_form form = answer_form::kComplete;
  second_moment moment = second_moment::kImmediate;
  std::chrono::milliseconds delay{0};
  // Processing time of a request. The first request takes no time.
  std::chrono::milliseconds work{0};
  bool contains_own_id = true;  // first responses contain the request id
  bool sends_interim = false;   // sends interim 1xx responses first
  int failures = 0;  // number of initial requests that get status 500
};
std::ostream& operator<<(std::ostream& out, const duplicate_response& input);

// All combinations of request id, form and time of a second response.
std::vector<duplicate_response> AllDuplicateResponses();

struct scripted_answer {
  int status = 200;
  std::string body;
};

class duplicate_response_server {
 public:
  // Returns the body of the first or second response to the request with the
  // number `count`, starting at 1.
  using answer_maker = std::function<std::string(const request& input,
                                                 int count, bool is_second)>;
  // Like answer_maker, with a status, and with a script for each request.
  using scripted_maker = std::function<scripted_answer(
      const request& input, int count, bool is_second)>;
  using script_maker = std::function<duplicate_response(const request& input)>;

  duplicate_response_server(boost::asio::io_context& loop,
                            const duplicate_response& script,
                            answer_maker answer);
  duplicate_response_server(boost::asio::io_context& loop, script_maker scripts,
                            scripted_maker answer);
  // Closes all connections.
  ~duplicate_response_server();
  duplicate_response_server(const duplicate_response_server&) = delete;
  duplicate_response_server& operator=(const duplicate_response_server&) =
      delete;

  std::string Address() const;
  // Number of received requests and of accepted connections.
  int Requests() const;
  int Connections() const;

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_TESTS_SUPPORT_DUPLICATE_RESPONSE_SERVER_H_
