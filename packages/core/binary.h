#ifndef HICKORYWOOD_CORE_BINARY_H_
#define HICKORYWOOD_CORE_BINARY_H_

// Encodes typed messages as MessagePack, for links between the system's own
// processes and for replicated commands. Unlike JSON, MessagePack carries
// arbitrary bytes in a string, and it needs about a third of the CPU time.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/reason.h"

namespace hickorywood::core {

// Parses one MessagePack value that takes up all of `bytes`. Returns nothing
// with reason kInvalid if the input is malformed, nested too deeply, or has an
// extension type. Strings are copied in one piece: the parser of the JSON
// library reads them byte by byte, which took most of the time in which a store
// with 0.3 cores read its log (4 s for 82 MB).
std::optional<nlohmann::json> ParseMessagePack(std::string_view bytes);

// Whether `bytes` have more values than kMaxValues. They may be malformed.
bool HasTooManyValues(std::string_view bytes);

// Decodes `bytes` into T. Returns an empty optional with reason kInvalid if the
// input is malformed or a field has the wrong type. Missing fields keep their
// defaults.
template <typename T>
std::optional<T> DecodeBinary(std::string_view bytes) {
  const std::optional<nlohmann::json> tree = ParseMessagePack(bytes);
  if (!tree) return std::nullopt;
  if (!tree->is_object()) {
    return Fail(reason_code::kInvalid, "not a MessagePack map");
  }
  try {
    return tree->get<T>();
  } catch (const nlohmann::json::exception& error) {
    return Fail(reason_code::kInvalid, error.what());
  }
}

template <typename T>
std::string EncodeBinary(const T& value) {
  std::string bytes;
  nlohmann::json::to_msgpack(nlohmann::json(value), bytes);
  return bytes;
}

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_BINARY_H_
