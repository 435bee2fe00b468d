#ifndef HICKORYWOOD_TESTS_SUPPORT_CLIENT_CROWD_H_
#define HICKORYWOOD_TESTS_SUPPORT_CLIENT_CROWD_H_

// Clients that send what they like: each of them opens one connection, sends
// its bytes as fast as the server accepts them, and stays connected.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace hickorywood::testing {

// What each client of a crowd sends: the start, the filler repeated until
// `filler_bytes` are sent, and the end.
struct client_script {
  std::string name;
  std::string start;
  std::string filler;
  size_t filler_bytes = 0;
  std::string end;
  bool reads_answers = true;
};

class client_crowd {
 public:
  // Connects `clients` clients to "IP:PORT" and starts to send.
  client_crowd(const std::string& address, client_script script, int clients);
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  // Waits until no client has been able to send or receive for some time. The
  // clients stay connected.
  void WaitUntilQuiet() const;
  // Number of clients that the server has answered.
  int Answered() const { return answered_; }
  // Number of clients that were connected at all.
  int Connected() const { return connected_; }

 private:
  struct client {
    int fd = -1;
    size_t sent = 0;
    bool is_answered = false;
  };

  void Run();
  bool Send(client& item);
  bool Receive(client& item);
  size_t TotalBytes() const;

  const client_script script_;
  std::vector<client> clients_;
  std::atomic<int> answered_{0};
  int connected_ = 0;
  std::atomic<int64_t> last_activity_ms_{0};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_CLIENT_CROWD_H_
