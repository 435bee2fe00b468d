#include "access/key_directory.h"

#include <openssl/evp.h>

#include <array>
#include <utility>

namespace hickorywood::access {
namespace {

const unsigned char* BytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string DigestOf(std::string_view secret, std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  size_t size = 0;
  EVP_Q_mac(nullptr, "HMAC", nullptr, "SHA256", nullptr, BytesOf(secret),
            secret.size(), BytesOf(key), key.size(), mac.data(), mac.size(),
            &size);
  return {reinterpret_cast<const char*>(mac.data()), size};
}

}  // namespace

key_directory MakeKeyDirectory(const fleet::configuration& config,
                               std::string secret) {
  key_directory directory;
  directory.secret = std::move(secret);
  for (size_t i = 0; i < config.customers.size(); ++i) {
    for (const std::string& key : config.customers[i].keys) {
      directory.customers[DigestOf(directory.secret, key)] = i;
    }
  }
  return directory;
}

std::optional<size_t> FindHolder(const key_directory& directory,
                                 std::string_view key) {
  if (key.empty()) return std::nullopt;
  const auto found = directory.customers.find(DigestOf(directory.secret, key));
  if (found == directory.customers.end()) return std::nullopt;
  return found->second;
}

}  // namespace hickorywood::access
