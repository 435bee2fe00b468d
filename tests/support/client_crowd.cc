#include "support/client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace hickorywood::testing {
namespace {

// Time without any transfer after which a crowd is quiet. It only decides when
// a test looks, not what it expects.
constexpr std::chrono::milliseconds kQuietTime{400};
constexpr std::chrono::milliseconds kPollPeriod{20};
// End of a wait for a crowd that never becomes quiet.
constexpr std::chrono::seconds kLongestWait{25};
// Least size of one write, so that short fillers are sent together.
constexpr size_t kWriteBytes = 64UL * 1024;

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int Connect(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  const int result =
      connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof target);
  if (result == 0 || errno == EINPROGRESS) return fd;
  close(fd);
  return -1;
}

client_script WithLongFiller(client_script script) {
  if (script.filler.empty()) return script;
  const std::string unit = script.filler;
  while (script.filler.size() < kWriteBytes) script.filler += unit;
  // No unit is sent in part.
  script.filler_bytes -= script.filler_bytes % unit.size();
  return script;
}

}  // namespace

client_crowd::client_crowd(const std::string& address, client_script script,
                           int clients)
    : script_(WithLongFiller(std::move(script))), last_activity_ms_(NowMs()) {
  for (int i = 0; i < clients; ++i) {
    client item;
    item.fd = Connect(address);
    if (item.fd >= 0) ++connected_;
    clients_.push_back(item);
  }
  thread_ = std::thread([this] { Run(); });
}

client_crowd::~client_crowd() {
  is_stopping_ = true;
  thread_.join();
  for (const client& item : clients_) {
    if (item.fd >= 0) close(item.fd);
  }
}

void client_crowd::WaitUntilQuiet() const {
  const int64_t limit =
      NowMs() + std::chrono::milliseconds(kLongestWait).count();
  while (NowMs() - last_activity_ms_ < kQuietTime.count() && NowMs() < limit) {
    std::this_thread::sleep_for(kPollPeriod);
  }
}

size_t client_crowd::TotalBytes() const {
  return script_.start.size() + script_.filler_bytes + script_.end.size();
}

void client_crowd::Run() {
  while (!is_stopping_) {
    std::vector<pollfd> waiting;
    std::vector<client*> owners;
    for (client& item : clients_) {
      if (item.fd < 0) continue;
      const bool sends = item.sent < TotalBytes();
      short events = sends ? POLLOUT : 0;
      if (script_.reads_answers) events = static_cast<short>(events | POLLIN);
      waiting.push_back({item.fd, events, 0});
      owners.push_back(&item);
    }
    const int ready = poll(waiting.data(), waiting.size(),
                           static_cast<int>(kPollPeriod.count()));
    if (ready <= 0) continue;
    for (size_t i = 0; i < waiting.size(); ++i) {
      client& item = *owners[i];
      const short events = waiting[i].revents;
      bool is_open = (events & (POLLERR | POLLHUP)) == 0;
      if ((events & POLLIN) != 0) is_open = Receive(item);
      if (is_open && (events & POLLOUT) != 0) is_open = Send(item);
      if (is_open) continue;
      close(item.fd);
      item.fd = -1;
    }
  }
}

// Returns false when the connection has ended.
bool client_crowd::Send(client& item) {
  const size_t filler_end = script_.start.size() + script_.filler_bytes;
  const char* data = nullptr;
  size_t size = 0;
  if (item.sent < script_.start.size()) {
    data = script_.start.data() + item.sent;
    size = script_.start.size() - item.sent;
  } else if (item.sent < filler_end) {
    const size_t done = item.sent - script_.start.size();
    const size_t position = done % script_.filler.size();
    data = script_.filler.data() + position;
    size =
        std::min(script_.filler.size() - position, script_.filler_bytes - done);
  } else {
    data = script_.end.data() + (item.sent - filler_end);
    size = TotalBytes() - item.sent;
  }
  const ssize_t count = send(item.fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count < 0) return errno == EAGAIN || errno == ENOTCONN;
  item.sent += static_cast<size_t>(count);
  if (count > 0) last_activity_ms_ = NowMs();
  return true;
}

bool client_crowd::Receive(client& item) {
  char bytes[4096];
  const ssize_t count = recv(item.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (count < 0) return errno == EAGAIN;
  if (count == 0) return false;
  last_activity_ms_ = NowMs();
  if (!std::exchange(item.is_answered, true)) ++answered_;
  return true;
}

}  // namespace hickorywood::testing
