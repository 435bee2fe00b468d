#ifndef HICKORYWOOD_CORE_REASON_H_
#define HICKORYWOOD_CORE_REASON_H_

// Error reporting with std::optional: a function that fails returns an empty
// optional and stores the reason in a thread-local variable, where it stays
// until the next failure on the same thread.

#include <optional>
#include <string>

namespace hickorywood::core {

enum class reason_code {
  kNone,
  kInvalid,      // the input is not acceptable
  kNotFound,     // the requested object does not exist
  kConflict,     // another change was applied first
  kUnavailable,  // temporary; a retry may succeed
  kTimeout,
  kCorrupt,  // stored bytes differ from the bytes written
  kIo,
  kDenied,
  kTooLarge,  // takes more memory than there is for it
};

struct reason {
  reason_code code = reason_code::kNone;
  std::string text;
};

// The stable lower-case name of `code`, as used in responses and logs.
const char* ReasonName(reason_code code);

// The reason of the last failed call on this thread.
const reason& LastReason();

void SetLastReason(reason_code code, std::string text);

// Stores the reason and returns a value that converts to an empty optional:
// `return Fail(code, "text");`.
std::nullopt_t Fail(reason_code code, std::string text);

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_REASON_H_
