#include "core/log_sink.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

namespace hickorywood::core {
namespace {

class LogSinkTest : public ::testing::Test {
 protected:
  LogSinkTest() {
    EXPECT_EQ(pipe(pipe_fds_), 0);
    fcntl(pipe_fds_[0], F_SETFL, O_NONBLOCK);
  }
  ~LogSinkTest() override {
    close(pipe_fds_[0]);
    close(pipe_fds_[1]);
  }

  std::string ReadAll() const {
    std::string text;
    char buffer[4096];
    for (ssize_t count;
         (count = read(pipe_fds_[0], buffer, sizeof buffer)) > 0;) {
      text.append(buffer, static_cast<size_t>(count));
    }
    return text;
  }

  int pipe_fds_[2] = {-1, -1};
};

TEST_F(LogSinkTest, FlushWritesCompleteLines) {
  log_sink sink(pipe_fds_[1], 1 << 20);
  sink.Add("one", false);
  sink.Add("two", true);
  EXPECT_EQ(ReadAll(), "");
  sink.Flush();
  EXPECT_EQ(ReadAll(), "one\ntwo\n");
}

// Standard output is not read. Writing must not block; lines are dropped and
// counted, and a warning replaces less important lines.
TEST_F(LogSinkTest, DropsLinesWithoutReader) {
  constexpr size_t kCapacity = 10000;
  log_sink sink(pipe_fds_[1], kCapacity);
  const std::string line(99, 'x');
  constexpr int kLines = 3000;
  for (int i = 0; i < kLines; ++i) {
    sink.Add(line, false);
    sink.Flush();
  }
  sink.Add("warning", true);
  const uint64_t dropped = sink.ExchangeDroppedCount();
  EXPECT_GT(dropped, 1000U);
  EXPECT_EQ(sink.ExchangeDroppedCount(), 0U);
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += ReadAll();
    sink.Flush();
  }
  text += ReadAll();
  EXPECT_TRUE(text.ends_with("warning\n"));
  EXPECT_EQ(text.size(), (kLines - dropped) * (line.size() + 1) + 8);
}

TEST_F(LogSinkTest, FirstLineCallsTheCallback) {
  log_sink sink(pipe_fds_[1], 1000);
  int calls = 0;
  sink.OnFirstLine([&calls] { ++calls; });
  sink.Add("a", false);
  sink.Add("b", false);
  EXPECT_EQ(calls, 1);
  sink.Flush();
  sink.Add("c", false);
  EXPECT_EQ(calls, 2);
}

}  // namespace
}  // namespace hickorywood::core
