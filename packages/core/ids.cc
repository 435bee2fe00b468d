#include "core/ids.h"

#include <xxhash.h>

#include <atomic>
#include <cstdio>
#include <random>

namespace hickorywood::core {
namespace {

std::string Hex64(uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

std::string RandomId() {
  std::random_device device;
  const auto next = [&device] {
    return (static_cast<uint64_t>(device()) << 32U) | device();
  };
  return Hex64(next()) + Hex64(next());
}

std::string SequentialId() {
  static const uint32_t kProcess = std::random_device()();
  static std::atomic<uint32_t> latest{0};
  const uint64_t first_half = static_cast<uint64_t>(kProcess) << 32U;
  return Hex64(first_half | ++latest);
}

uint64_t Hash64(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::string DigestHex(std::string_view bytes) { return Hex64(Hash64(bytes)); }

bool EqualConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned char difference = 0;
  for (size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace hickorywood::core
