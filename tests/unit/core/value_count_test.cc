// Tests the bound on the number of values of a message, which is checked before
// the message is decoded.

#include "core/value_count.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "core/binary.h"

namespace hickorywood::core {
namespace {

using nlohmann::json;

// A list of this many lists with one number each, which are `count` * 2 + 1
// values.
json ListsOf(size_t count) {
  json lists = json::array();
  for (size_t i = 0; i < count; ++i) lists.push_back({1});
  return lists;
}

std::string MessagePackOf(const json& tree) {
  std::string bytes;
  json::to_msgpack(tree, bytes);
  return bytes;
}

TEST(ValueCountTest, ValuesOfListsAreCounted) {
  const json most = ListsOf(kMaxValues / 2 - 1);
  const json too_many = ListsOf(kMaxValues / 2 + 1);
  EXPECT_FALSE(HasTooManyJsonValues(most.dump()));
  EXPECT_TRUE(HasTooManyJsonValues(too_many.dump()));
  EXPECT_FALSE(HasTooManyValues(MessagePackOf(most)));
  EXPECT_TRUE(HasTooManyValues(MessagePackOf(too_many)));
}

TEST(ValueCountTest, NamesOfFieldsAreCounted) {
  json fields;
  for (size_t i = 0; i < kMaxValues / 2 + 1; ++i) {
    fields[std::to_string(i)] = nullptr;
  }
  EXPECT_TRUE(HasTooManyJsonValues(fields.dump()));
  EXPECT_TRUE(HasTooManyValues(MessagePackOf(fields)));
}

// Guards against a legal message that is refused because of the characters in
// its texts.
TEST(ValueCountTest, TextsAreOneValueEach) {
  const json tree = {{"a", std::string(2 * kMaxValues, ',')},
                     {"b", std::string(2 * kMaxValues, '"') + "[{"}};
  EXPECT_FALSE(HasTooManyJsonValues(tree.dump()));
  EXPECT_FALSE(HasTooManyValues(MessagePackOf(tree)));
}

TEST(ValueCountTest, ShapeOfATextIsMeasured) {
  const json_shape shape =
      MeasureJson(R"({"a":[1,[2]],"b":"four","c\\\"":"\\","d":{}})");
  EXPECT_EQ(shape.depth, 3U);
  EXPECT_EQ(shape.longest_text, 5U);
  // Four fields, three lists or objects, three numbers or texts behind commas,
  // and the outermost object.
  EXPECT_EQ(shape.values, 13U);
  EXPECT_EQ(MeasureJson("\"no end").longest_text, 6U);
  EXPECT_EQ(MeasureJson("]]}[").depth, 1U);
}

TEST(ValueCountTest, EachTypeOfMessagePackIsPassed) {
  json types = json::array({nullptr, true, false, 0, 200, 60000, 5000000000, -1,
                            -200, -60000, -5000000000, 1.5, 0.1,
                            std::string(10, 'a'), std::string(100, 'a'),
                            std::string(1000, 'a'), std::string(70000, 'a'),
                            json::binary({1, 2, 3}), json::object()});
  json many = json::array();
  for (size_t i = 0; i < kMaxValues / types.size() - 1; ++i) {
    many.push_back(i);
  }
  types.push_back(ListsOf(100));
  types.push_back(many);
  EXPECT_FALSE(HasTooManyValues(MessagePackOf(types)));
  types.push_back(ListsOf(kMaxValues / 2));
  EXPECT_TRUE(HasTooManyValues(MessagePackOf(types)));
}

// Guards against bytes that are read beyond their end.
TEST(ValueCountTest, MalformedBytesEndTheCount) {
  const std::string one = MessagePackOf(json::array({ListsOf(kMaxValues)}));
  EXPECT_FALSE(HasTooManyValues(one.substr(0, kUncountedBytes + 1)));
  std::string text_without_end(2 * kUncountedBytes, 'a');
  text_without_end[0] = '\xdb';
  EXPECT_FALSE(HasTooManyValues(text_without_end));
  EXPECT_FALSE(HasTooManyJsonValues(std::string(2 * kUncountedBytes, '\\')));
}

}  // namespace
}  // namespace hickorywood::core
