#ifndef HICKORYWOOD_CORE_LOG_SINK_H_
#define HICKORYWOOD_CORE_LOG_SINK_H_

// Buffers log lines for standard output. Adding a line never blocks and never
// writes: lines are queued in a bounded buffer until Flush(), which writes only
// as much as the reader accepts without blocking. When the buffer is full,
// lines are dropped and counted; info lines are dropped before warnings and
// errors.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

namespace hickorywood::core {

class log_sink {
 public:
  // Writes to the file descriptor `fd` and buffers at most `capacity` bytes.
  log_sink(int fd, size_t capacity);

  // The sink for standard output.
  static log_sink& Standard();

  // Queues a line, passed without its line terminator. Thread-safe.
  void Add(std::string line, bool is_important);

  // Writes as much as possible without blocking. Thread-safe.
  void Flush();

  // Sets a callback that runs when a line is added to an empty buffer, on the
  // thread that adds it. The callback should schedule a Flush().
  void OnFirstLine(std::function<void()> wake);

  // Number of lines dropped since the last call.
  uint64_t ExchangeDroppedCount();

 private:
  void MakeRoom(size_t bytes);

  const int fd_;
  const size_t capacity_;
  std::mutex mutex_;
  struct queued_line {
    std::string text;
    bool is_important = false;
  };
  std::deque<queued_line> lines_;
  size_t bytes_ = 0;
  size_t written_of_first_ = 0;
  uint64_t dropped_ = 0;
  std::function<void()> wake_;
};

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_LOG_SINK_H_
