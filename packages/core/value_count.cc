#include "core/value_count.h"

#include <algorithm>

namespace hickorywood::core {
namespace {

// Returns the position of the quotation mark that ends the text after `start`,
// or the end of the input.
size_t EndOfText(std::string_view input, size_t start) {
  size_t end = input.find_first_of("\"\\", start);
  while (end != std::string_view::npos && input[end] == '\\') {
    end = input.find_first_of("\"\\", end + 2);
  }
  return std::min(end, input.size());
}

}  // namespace

json_shape MeasureJson(std::string_view text) {
  json_shape shape;
  shape.values = 1;
  size_t depth = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    switch (text[i]) {
      case '"': {
        const size_t end = EndOfText(text, i + 1);
        shape.longest_text = std::max(shape.longest_text, end - i - 1);
        i = end;
        break;
      }
      case '[':
      case '{':
        ++shape.values;
        shape.depth = std::max(shape.depth, ++depth);
        break;
      case ']':
      case '}':
        depth -= std::min<size_t>(depth, 1);
        break;
      case ',':
      case ':':
        ++shape.values;
        break;
      default:
        break;
    }
  }
  return shape;
}

bool HasTooManyJsonValues(std::string_view text) {
  return text.size() > kUncountedBytes && MeasureJson(text).values > kMaxValues;
}

}  // namespace hickorywood::core
