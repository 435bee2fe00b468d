#include "core/log_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace hickorywood::core {
namespace {

// Holds the log lines of about four seconds under high load.
constexpr size_t kStandardCapacity = 512 * 1024;

// Whether a write of up to PIPE_BUF bytes would not block: poll() guarantees
// this for a writable pipe.
bool IsWritable(int fd) {
  pollfd item{fd, POLLOUT, 0};
  return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

}  // namespace

log_sink::log_sink(int fd, size_t capacity) : fd_(fd), capacity_(capacity) {}

log_sink& log_sink::Standard() {
  static auto* const kSink = new log_sink(STDOUT_FILENO, kStandardCapacity);
  return *kSink;
}

void log_sink::Add(std::string line, bool is_important) {
  line += '\n';
  bool is_first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_important) MakeRoom(line.size());
    if (bytes_ + line.size() > capacity_) {
      ++dropped_;
      return;
    }
    bytes_ += line.size();
    is_first = lines_.empty();
    lines_.push_back({std::move(line), is_important});
  }
  if (is_first && wake_) wake_();
}

void log_sink::OnFirstLine(std::function<void()> wake) {
  wake_ = std::move(wake);
}

// Drops the oldest lines that are not important. The first line is skipped if
// it is already partially written.
void log_sink::MakeRoom(size_t bytes) {
  size_t index = written_of_first_ > 0 ? 1 : 0;
  while (bytes_ + bytes > capacity_ && index < lines_.size()) {
    if (lines_[index].is_important) {
      ++index;
      continue;
    }
    bytes_ -= lines_[index].text.size();
    lines_.erase(lines_.begin() + static_cast<ptrdiff_t>(index));
    ++dropped_;
  }
}

void log_sink::Flush() {
  const std::lock_guard<std::mutex> lock(mutex_);
  while (!lines_.empty() && IsWritable(fd_)) {
    // Combines several lines into one write of at most PIPE_BUF bytes, which
    // does not block.
    std::string chunk = lines_.front().text.substr(written_of_first_);
    for (size_t i = 1; i < lines_.size(); ++i) {
      if (chunk.size() + lines_[i].text.size() > PIPE_BUF) break;
      chunk += lines_[i].text;
    }
    const size_t size = std::min<size_t>(chunk.size(), PIPE_BUF);
    const ssize_t count = write(fd_, chunk.data(), size);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return;
    size_t left = static_cast<size_t>(count);
    while (left > 0) {
      const size_t rest = lines_.front().text.size() - written_of_first_;
      if (left < rest) {
        written_of_first_ += left;
        break;
      }
      left -= rest;
      bytes_ -= lines_.front().text.size();
      written_of_first_ = 0;
      lines_.pop_front();
    }
  }
}

uint64_t log_sink::ExchangeDroppedCount() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(dropped_, 0);
}

}  // namespace hickorywood::core
