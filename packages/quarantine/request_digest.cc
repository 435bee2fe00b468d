#include "quarantine/request_digest.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>
#include <cstdint>
#include <memory>

namespace hickorywood::quarantine {
namespace {

// Two requests out of 2^64 would have to meet for one to be taken for the
// other.
constexpr size_t kDigestBytes = 16;

using mac_state = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;

const unsigned char* BytesOf(const void* data) {
  return static_cast<const unsigned char*>(data);
}

mac_state StartMac(std::string_view key) {
  static EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  char hash[] = "SHA256";
  const std::array<OSSL_PARAM, 2> terms = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, hash, 0),
      OSSL_PARAM_construct_end()};
  mac_state state(EVP_MAC_CTX_new(algorithm), &EVP_MAC_CTX_free);
  EVP_MAC_init(state.get(), BytesOf(key.data()), key.size(), terms.data());
  return state;
}

// The length goes before the bytes, so that no two sets of fields read alike.
void AddField(const mac_state& state, std::string_view field) {
  const uint64_t size = field.size();
  EVP_MAC_update(state.get(), BytesOf(&size), sizeof size);
  EVP_MAC_update(state.get(), BytesOf(field.data()), field.size());
}

}  // namespace

request_identity IdentityOf(const net::request& input) {
  return {net::Find(input.headers, "Host"), input.method, input.target,
          input.body};
}

std::string DigestOf(std::string_view key, const request_identity& input) {
  const mac_state state = StartMac(key);
  AddField(state, absl::AsciiStrToLower(std::string(input.customer)));
  AddField(state, input.method);
  AddField(state, input.target);
  AddField(state, input.body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> whole{};
  size_t size = 0;
  EVP_MAC_final(state.get(), whole.data(), &size, whole.size());
  const std::string cut(reinterpret_cast<const char*>(whole.data()),
                        kDigestBytes);
  return absl::BytesToHexString(cut);
}

}  // namespace hickorywood::quarantine
