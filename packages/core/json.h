#ifndef HICKORYWOOD_CORE_JSON_H_
#define HICKORYWOOD_CORE_JSON_H_

// Encodes typed messages as JSON text. Structs declare their fields with
// NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT. Exceptions of the JSON
// library are caught in this header.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core/reason.h"

namespace hickorywood::core {

// Decodes `text` into T. Returns an empty optional with reason kInvalid if the
// text is malformed or a field has the wrong type. Missing fields keep their
// defaults, so that processes of adjacent releases are compatible.
template <typename T>
std::optional<T> Decode(const std::string& text) {
  try {
    const nlohmann::json tree = nlohmann::json::parse(text);
    if (!tree.is_object()) {
      return Fail(reason_code::kInvalid, "not a JSON object");
    }
    return tree.get<T>();
  } catch (const nlohmann::json::exception& error) {
    return Fail(reason_code::kInvalid, error.what());
  }
}

// Encodes `value`. Bytes that are not valid UTF-8 are replaced, so encoding
// can't fail.
template <typename T>
std::string Encode(const T& value) {
  const nlohmann::json tree = value;
  return tree.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_JSON_H_
