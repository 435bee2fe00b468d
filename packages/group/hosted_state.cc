#include "group/hosted_state.h"

#include <boost/endian/conversion.hpp>
#include <cstring>
#include <utility>

#include "core/binary.h"

namespace hickorywood::group {
namespace {

// Size of the length of the header in front of it; big-endian.
constexpr size_t kLengthBytes = sizeof(uint32_t);

}  // namespace

std::string EncodeCommand(const hosted_command& input) {
  const std::string header = core::EncodeBinary(input);
  const uint32_t length =
      boost::endian::native_to_big(static_cast<uint32_t>(header.size()));
  std::string bytes(kLengthBytes, '\0');
  std::memcpy(bytes.data(), &length, kLengthBytes);
  return bytes + header + input.payload;
}

std::optional<hosted_command> DecodeCommand(std::string_view bytes) {
  uint32_t length = 0;
  if (bytes.size() >= kLengthBytes) {
    std::memcpy(&length, bytes.data(), kLengthBytes);
    length = boost::endian::big_to_native(length);
    bytes.remove_prefix(kLengthBytes);
  }
  if (length == 0 || length > bytes.size()) {
    return core::Fail(core::reason_code::kInvalid, "not a command");
  }
  auto input = core::DecodeBinary<hosted_command>(bytes.substr(0, length));
  if (input) input->payload = std::string(bytes.substr(length));
  return input;
}

}  // namespace hickorywood::group
