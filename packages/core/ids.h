#ifndef HICKORYWOOD_CORE_IDS_H_
#define HICKORYWOOD_CORE_IDS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorywood::core {

// The header that names a call between the system's own instances, in the call
// and in its answer.
constexpr char kCallIdHeader[] = "X-Call-Id";

// 32 lower-case hex digits from the system's random source.
std::string RandomId();

// A short id that this process gives once. Others draw their own first half.
std::string SequentialId();

// XXH3 of `bytes`: for checksums against accidental damage and for spreading,
// not against forgery.
uint64_t Hash64(std::string_view bytes);

// Hash64 as 16 hex digits.
std::string DigestHex(std::string_view bytes);

// Compares in time that does not depend on where the two differ, so that a
// token can't be guessed character by character.
bool EqualConstantTime(std::string_view left, std::string_view right);

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_IDS_H_
