#include "support/fault_proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hickorywood::testing {
namespace {

using steady = std::chrono::steady_clock;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int ListenOnFreePort(uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    return -1;
  }
  listen(fd, 512);
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// Closes a connection with a reset, as the kernel does for a process that
// crashed.
void Reset(int fd) {
  if (fd < 0) return;
  const linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(fd);
}

struct delayed_piece {
  steady::time_point due;
  std::string bytes;
};

// One direction of a connection.
struct direction {
  int from = -1;
  int to = -1;
  bool is_answer = false;
  bool is_closed = false;  // `from` has closed its side
  bool is_close_forwarded = false;
  std::deque<delayed_piece> pieces;
};

struct connection {
  direction request;
  direction answer;
  bool is_blackholed = false;
  bool is_dead = false;
};

struct link {
  int listener = -1;
  uint16_t port = 0;
  uint16_t target = 0;
  link_fault fault = link_fault::kNone;
  std::chrono::milliseconds delay{0};
  std::vector<std::unique_ptr<connection>> connections;
};

}  // namespace

struct fault_proxy::impl {
  std::mutex mutex;
  std::map<uint16_t, link> links;  // guarded by mutex
  bool stopping = false;           // guarded by mutex
  int wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  std::thread thread;

  void Wake() const {
    const uint64_t one = 1;
    if (write(wake_fd, &one, sizeof(one)) < 0) return;
  }
  void Run();
  int CollectDescriptors(std::vector<pollfd>& fds);
  void Serve(link& item, std::map<int, short>& ready);
  static void Accept(link& item);
  static void Read(const link& item, connection& pair, direction& way);
  static void Deliver(connection& pair, direction& way, steady::time_point now);
  static void CloseAll(link& item);
};

void fault_proxy::impl::Accept(link& item) {
  for (;;) {
    const int client =
        accept4(item.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) return;
    if (item.fault == link_fault::kCut || item.target == 0) {
      Reset(client);
      continue;
    }
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(item.target);
    if (connect(server, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      Reset(client);
      close(server);
      continue;
    }
    fcntl(server, F_SETFL, O_NONBLOCK);
    const int on = 1;
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto pair = std::make_unique<connection>();
    pair->request.from = client;
    pair->request.to = server;
    pair->answer.from = server;
    pair->answer.to = client;
    pair->answer.is_answer = true;
    item.connections.push_back(std::move(pair));
  }
}

void fault_proxy::impl::Read(const link& item, connection& pair,
                             direction& way) {
  char buffer[65536];
  const ssize_t count = recv(way.from, buffer, sizeof(buffer), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count < 0) {
    pair.is_dead = true;
    return;
  }
  const bool is_dropped =
      pair.is_blackholed || item.fault == link_fault::kBlackhole ||
      (item.fault == link_fault::kDropResponses && way.is_answer);
  if (count == 0) {
    way.is_closed = true;
    way.is_close_forwarded = is_dropped;
    return;
  }
  if (is_dropped) return;
  way.pieces.push_back({steady::now() + item.delay,
                        std::string(buffer, static_cast<size_t>(count))});
}

void fault_proxy::impl::Deliver(connection& pair, direction& way,
                                steady::time_point now) {
  while (!way.pieces.empty() && way.pieces.front().due <= now) {
    std::string& bytes = way.pieces.front().bytes;
    const ssize_t count =
        send(way.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count < 0) {
      pair.is_dead = true;
      return;
    }
    bytes.erase(0, static_cast<size_t>(count));
    if (!bytes.empty()) return;
    way.pieces.pop_front();
  }
  if (way.is_closed && !way.is_close_forwarded && way.pieces.empty()) {
    shutdown(way.to, SHUT_WR);
    way.is_close_forwarded = true;
  }
}

void fault_proxy::impl::CloseAll(link& item) {
  for (const auto& pair : item.connections) {
    Reset(pair->request.from);
    Reset(pair->request.to);
  }
  item.connections.clear();
}

// Fills in the descriptors to poll and returns the poll timeout, which expires
// when the next delayed piece is due.
int fault_proxy::impl::CollectDescriptors(std::vector<pollfd>& fds) {
  constexpr int kMaxWaitMs = 1000;
  int timeout = kMaxWaitMs;
  const steady::time_point now = steady::now();
  for (auto& [port, item] : links) {
    fds.push_back({item.listener, POLLIN, 0});
    for (const auto& pair : item.connections) {
      for (const direction* way : {&pair->request, &pair->answer}) {
        if (!way->is_closed) fds.push_back({way->from, POLLIN, 0});
        if (way->pieces.empty()) continue;
        if (way->pieces.front().due <= now) {
          fds.push_back({way->to, POLLOUT, 0});
          continue;
        }
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
            way->pieces.front().due - now);
        timeout = std::min(timeout, static_cast<int>(wait.count()));
      }
    }
  }
  return timeout;
}

void fault_proxy::impl::Serve(link& item, std::map<int, short>& ready) {
  if (ready[item.listener] != 0) Accept(item);
  const steady::time_point now = steady::now();
  for (const auto& pair : item.connections) {
    for (direction* way : {&pair->request, &pair->answer}) {
      if (!way->is_closed && ready[way->from] != 0) Read(item, *pair, *way);
      Deliver(*pair, *way, now);
    }
    const bool is_finished =
        pair->request.is_close_forwarded && pair->answer.is_close_forwarded;
    if (!pair->is_dead && !is_finished) continue;
    Reset(pair->request.from);
    Reset(pair->request.to);
    pair->request.from = -1;
  }
  item.connections.erase(
      std::remove_if(item.connections.begin(), item.connections.end(),
                     [](const auto& pair) { return pair->request.from < 0; }),
      item.connections.end());
}

void fault_proxy::impl::Run() {
  for (;;) {
    std::vector<pollfd> fds = {{wake_fd, POLLIN, 0}};
    int timeout = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      if (stopping) return;
      timeout = CollectDescriptors(fds);
    }
    poll(fds.data(), fds.size(), timeout);
    std::map<int, short> ready;
    for (const pollfd& entry : fds) {
      ready[entry.fd] = static_cast<short>(ready[entry.fd] | entry.revents);
    }
    uint64_t drained = 0;
    if (ready[wake_fd] != 0 && read(wake_fd, &drained, sizeof(drained)) < 0) {
      drained = 0;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    for (auto& item : links) Serve(item.second, ready);
  }
}

fault_proxy::fault_proxy() : impl_(std::make_unique<impl>()) {
  impl_->thread = std::thread([this] { impl_->Run(); });
}

fault_proxy::~fault_proxy() {
  {
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->Wake();
  impl_->thread.join();
  for (auto& [port, item] : impl_->links) {
    impl::CloseAll(item);
    close(item.listener);
  }
  close(impl_->wake_fd);
}

uint16_t fault_proxy::AddLink() {
  link item;
  item.listener = ListenOnFreePort(item.port);
  const uint16_t port = item.port;
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->links[port] = std::move(item);
  impl_->Wake();
  return port;
}

void fault_proxy::SetTarget(uint16_t link, uint16_t target_port) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->links.at(link).target = target_port;
}

void fault_proxy::SetFault(uint16_t link, link_fault fault) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  auto& item = impl_->links.at(link);
  if (fault == link_fault::kCut) impl::CloseAll(item);
  // Data that a link dropped is not sent again. The streams of its connections
  // have gaps, so these connections stay unusable.
  const bool is_blackhole = fault == link_fault::kBlackholeExisting ||
                            fault == link_fault::kBlackhole;
  for (const auto& pair : item.connections) {
    pair->is_blackholed = pair->is_blackholed || is_blackhole;
  }
  item.fault =
      fault == link_fault::kBlackholeExisting ? link_fault::kNone : fault;
  impl_->Wake();
}

void fault_proxy::SetDelay(uint16_t link, std::chrono::milliseconds delay) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->links.at(link).delay = delay;
}

}  // namespace hickorywood::testing
