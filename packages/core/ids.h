#ifndef HICKORYWOOD_CORE_IDS_H_
#define HICKORYWOOD_CORE_IDS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorywood::core {

// Header with the id of a call between the system's own instances. The response
// repeats the id of its request.
constexpr char kCallIdHeader[] = "X-Call-Id";

// Returns 32 lower-case hex digits from the system's random source.
std::string RandomId();

// Returns a short id that is unique in this process. The first half is a random
// number of the process, so ids of different processes differ.
std::string SequentialId();

// XXH3 of `bytes`, for detecting accidental corruption and for distributing
// keys. It does not protect against forgery.
uint64_t Hash64(std::string_view bytes);

// Hash64 as 16 hex digits.
std::string DigestHex(std::string_view bytes);

// Compares in a time that does not depend on the position of the first
// difference, so that a token can't be guessed character by character.
bool EqualConstantTime(std::string_view left, std::string_view right);

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_IDS_H_
