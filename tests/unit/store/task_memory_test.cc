// Tests which submissions a data leader accepts while its memory is short.

#include "store/task_memory.h"

#include <gtest/gtest.h>

namespace hickorywood::store {
namespace {

constexpr size_t kMegabyte = 1024UL * 1024;
constexpr size_t kPartBytes = kMegabyte / 2;

// Guards against large submissions without an end that keep out small ones.
TEST(TaskMemoryTest, PartsLeaveMemoryToWholeSubmissions) {
  task_memory memory{0, 52 * kMegabyte};
  while (MayStore(memory, kPartBytes, task_source::kPart)) {
    memory.used += kPartBytes;
  }
  EXPECT_EQ(memory.used, 39 * kMegabyte);
  EXPECT_TRUE(MayStore(memory, 13 * kMegabyte, task_source::kSubmission));
  EXPECT_FALSE(MayStore(memory, 14 * kMegabyte, task_source::kSubmission));
}

// Guards against a legal submission that the smallest store always refuses.
TEST(TaskMemoryTest, LargestSubmissionFitsTheSmallestStore) {
  constexpr size_t kMemory = 130 * kMegabyte;
  const task_memory memory{24 * kMegabyte - kPartBytes, kMemory * 2 / 5};
  EXPECT_TRUE(MayStore(memory, kPartBytes, task_source::kPart));
}

}  // namespace
}  // namespace hickorywood::store
