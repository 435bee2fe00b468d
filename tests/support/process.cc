#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

extern char**
    environ;  // NOLINT(readability-identifier-naming): the C library's

namespace hickorywood::testing {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};

}  // namespace

process::process(const std::vector<std::string>& arguments,
                 const std::string& log_file) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Closes the test's descriptors in the child. Otherwise a socket would stay
  // open in the child after the test has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
      0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

process::~process() { Kill(); }

void process::Signal(int number) const {
  if (pid_ > 0 && !exit_code_) kill(pid_, number);
}

void process::Kill() {
  Signal(SIGKILL);
  WaitForExit(std::chrono::milliseconds(10000));
}

std::optional<int> process::WaitForExit(std::chrono::milliseconds limit) {
  if (pid_ <= 0) return std::nullopt;
  WaitUntil(
      [this] {
        int status = 0;
        if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
          exit_code_ =
              WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
        }
        return exit_code_.has_value();
      },
      limit);
  return exit_code_;
}

size_t PeakMemoryOf(pid_t pid) {
  constexpr size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string name; status >> name;) {
    size_t kilobytes = 0;
    if (name != "VmHWM:") continue;
    status >> kilobytes;
    return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

size_t CountDescriptorsOf(pid_t pid) {
  std::error_code ended;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(pid) + "/fd", ended);
  if (ended) return 0;
  return static_cast<size_t>(std::distance(begin(open), end(open)));
}

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

std::string MakeTemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "hickorywood-XXXXXX").string();
  return mkdtemp(pattern.data());
}

}  // namespace hickorywood::testing
