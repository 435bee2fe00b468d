#ifndef HICKORYWOOD_CORE_VALUE_COUNT_H_
#define HICKORYWOOD_CORE_VALUE_COUNT_H_

// Bounds the number of values of a message before it is decoded. A value of one
// byte takes up to a hundred bytes once it is decoded, so that the size of a
// message doesn't bound the memory that decoding it takes.

#include <cstddef>
#include <string_view>

namespace hickorywood::core {

// Maximum number of values of a message, including the names of fields. Without
// their texts, they take 25 MB when they are decoded.
constexpr size_t kMaxValues = 256UL * 1024;
// Messages up to this size are not counted: each of their values has at least a
// byte.
constexpr size_t kUncountedBytes = 64UL * 1024;

// What bounds the memory of decoding a JSON text.
struct json_shape {
  size_t values = 0;
  size_t longest_text = 0;  // bytes between quotation marks
  size_t depth = 0;         // of nested lists and objects
};

// The text may be malformed.
json_shape MeasureJson(std::string_view text);

// Whether a JSON text has more than kMaxValues values.
bool HasTooManyJsonValues(std::string_view text);

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_VALUE_COUNT_H_
