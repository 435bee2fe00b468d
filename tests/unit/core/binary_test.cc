// Messages between processes and entries of the log are decoded without a
// difference to the JSON library, whatever the bytes are.

#include "core/binary.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace hickorywood::core {
namespace {

using nlohmann::json;

std::string Encode(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

json DrawValue(int depth) {
  switch (*rc::gen::inRange(0, depth > 0 ? 8 : 6)) {
    case 0:
      return *rc::gen::arbitrary<int64_t>();
    case 1:
      return *rc::gen::arbitrary<uint64_t>();
    case 2:
      return *rc::gen::arbitrary<bool>();
    case 3:
      return static_cast<double>(*rc::gen::arbitrary<int32_t>()) / 7;
    case 4: {
      const auto size =
          *rc::gen::element<size_t>(0, 1, 31, 32, 255, 256, 65535, 70000);
      return std::string(size, static_cast<char>(*rc::gen::inRange(0, 256)));
    }
    case 5:
      return nullptr;
    case 6: {
      json list = json::array();
      const int size = *rc::gen::element(0, 1, 3, 20);
      for (int i = 0; i < size; ++i) list.push_back(DrawValue(depth - 1));
      return list;
    }
    default: {
      json map = json::object();
      const int size = *rc::gen::element(0, 1, 3, 20);
      for (int i = 0; i < size; ++i) {
        map[*rc::gen::arbitrary<std::string>()] = DrawValue(depth - 1);
      }
      return map;
    }
  }
}

// Guards against a decoder that reads another value than was encoded.
RC_GTEST_PROP(BinaryTest, DecodesWhatTheLibraryEncodes, ()) {
  const json value = DrawValue(2);
  const auto decoded = ParseMessagePack(Encode(value));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == value);
}

bool HasExtension(const json& value) {
  if (value.is_binary()) return value.get_binary().has_subtype();
  return value.is_structured() &&
         std::any_of(value.begin(), value.end(), HasExtension);
}

// Guards against a decoder that accepts other input than the library, or that
// reads beyond the end of damaged input.
RC_GTEST_PROP(BinaryTest, DamagedInputIsRefusedAsByTheLibrary, ()) {
  std::string bytes = Encode(DrawValue(2));
  bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
  if (!bytes.empty()) {
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  const json expected = json::from_msgpack(bytes, true, false);
  const auto decoded = ParseMessagePack(bytes);
  // Extension types, which the library reads as binary, are not used.
  if (!decoded) {
    RC_ASSERT(expected.is_discarded() || HasExtension(expected));
    return;
  }
  RC_ASSERT(!expected.is_discarded());
  RC_ASSERT(decoded->dump(-1, ' ', false, json::error_handler_t::replace) ==
            expected.dump(-1, ' ', false, json::error_handler_t::replace));
}

// Guards against a stack overflow by nested input.
TEST(BinaryTest, DeeplyNestedInputIsRefused) {
  EXPECT_FALSE(ParseMessagePack(std::string(100000, '\x91')));
  EXPECT_EQ(LastReason().code, reason_code::kInvalid);
}

// Guards against memory that is reserved by a length in damaged input.
TEST(BinaryTest, LongArrayWithoutElementsIsRefused) {
  EXPECT_FALSE(ParseMessagePack(std::string("\xdd\xff\xff\xff\xff", 5)));
  EXPECT_FALSE(ParseMessagePack(std::string("\xdb\xff\xff\xff\xff", 5)));
}

}  // namespace
}  // namespace hickorywood::core
