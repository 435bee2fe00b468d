// A small blocking HTTP/1.1 client and server for the stand-ins of the review.
// Loopback addresses only.
#ifndef HICKORYWOOD_REVIEW_STANDIN_HTTP_H_
#define HICKORYWOOD_REVIEW_STANDIN_HTTP_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             clock_type::now().time_since_epoch())
      .count();
}

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(c));
  return text;
}

struct message {
  std::string first;                           // request line or status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int status = 0;  // of a response; 0: no response

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const size_t from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
};

// A connection with a read buffer.
class channel {
 public:
  explicit channel(int fd) : fd_(fd) {}
  ~channel() {
    if (fd_ >= 0) close(fd_);
  }
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  bool Send(const std::string& bytes) const {
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t count =
          send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (count <= 0) return false;
      done += static_cast<size_t>(count);
    }
    return true;
  }

  // Whether the other side has closed the connection.
  bool IsClosed() const {
    char byte = 0;
    const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }

  // Reads one message with a length or in chunks. Returns false if the
  // connection ends or `until` passes before its end.
  bool Read(message& output, int64_t until) {
    output = message{};
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    size_t from = head.find("\r\n");
    output.first = head.substr(0, from);
    from += 2;
    while (from < head.size()) {
      const size_t stop = head.find("\r\n", from);
      const std::string line = head.substr(from, stop - from);
      const size_t colon = line.find(':');
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      output.headers[Lower(line.substr(0, colon))] = line.substr(value);
      from = stop + 2;
    }
    if (output.first.starts_with("HTTP/")) {
      output.status = std::atoi(output.first.c_str() + 9);
    }
    if (Lower(output.Header("transfer-encoding")) == "chunked") {
      return ReadChunks(output.body, until);
    }
    const size_t length = static_cast<size_t>(
        std::atoll(output.Header("content-length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(until)) return false;
    }
    output.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

 private:
  bool ReadChunks(std::string& body, int64_t until) {
    for (;;) {
      size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) return false;
      }
      const size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      while (buffer_.size() < size + 2) {
        if (!Fill(until)) return false;
      }
      body += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) return true;
    }
  }

  bool Fill(int64_t until) {
    const int64_t left = until - NowMs();
    if (left <= 0) return false;
    pollfd item{fd_, POLLIN, 0};
    if (poll(&item, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in ParseAddress(const std::string& address) {
  sockaddr_in parsed{};
  const size_t colon = address.rfind(':');
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(
      static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

// Returns -1 if no connection is established in a second.
inline int Connect(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in target = ParseAddress(address);
  const int started =
      connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  pollfd item{fd, POLLOUT, 0};
  int failure = 0;
  socklen_t size = sizeof failure;
  const bool is_open =
      (started == 0 || errno == EINPROGRESS) && poll(&item, 1, 1000) == 1 &&
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 &&
      failure == 0;
  if (!is_open) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  // Blocking from here on; reads wait with poll().
  const timeval limit{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

// One call on a new connection. The status is 0 if there is no response.
inline message Call(
    const std::string& address, const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body, int timeout_ms) {
  message answer;
  const int fd = Connect(address);
  if (fd < 0) return answer;
  channel open(fd);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
    has_host = has_host || Lower(name) == "host";
  }
  if (!has_host) text += "Host: " + address + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) +
          "\r\nConnection: close\r\n\r\n" + body;
  if (!open.Send(text) || !open.Read(answer, NowMs() + timeout_ms)) {
    answer = message{};
  }
  return answer;
}

}  // namespace review

#endif  // HICKORYWOOD_REVIEW_STANDIN_HTTP_H_
