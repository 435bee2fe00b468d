#include "core/events.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace hickorywood::core {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

TEST(EventsTest, CatalogueInTheDocsIsEqualToTheCode) {
  std::istringstream lines(
      ReadFile(std::string(SOURCE_FOLDER) + "/docs/events.md"));
  std::set<std::string> documented;
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("| HK", 0) == 0) documented.insert(line.substr(2, 6));
  }
  std::set<std::string> in_code;
  for (const event_info& info : AllEvents()) {
    in_code.insert("HK" + std::to_string(static_cast<int>(info.id)));
  }
  EXPECT_EQ(documented, in_code);
}

// Every event declared in events.h must be logged by some source file, because
// operators rely on the documented events.
TEST(EventsTest, EveryEventIsLoggedSomewhere) {
  std::string sources;
  const std::filesystem::path root = std::string(SOURCE_FOLDER) + "/packages";
  for (const auto& item : std::filesystem::recursive_directory_iterator(root)) {
    const bool is_source = item.path().extension() == ".cc" &&
                           item.path().filename() != "events.cc";
    if (!is_source) continue;
    sources += ReadFile(item.path());
  }
  std::istringstream header(ReadFile(root / "core/events.h"));
  for (std::string line; std::getline(header, line);) {
    const size_t equals = line.find(" = ");
    if (line.rfind("  k", 0) != 0 || equals == std::string::npos) continue;
    const std::string use = "event_id::" + line.substr(2, equals - 2);
    EXPECT_NE(sources.find(use), std::string::npos) << use;
  }
}

TEST(EventsTest, NumbersAreUniqueAndAscending) {
  int last = 0;
  for (const event_info& info : AllEvents()) {
    EXPECT_GT(static_cast<int>(info.id), last);
    last = static_cast<int>(info.id);
  }
}

}  // namespace
}  // namespace hickorywood::core
