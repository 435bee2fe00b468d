#include "core/binary.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <utility>

#include "core/value_count.h"

namespace hickorywood::core {
namespace {

using nlohmann::json;

// Messages of this service have less than ten levels. The limit bounds the
// recursion for malformed input.
constexpr int kMaxDepth = 64;

// Type bytes of the format. A type with a range contains its value or its
// length in the lower bits; short maps begin after the positive integers. The
// last type of texts, 0xdb, has the same length field as arrays and maps.
constexpr uint8_t kMaxPositiveInteger = 0x7f;
constexpr uint8_t kShortArray = 0x90;
constexpr uint8_t kShortText = 0xa0;
constexpr uint8_t kNil = 0xc0;
constexpr uint8_t kFalse = 0xc2;
constexpr uint8_t kTrue = 0xc3;
constexpr uint8_t kBinary8 = 0xc4;
constexpr uint8_t kBinary16 = 0xc5;
constexpr uint8_t kBinary32 = 0xc6;
constexpr uint8_t kFloat32 = 0xca;
constexpr uint8_t kFloat64 = 0xcb;
constexpr uint8_t kUnsigned8 = 0xcc;
constexpr uint8_t kUnsigned16 = 0xcd;
constexpr uint8_t kUnsigned32 = 0xce;
constexpr uint8_t kUnsigned64 = 0xcf;
constexpr uint8_t kSigned8 = 0xd0;
constexpr uint8_t kSigned16 = 0xd1;
constexpr uint8_t kSigned32 = 0xd2;
constexpr uint8_t kSigned64 = 0xd3;
constexpr uint8_t kText8 = 0xd9;
constexpr uint8_t kText16 = 0xda;
constexpr uint8_t kArray16 = 0xdc;
constexpr uint8_t kArray32 = 0xdd;
constexpr uint8_t kMap16 = 0xde;
constexpr uint8_t kMap32 = 0xdf;
constexpr uint8_t kMinNegativeInteger = 0xe0;
constexpr uint8_t kShortLengthMask = 0x0f;
constexpr uint8_t kShortTextMask = 0x1f;

// Reads values from a byte string. Each function returns nothing or false when
// the input ends too early or contains a type that is not supported.
class message_pack_reader {
 public:
  explicit message_pack_reader(std::string_view bytes) : rest_(bytes) {}

  bool IsAtEnd() const { return rest_.empty(); }

  bool Read(json& value, int depth) {
    const auto type = ReadNumber<uint8_t>();
    if (!type || depth > kMaxDepth) return false;
    if (*type <= kMaxPositiveInteger) return Set(value, uint64_t{*type});
    if (*type >= kMinNegativeInteger) {
      return Set(value, int64_t{static_cast<int8_t>(*type)});
    }
    if (*type >= kNil && *type < kText8) return ReadScalar(*type, value);
    const auto length = ReadLength(*type);
    if (!length) return false;
    if (IsMap(*type)) return ReadMap(*length, value, depth);
    if (IsArray(*type)) return ReadArray(*length, value, depth);
    const auto text = Take(*length);
    if (!text) return false;
    value = json(std::string(*text));
    return true;
  }

 private:
  static bool IsMap(uint8_t type) {
    return type < kShortArray || type == kMap16 || type == kMap32;
  }
  static bool IsArray(uint8_t type) {
    const bool is_short = type >= kShortArray && type < kShortText;
    return is_short || type == kArray16 || type == kArray32;
  }

  template <typename T>
  static bool Set(json& value, T number) {
    value = json(number);
    return true;
  }

  std::optional<std::string_view> Take(size_t length) {
    if (rest_.size() < length) return std::nullopt;
    const std::string_view taken = rest_.substr(0, length);
    rest_.remove_prefix(length);
    return taken;
  }

  // Reads a big-endian number.
  template <typename T>
  std::optional<T> ReadNumber() {
    const auto bytes = Take(sizeof(T));
    if (!bytes) return std::nullopt;
    return boost::endian::endian_load<T, sizeof(T), boost::endian::order::big>(
        reinterpret_cast<const unsigned char*>(bytes->data()));
  }

  template <typename Stored, typename Wide>
  bool ReadInteger(json& value) {
    const auto number = ReadNumber<Stored>();
    return number && Set(value, Wide{*number});
  }

  // Floating-point numbers are stored as the bits of an unsigned integer.
  template <typename Bits, typename Float>
  bool ReadFloat(json& value) {
    const auto bits = ReadNumber<Bits>();
    if (!bits) return false;
    Float number = 0;
    static_assert(sizeof(number) == sizeof(*bits));
    std::memcpy(&number, &*bits, sizeof(number));
    return Set(value, double{number});
  }

  bool ReadBinary(std::optional<size_t> length, json& value) {
    if (!length) return false;
    const auto bytes = Take(*length);
    if (!bytes) return false;
    value = json::binary(std::vector<uint8_t>(bytes->begin(), bytes->end()));
    return true;
  }

  template <typename T>
  std::optional<size_t> ReadStoredLength() {
    const auto length = ReadNumber<T>();
    if (!length) return std::nullopt;
    return size_t{*length};
  }

  bool ReadScalar(uint8_t type, json& value) {
    switch (type) {
      case kNil:
        value = nullptr;
        return true;
      case kFalse:
        value = false;
        return true;
      case kTrue:
        value = true;
        return true;
      case kBinary8:
        return ReadBinary(ReadStoredLength<uint8_t>(), value);
      case kBinary16:
        return ReadBinary(ReadStoredLength<uint16_t>(), value);
      case kBinary32:
        return ReadBinary(ReadStoredLength<uint32_t>(), value);
      case kFloat32:
        return ReadFloat<uint32_t, float>(value);
      case kFloat64:
        return ReadFloat<uint64_t, double>(value);
      case kUnsigned8:
        return ReadInteger<uint8_t, uint64_t>(value);
      case kUnsigned16:
        return ReadInteger<uint16_t, uint64_t>(value);
      case kUnsigned32:
        return ReadInteger<uint32_t, uint64_t>(value);
      case kUnsigned64:
        return ReadInteger<uint64_t, uint64_t>(value);
      case kSigned8:
        return ReadInteger<int8_t, int64_t>(value);
      case kSigned16:
        return ReadInteger<int16_t, int64_t>(value);
      case kSigned32:
        return ReadInteger<int32_t, int64_t>(value);
      case kSigned64:
        return ReadInteger<int64_t, int64_t>(value);
      default:
        return false;
    }
  }

  // Reads the length of a text, an array or a map.
  std::optional<size_t> ReadLength(uint8_t type) {
    if (type < kShortText) return size_t{type} & kShortLengthMask;
    if (type < kNil) return size_t{type} & kShortTextMask;
    switch (type) {
      case kText8:
        return ReadStoredLength<uint8_t>();
      case kText16:
      case kArray16:
      case kMap16:
        return ReadStoredLength<uint16_t>();
      default:
        return ReadStoredLength<uint32_t>();
    }
  }

  // Memory is not reserved by the stated length, which may be wrong.
  bool ReadArray(size_t length, json& value, int depth) {
    value = json::array();
    auto& items = value.get_ref<json::array_t&>();
    for (size_t i = 0; i < length; ++i) {
      items.emplace_back();
      if (!Read(items.back(), depth + 1)) return false;
    }
    return true;
  }

  bool ReadMap(size_t length, json& value, int depth) {
    value = json::object();
    auto& fields = value.get_ref<json::object_t&>();
    json name;
    for (size_t i = 0; i < length; ++i) {
      if (!Read(name, depth + 1) || !name.is_string()) return false;
      // Encoded maps are sorted by name.
      const auto field = fields.emplace_hint(
          fields.end(), std::move(name.get_ref<std::string&>()), nullptr);
      if (!Read(field->second, depth + 1)) return false;
    }
    return true;
  }

  std::string_view rest_;
};

// Returns the size of the value at the start of `bytes`, which are not empty,
// without the values that it contains: those follow. Returns nothing for an
// extension type or a value whose length is cut off.
std::optional<size_t> SizeOfFirst(std::string_view bytes) {
  const auto type = static_cast<uint8_t>(bytes[0]);
  if (type >= kShortText && type < kNil) {
    return 1 + (size_t{type} & kShortTextMask);
  }
  if (type <= kTrue || type >= kMinNegativeInteger) return 1;
  // Floating-point numbers, then unsigned and signed integers.
  static constexpr std::array<size_t, 10> kNumberBytes = {4, 8, 1, 2, 4,
                                                          8, 1, 2, 4, 8};
  if (type >= kFloat32 && type <= kSigned64) {
    return 1 + kNumberBytes.at(type - size_t{kFloat32});
  }
  if (type >= kArray16) {
    const bool is_short = type == kArray16 || type == kMap16;
    return 1 + (is_short ? sizeof(uint16_t) : sizeof(uint32_t));
  }
  // Binary data and texts, with a length of 1, 2 or 4 bytes.
  const bool is_text = type >= kText8;
  if (!is_text && type > kBinary32) return std::nullopt;
  const size_t size = size_t{1} << (type - (is_text ? kText8 : kBinary8));
  if (bytes.size() <= size) return std::nullopt;
  size_t length = 0;
  for (const char byte : bytes.substr(1, size)) {
    length = (length << 8U) | static_cast<uint8_t>(byte);
  }
  return 1 + size + length;
}

}  // namespace

bool HasTooManyValues(std::string_view bytes) {
  if (bytes.size() <= kUncountedBytes) return false;
  size_t values = 0;
  while (!bytes.empty() && values <= kMaxValues) {
    const std::optional<size_t> size = SizeOfFirst(bytes);
    // Decoding ends here, too.
    if (!size || *size > bytes.size()) return false;
    bytes.remove_prefix(*size);
    ++values;
  }
  return values > kMaxValues;
}

std::optional<json> ParseMessagePack(std::string_view bytes) {
  message_pack_reader reader(bytes);
  json value;
  if (!reader.Read(value, 0) || !reader.IsAtEnd()) {
    return Fail(reason_code::kInvalid, "malformed MessagePack");
  }
  return value;
}

}  // namespace hickorywood::core
