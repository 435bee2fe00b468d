#ifndef HICKORYWOOD_TESTS_SUPPORT_STUTTERING_SERVER_H_
#define HICKORYWOOD_TESTS_SUPPORT_STUTTERING_SERVER_H_

// A server on plain sockets that answers each request twice, as scripted.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "net/message.h"

namespace hickorywood::net {

// The request that a second answer names.
enum class named_request { kNone, kRepeated, kOther };

enum class answer_form {
  kWhole,
  kCut,       // ends before the length that it names
  kUnframed,  // names no length and leaves the connection open
};

enum class second_moment {
  kNever,
  kBehind,      // in one piece with the first answer
  kLate,        // `delay` after it
  kBeforeNext,  // before the answer to the next request of the connection
};

struct stutter {
  named_request named = named_request::kRepeated;
  answer_form form = answer_form::kWhole;
  second_moment moment = second_moment::kBehind;
  std::chrono::milliseconds delay{0};
  // Time that a request takes; the first one takes none.
  std::chrono::milliseconds work{0};
  bool names_own = true;       // the first answers name their requests
  bool sends_interim = false;  // answers that tell of a later one come first
  int failures = 0;            // so many requests are answered 500 first
};
std::ostream& operator<<(std::ostream& out, const stutter& input);

// All ways of a second answer: whom it names, its form, when it comes.
std::vector<stutter> AllStutters();

struct scripted_answer {
  int status = 200;
  std::string body;
};

class stuttering_server {
 public:
  // The bytes of the body that answers the request number `count`, from 1, as
  // the first or the second answer.
  using answer_maker = std::function<std::string(const request& input,
                                                 int count, bool is_second)>;
  // The same with a status, and the script for each request.
  using scripted_maker = std::function<scripted_answer(
      const request& input, int count, bool is_second)>;
  using script_maker = std::function<stutter(const request& input)>;

  stuttering_server(boost::asio::io_context& loop, const stutter& script,
                    answer_maker answer);
  stuttering_server(boost::asio::io_context& loop, script_maker scripts,
                    scripted_maker answer);
  // Closes all connections too.
  ~stuttering_server();
  stuttering_server(const stuttering_server&) = delete;
  stuttering_server& operator=(const stuttering_server&) = delete;

  std::string Address() const;
  // Requests that arrived, and connections.
  int Requests() const;
  int Connections() const;

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_TESTS_SUPPORT_STUTTERING_SERVER_H_
