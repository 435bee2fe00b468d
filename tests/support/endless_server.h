#ifndef HICKORYWOOD_TESTS_SUPPORT_ENDLESS_SERVER_H_
#define HICKORYWOOD_TESTS_SUPPORT_ENDLESS_SERVER_H_

// A server that answers each request with bytes without end, until its caller
// closes the connection.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace hickorywood::testing {

struct endless_response {
  std::string name;
  std::string begin;   // sent once
  std::string filler;  // sent again and again
};

// The id that the complete heads among the responses contain.
constexpr char kEndlessRequestId[] = "endless";

// Responses whose head, body or framing has no end.
std::vector<endless_response> EndlessResponses();
// Event streams with a valid head and an event that has no end, or lines that
// are no events.
std::vector<endless_response> EndlessStreams();

class endless_server {
 public:
  explicit endless_server(endless_response script);
  ~endless_server();
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  uint16_t Port() const { return port_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Bytes sent on all connections, including those in socket buffers.
  size_t Sent() const { return sent_; }
  // Requests that were received.
  int Requests() const { return requests_; }

 private:
  void Run();
  void Serve(int client);

  const endless_response script_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<size_t> sent_{0};
  std::atomic<int> requests_{0};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_ENDLESS_SERVER_H_
