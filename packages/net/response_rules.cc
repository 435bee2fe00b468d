#include "net/response_rules.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string>
#include <utility>

#include "core/reason.h"

namespace hickorywood::net {
namespace {

constexpr size_t kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

bool Reject(std::string problem) {
  core::SetLastReason(core::reason_code::kInvalid, std::move(problem));
  return false;
}

bool AddStatusLine(response_head& head, std::string_view line) {
  const size_t version_end = std::min(line.size(), line.find(' ') + 1);
  const std::string_view digits = line.substr(version_end, kStatusDigits);
  int status = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  if (status < kMinStatus || status > kMaxStatus) {
    return Reject("the status of the response is not from 100 to 599");
  }
  // No request asks for another protocol.
  if (status == kSwitchingProtocols) {
    return Reject("the response switches to a protocol not asked for");
  }
  head.status = status;
  return true;
}

}  // namespace

bool AddHeadLine(response_head& head, std::string_view line) {
  if (head.status == 0) return AddStatusLine(head, line);
  head.is_complete = line == "\r\n" || line == "\n";
  return true;
}

bool IsInterim(const response_head& head) { return head.status / 100 == 1; }

}  // namespace hickorywood::net
