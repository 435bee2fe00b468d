#ifndef HICKORYWOOD_CORE_LOG_SINK_H_
#define HICKORYWOOD_CORE_LOG_SINK_H_

// Log lines on their way to standard output. Adding a line never blocks and
// never writes: lines wait in a bounded buffer until Flush(), which writes only
// what the other end takes at once. Past the bound lines are dropped and
// counted; warnings and errors are kept before the rest.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

namespace hickorywood::core {

class log_sink {
 public:
  // Writes to the descriptor `fd`, holding `capacity` bytes at most.
  log_sink(int fd, size_t capacity);

  // The sink on standard output.
  static log_sink& Standard();

  // Queues a line without its line end. Safe from any thread.
  void Add(std::string line, bool is_important);

  // Writes what can be written without waiting. Safe from any thread.
  void Flush();

  // Called, on the thread that adds, when the first line comes into an empty
  // buffer: the time to arrange for a Flush().
  void OnFirstLine(std::function<void()> wake);

  // Lines dropped since the last call.
  uint64_t TakeDropped();

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
