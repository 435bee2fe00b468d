// Signals that arrive while a process starts.

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "support/deployment.h"
#include "support/process.h"

namespace hickorywood::testing {
namespace {

constexpr char kSettings[] =
    "role: entry\n"
    "instance: {id: e1, zone: z}\n"
    "listen: {peers: \"127.0.0.1:0\", callers: \"127.0.0.1:0\","
    " readiness: \"127.0.0.1:0\"}\n"
    "seeds: [\"127.0.0.1:1\"]\n"
    "drain: {grace: 1s, notice: 10ms}\n";

bool HasEvent(const std::string& log, const std::string& event) {
  std::ifstream lines(log);
  const std::string text{std::istreambuf_iterator<char>(lines), {}};
  return text.find(event) != std::string::npos;
}

// Guards against a process that is terminated by SIGHUP, or not shut down
// cleanly by SIGTERM, during its start. The settings are read from a pipe, so
// that the signals arrive before the process has read them.
TEST(SignalsTest, SignalsDuringTheStartWaitForTheLoop) {
  for (const int number : {SIGHUP, SIGTERM}) {
    const std::string folder = MakeTemporaryFolder();
    const std::string file = folder + "/e1.yaml";
    const std::string log = folder + "/e1.log";
    ASSERT_EQ(mkfifo(file.c_str(), S_IRUSR | S_IWUSR), 0);
    process starting({ProgramPath(), "--node_settings=" + file}, log);
    std::ofstream pipe(file);  // blocks until the process opens the pipe
    starting.Signal(number);
    // A reload reads a regular file.
    std::filesystem::remove(file);
    std::ofstream(file) << kSettings;
    pipe << kSettings;
    pipe.close();
    const std::string event = number == SIGHUP ? "HK1009" : "HK1002";
    EXPECT_TRUE(WaitUntil([&] { return HasEvent(log, event); })) << number;
    starting.Signal(SIGTERM);
    EXPECT_EQ(starting.WaitForExit(std::chrono::milliseconds(30000)), 0)
        << number;
    std::filesystem::remove_all(folder);
  }
}

}  // namespace
}  // namespace hickorywood::testing
