#include "core/reason.h"

#include <utility>

namespace hickorywood::core {
namespace {

thread_local reason last_reason;

}  // namespace

const char* ReasonName(reason_code code) {
  switch (code) {
    case reason_code::kNone:
      return "none";
    case reason_code::kInvalid:
      return "invalid";
    case reason_code::kNotFound:
      return "not_found";
    case reason_code::kConflict:
      return "conflict";
    case reason_code::kUnavailable:
      return "unavailable";
    case reason_code::kTimeout:
      return "timeout";
    case reason_code::kCorrupt:
      return "corrupt";
    case reason_code::kIo:
      return "io";
    case reason_code::kTooLarge:
      return "too_large";
    case reason_code::kDenied:
      return "denied";
  }
  return "none";
}

const reason& LastReason() { return last_reason; }

void SetLastReason(reason_code code, std::string text) {
  last_reason.code = code;
  last_reason.text = std::move(text);
}

std::nullopt_t Fail(reason_code code, std::string text) {
  SetLastReason(code, std::move(text));
  return std::nullopt;
}

}  // namespace hickorywood::core
