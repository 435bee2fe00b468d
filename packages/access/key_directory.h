#ifndef HICKORYWOOD_ACCESS_KEY_DIRECTORY_H_
#define HICKORYWOOD_ACCESS_KEY_DIRECTORY_H_

// Finds the customer that holds an API key.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fleet/configuration.h"

namespace hickorywood::access {

// The keys of a configuration as HMAC-SHA256 digests under a secret of this
// process. A lookup compares digests, so its duration reveals nothing about the
// keys themselves.
struct key_directory {
  std::string secret;
  std::unordered_map<std::string, size_t> customers;  // index, by digest
};

// `secret` must not be known to callers.
key_directory MakeKeyDirectory(const fleet::configuration& config,
                               std::string secret);

// Returns the index in the customers of the configuration of the one that holds
// `key`, or nothing if no customer does.
std::optional<size_t> FindHolder(const key_directory& directory,
                                 std::string_view key);

}  // namespace hickorywood::access

#endif  // HICKORYWOOD_ACCESS_KEY_DIRECTORY_H_
