#include "consensus/file_storage.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "core/reason.h"

namespace hickorywood::consensus {
namespace {

class FileStorageTest : public ::testing::Test {
 protected:
  FileStorageTest() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "hickorywood-XXXXXX")
            .string();
    folder_ = std::string(mkdtemp(pattern.data())) + "/data";
  }
  ~FileStorageTest() override {
    std::filesystem::remove_all(std::filesystem::path(folder_).parent_path());
  }

  std::string ReadLog() const {
    std::ifstream stream(folder_ + "/log", std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
  }
  void WriteLog(const std::string& content) const {
    std::ofstream(folder_ + "/log", std::ios::binary | std::ios::trunc)
        << content;
  }
  // Three writes of one entry of term 1 each. The replica's stored term
  // increases from 1 to 3.
  void WriteThreeEntries() {
    file_storage storage(folder_);
    ASSERT_TRUE(storage.Load());
    for (uint64_t index = 1; index <= 3; ++index) {
      storage_write write;
      write.hard.term = index;
      write.entries.push_back(
          {index, 1, entry_kind::kCommand, "entry " + std::to_string(index)});
      ASSERT_TRUE(storage.Write(write));
    }
  }

  std::string folder_;
};

TEST_F(FileStorageTest, KeepsEntriesVotesAndIdentity) {
  WriteThreeEntries();
  std::string storage_id;
  for (int i = 0; i < 2; ++i) {
    file_storage storage(folder_);
    const auto state = storage.Load();
    ASSERT_TRUE(state) << core::LastReason().text;
    EXPECT_EQ(state->log.entries.size(), 3U);
    EXPECT_EQ(state->hard.term, 3U);
    if (i == 1) {
      EXPECT_EQ(state->storage_id, storage_id);
    }
    storage_id = state->storage_id;
  }
}

// The process is killed during a write: the file ends inside the last frame, at
// any byte. Nothing in the frame was acknowledged, so it is truncated and the
// truncation is reported.
TEST_F(FileStorageTest, IncompleteTailIsTruncatedAtEveryByte) {
  WriteThreeEntries();
  const std::string complete = ReadLog();
  size_t two_entries = 0;
  for (size_t size = complete.size() - 1; size > 0; --size) {
    WriteLog(complete.substr(0, size));
    file_storage storage(folder_);
    const auto state = storage.Load();
    if (!state) {
      break;
    }  // inside the first frame, which was created completely by a rename
    if (state->log.entries.size() == 2 && state->was_tail_cut) ++two_entries;
    EXPECT_LE(state->log.entries.size(), 2U);
  }
  EXPECT_GT(two_entries, 10U);
}

// A file that was extended before the crash, while the data did not reach the
// disk, reads as zeros.
TEST_F(FileStorageTest, UnwrittenTailIsTruncated) {
  WriteThreeEntries();
  WriteLog(ReadLog() + std::string(2000, '\0'));
  file_storage storage(folder_);
  const auto state = storage.Load();
  ASSERT_TRUE(state) << core::LastReason().text;
  EXPECT_TRUE(state->was_tail_cut);
  EXPECT_EQ(state->log.entries.size(), 3U);
}

// A flipped bit in any acknowledged frame, including the last one, must not be
// treated as an incomplete write: truncating the frame would lose a vote or an
// acknowledged entry.
TEST_F(FileStorageTest, FlippedByteIsRejectedAnywhere) {
  WriteThreeEntries();
  const std::string complete = ReadLog();
  for (size_t i = 0; i < complete.size(); ++i) {
    std::string damaged = complete;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    WriteLog(damaged);
    file_storage storage(folder_);
    const auto state = storage.Load();
    EXPECT_FALSE(state) << "byte " << i;
    EXPECT_EQ(core::LastReason().code, core::reason_code::kCorrupt)
        << "byte " << i;
  }
}

TEST_F(FileStorageTest, MissingLogIsRejected) {
  WriteThreeEntries();
  std::filesystem::remove(folder_ + "/log");
  file_storage storage(folder_);
  EXPECT_FALSE(storage.Load());
  EXPECT_EQ(core::LastReason().code, core::reason_code::kCorrupt);
}

TEST_F(FileStorageTest, EmptyFolderGetsANewIdentity) {
  WriteThreeEntries();
  std::string first;
  {
    file_storage storage(folder_);
    first = storage.Load()->storage_id;
  }
  std::filesystem::remove_all(folder_);
  file_storage storage(folder_);
  const auto state = storage.Load();
  ASSERT_TRUE(state);
  EXPECT_NE(state->storage_id, first);
  EXPECT_TRUE(state->log.entries.empty());
}

TEST_F(FileStorageTest, SecondProcessOnTheFolderIsRejected) {
  file_storage first(folder_);
  ASSERT_TRUE(first.Load());
  file_storage second(folder_);
  EXPECT_FALSE(second.Load());
}

// The process is killed between the two files of a snapshot: the new snapshot
// exists together with the old log, whose entries it covers.
TEST_F(FileStorageTest, NewSnapshotWithOldLog) {
  WriteThreeEntries();
  const std::string old_log = ReadLog();
  {
    file_storage storage(folder_);
    auto state = storage.Load();
    ASSERT_TRUE(state);
    snapshot snap;
    snap.group = "g";
    snap.index = 2;
    snap.term = 1;
    snap.data = "state";
    CompactTo(state->log, snap, 0);
    ASSERT_TRUE(storage.WriteSnapshot(state->log, state->hard));
  }
  WriteLog(old_log);
  // With the new log file, which replaces the old one, and without it.
  for (const bool has_new_log : {true, false}) {
    if (!has_new_log) std::filesystem::remove(folder_ + "/log-1");
    file_storage storage(folder_);
    const auto state = storage.Load();
    ASSERT_TRUE(state) << core::LastReason().text;
    EXPECT_EQ(state->log.snap.index, 2U);
    EXPECT_EQ(LastIndex(state->log), 3U);
  }
}

// A follower that is far behind needs entries whose data is only on the
// leader's disk. It must receive the data as written, also after a restart of
// the leader and if an entry replaced one that was never committed.
TEST_F(FileStorageTest, DataIsReadBackFromTheLog) {
  WriteThreeEntries();
  file_storage storage(folder_);
  ASSERT_TRUE(storage.Load());
  EXPECT_EQ(storage.ReadData(2), "entry 2");
  storage_write write;
  write.truncate_from = 3;
  write.entries = {{3, 2, entry_kind::kCommand, "entry 3 of term 2"},
                   {4, 2, entry_kind::kCommand, "entry 4"}};
  ASSERT_TRUE(storage.Write(write));
  EXPECT_EQ(storage.ReadData(1), "entry 1");
  EXPECT_EQ(storage.ReadData(4), "entry 4");
  EXPECT_EQ(storage.ReadData(3), "entry 3 of term 2");
  EXPECT_FALSE(storage.ReadData(5));
}

// A snapshot starts a new log file. The entries that it covers can't be read
// from the file any more, so no entry without its data may stay in the log.
TEST_F(FileStorageTest, SnapshotRemovesEntriesOnlyInTheOldFile) {
  WriteThreeEntries();
  file_storage storage(folder_);
  auto state = storage.Load();
  ASSERT_TRUE(state);
  EvictData(state->log, 1);
  snapshot snap;
  snap.index = 2;
  snap.term = 1;
  CompactTo(state->log, snap, 100);
  ASSERT_EQ(state->log.base_index, 1U);
  EXPECT_EQ(EntryAt(state->log, 2).data, "entry 2");
  ASSERT_TRUE(storage.WriteSnapshot(state->log, state->hard));
  EXPECT_EQ(storage.ReadData(3), "entry 3");
  EXPECT_FALSE(storage.ReadData(1));
}

// A log of several files; each entry fills a large part of a file.
class LongLogTest : public FileStorageTest {
 protected:
  static std::string Data(uint64_t index, uint64_t term) {
    std::string data(3 * 1024 * 1024, 'x');
    return data + std::to_string(index) + " of " + std::to_string(term);
  }
  static storage_write OneEntry(uint64_t index, uint64_t term) {
    storage_write write;
    write.hard.term = term;
    write.entries.push_back(
        {index, term, entry_kind::kCommand, Data(index, term)});
    return write;
  }
  // Entries 1 to `last` of term 1.
  void WriteEntries(uint64_t last) {
    file_storage storage(folder_);
    ASSERT_TRUE(storage.Load());
    for (uint64_t index = 1; index <= last; ++index) {
      ASSERT_TRUE(storage.Write(OneEntry(index, 1)));
    }
  }
  // Loads the folder, creates a snapshot at `index` and removes what it covers.
  void CompactAt(uint64_t index) {
    file_storage storage(folder_);
    auto state = storage.Load();
    ASSERT_TRUE(state) << core::LastReason().text;
    snapshot snap;
    snap.group = "g";
    snap.index = index;
    snap.term = *TermAt(state->log, index);
    CompactTo(state->log, snap, 0);
    ASSERT_TRUE(storage.WriteCompaction(state->log));
  }
  bool HasFile(const std::string& name) const {
    return std::filesystem::exists(folder_ + "/" + name);
  }
};

TEST_F(LongLogTest, EntriesOfAllFilesAreReadAgain) {
  WriteEntries(8);
  EXPECT_TRUE(HasFile("log-1"));
  EXPECT_TRUE(HasFile("log-2"));
  file_storage storage(folder_);
  const auto state = storage.Load();
  ASSERT_TRUE(state) << core::LastReason().text;
  ASSERT_EQ(LastIndex(state->log), 8U);
  for (uint64_t index = 1; index <= 8; ++index) {
    EXPECT_EQ(EntryAt(state->log, index).data, Data(index, 1));
    EXPECT_EQ(storage.ReadData(index), Data(index, 1));
  }
}

// Entries at the same offset of two files are read one after the other: the
// cached frame of one must not be used for the other.
TEST_F(LongLogTest, SameOffsetInTwoFilesIsNotTheSameEntry) {
  WriteEntries(8);
  file_storage storage(folder_);
  ASSERT_TRUE(storage.Load());
  for (const uint64_t index : {4, 7, 4, 1, 7}) {
    EXPECT_EQ(storage.ReadData(index), Data(index, 1)) << index;
  }
}

// A restart passes the committed entries to the callback while it loads the
// log, and keeps only the data of the other entries in memory.
TEST_F(LongLogTest, CommittedEntriesAreReplayedWhileTheLogIsRead) {
  {
    file_storage storage(folder_);
    ASSERT_TRUE(storage.Load());
    for (uint64_t index = 1; index <= 7; ++index) {
      storage_write write = OneEntry(index, 1);
      write.hard.commit = index - 2 <= 7 ? index - 2 : 0;
      ASSERT_TRUE(storage.Write(write));
    }
  }
  std::vector<uint64_t> replayed;
  file_storage storage(folder_);
  storage.SetReplay({[](const snapshot& snap) { EXPECT_EQ(snap.index, 0U); },
                     [&replayed](const log_entry& entry) {
                       EXPECT_EQ(entry.data, Data(entry.index, 1));
                       replayed.push_back(entry.index);
                     }});
  const auto state = storage.Load();
  ASSERT_TRUE(state) << core::LastReason().text;
  EXPECT_EQ(replayed, (std::vector<uint64_t>{1, 2, 3, 4, 5}));
  EXPECT_EQ(state->replayed, 5U);
  EXPECT_TRUE(EntryAt(state->log, 5).data.empty());
  EXPECT_EQ(EntryAt(state->log, 6).data, Data(6, 1));
  EXPECT_EQ(storage.ReadData(5), Data(5, 1));
}

// The snapshot covers the first file and a part of the second. The first one is
// deleted. The rest is unchanged, also if the deleted file exists again after a
// power loss.
TEST_F(LongLogTest, CoveredFilesAreDeleted) {
  WriteEntries(8);
  std::filesystem::copy_file(folder_ + "/log", folder_ + "/kept");
  CompactAt(4);
  EXPECT_FALSE(HasFile("log"));
  EXPECT_TRUE(HasFile("log-1"));
  for (const bool is_back : {false, true}) {
    if (is_back) {
      std::filesystem::rename(folder_ + "/kept", folder_ + "/log");
    }
    file_storage storage(folder_);
    const auto state = storage.Load();
    ASSERT_TRUE(state) << core::LastReason().text;
    EXPECT_EQ(state->log.snap.index, 4U);
    ASSERT_EQ(LastIndex(state->log), 8U);
    EXPECT_EQ(EntryAt(state->log, 5).data, Data(5, 1));
  }
}

// Some of the deleted files exist again after a power loss: the entries before
// the gap had been removed and must be ignored.
TEST_F(LongLogTest, RestoredFilesBeforeAGapAreIgnored) {
  WriteEntries(11);
  std::filesystem::copy_file(folder_ + "/log", folder_ + "/kept");
  CompactAt(8);
  ASSERT_FALSE(HasFile("log-1"));
  std::filesystem::rename(folder_ + "/kept", folder_ + "/log");
  file_storage storage(folder_);
  const auto state = storage.Load();
  ASSERT_TRUE(state) << core::LastReason().text;
  EXPECT_EQ(state->log.snap.index, 8U);
  EXPECT_EQ(LastIndex(state->log), 11U);
}

// The process is killed between the creation of the next file and its first
// write: the file is empty, or its first frame is incomplete. Nothing in it was
// acknowledged.
TEST_F(LongLogTest, NextFileWithoutItsFirstWrite) {
  for (const std::string& content : {std::string(), std::string("torn")}) {
    std::filesystem::remove_all(folder_);
    WriteEntries(3);
    ASSERT_FALSE(HasFile("log-1"));
    std::ofstream(folder_ + "/log-1") << content;
    for (uint64_t index = 4; index <= 5; ++index) {
      file_storage storage(folder_);
      const auto state = storage.Load();
      ASSERT_TRUE(state) << core::LastReason().text;
      ASSERT_EQ(LastIndex(state->log), index - 1);
      ASSERT_TRUE(storage.Write(OneEntry(index, 1)));
    }
  }
}

// A new leader truncates entries without a quorum across the boundary of two
// files. The older file is kept as long as the newer one is needed, since the
// log could not be loaded without it; then both are deleted.
TEST_F(LongLogTest, TruncationAcrossTheBoundaryOfTwoFiles) {
  WriteEntries(4);  // 1 to 3 in the first file, 4 in the second
  {
    file_storage storage(folder_);
    ASSERT_TRUE(storage.Load());
    storage_write write = OneEntry(3, 2);
    write.truncate_from = 3;
    ASSERT_TRUE(storage.Write(write));
    ASSERT_TRUE(storage.Write(OneEntry(4, 2)));
    EXPECT_EQ(storage.ReadData(3), Data(3, 2));
  }
  CompactAt(2);
  EXPECT_TRUE(HasFile("log"));
  {
    file_storage storage(folder_);
    const auto state = storage.Load();
    ASSERT_TRUE(state) << core::LastReason().text;
    ASSERT_EQ(LastIndex(state->log), 4U);
    EXPECT_EQ(EntryAt(state->log, 3).data, Data(3, 2));
    for (uint64_t index = 5; index <= 7; ++index) {
      ASSERT_TRUE(storage.Write(OneEntry(index, 2)));
    }
  }
  CompactAt(6);
  EXPECT_FALSE(HasFile("log"));
  EXPECT_FALSE(HasFile("log-1"));
  file_storage storage(folder_);
  const auto state = storage.Load();
  ASSERT_TRUE(state) << core::LastReason().text;
  EXPECT_EQ(LastIndex(state->log), 7U);
}

// A snapshot of the leader replaces all files.
TEST_F(LongLogTest, InstalledSnapshotReplacesAllFiles) {
  WriteEntries(8);
  {
    file_storage storage(folder_);
    auto state = storage.Load();
    ASSERT_TRUE(state);
    snapshot snap;
    snap.group = "g";
    snap.index = 20;
    snap.term = 3;
    ResetTo(state->log, snap);
    ASSERT_TRUE(storage.WriteSnapshot(state->log, state->hard));
    ASSERT_TRUE(storage.Write(OneEntry(21, 3)));
  }
  EXPECT_FALSE(HasFile("log"));
  file_storage storage(folder_);
  const auto state = storage.Load();
  ASSERT_TRUE(state) << core::LastReason().text;
  EXPECT_EQ(state->log.snap.index, 20U);
  EXPECT_EQ(LastIndex(state->log), 21U);
}

// An entry whose data is only on disk counts with its size: otherwise all
// entries of a day would be sent as one message.
TEST(RaftLogTest, EntriesOnDiskCountWithTheirSize) {
  raft_log log;
  for (uint64_t index = 1; index <= 4; ++index) {
    log.entries.push_back(
        {index, 1, entry_kind::kCommand, std::string(100, 'x')});
    EvictData(log, index);
  }
  EXPECT_LT(EntryAt(log, 1).data.capacity(), 100U);
  EXPECT_EQ(EntriesFrom(log, 1, 250).size(), 2U);
}

}  // namespace
}  // namespace hickorywood::consensus
