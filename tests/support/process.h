#ifndef HICKORYWOOD_TESTS_SUPPORT_PROCESS_H_
#define HICKORYWOOD_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hickorywood::testing {

// A child process of a test. The destructor kills it if it is still running.
class process {
 public:
  process(const std::vector<std::string>& arguments,
          const std::string& log_file);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Signal(int number) const;
  // Sends SIGKILL and waits until the process has terminated.
  void Kill();
  // Waits until the process terminates and returns its exit code, or -signal if
  // a signal terminated it. Returns an empty optional if it is still running
  // after `limit`.
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);
  pid_t Pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// Largest resident memory of a process since its start, bytes; 0 if it has
// ended.
size_t PeakMemoryOf(pid_t pid);
// Number of open file descriptors of a process; 0 if it has ended.
size_t CountDescriptorsOf(pid_t pid);

// Polls `condition` until it is true. Returns false if it is still false after
// `limit`, which is long because it only ends tests that hang.
bool WaitUntil(
    const std::function<bool()>& condition,
    std::chrono::milliseconds limit = std::chrono::milliseconds(30000));

// Creates an empty folder for one test in the system's temporary folder.
std::string MakeTemporaryFolder();

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_PROCESS_H_
