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

// 128 bits, so that a collision of two digests is not to be expected below
// about 2^64 requests.
constexpr size_t kDigestBytes = 16;
// Enough that hardly any request has the prefix of a suspected one by chance.
constexpr size_t kPrefixBytes = 8;

using mac_state = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;

const unsigned char* BytesOf(const void* data) {
  return static_cast<const unsigned char*>(data);
}

mac_state StartMac(std::string_view key) {
  static EVP_MAC* const kAlgorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  char hash[] = "SHA256";
  const std::array<OSSL_PARAM, 2> parameters = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, hash, 0),
      OSSL_PARAM_construct_end()};
  mac_state state(EVP_MAC_CTX_new(kAlgorithm), &EVP_MAC_CTX_free);
  EVP_MAC_init(state.get(), BytesOf(key.data()), key.size(), parameters.data());
  return state;
}

void AddNumber(const mac_state& state, uint64_t number) {
  EVP_MAC_update(state.get(), BytesOf(&number), sizeof number);
}

// The length precedes the bytes, so that no two lists of fields have the same
// encoding.
void AddField(const mac_state& state, std::string_view field) {
  AddNumber(state, field.size());
  EVP_MAC_update(state.get(), BytesOf(field.data()), field.size());
}

mac_state StartDigest(std::string_view key, const request_identity& input) {
  mac_state state = StartMac(key);
  AddField(state, absl::AsciiStrToLower(std::string(input.customer)));
  AddField(state, input.is_batch ? "batch " + std::string(input.method)
                                 : std::string(input.method));
  AddField(state, input.target);
  AddNumber(state, input.body.size());
  return state;
}

std::string FinishMac(const mac_state& state, size_t bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  size_t size = 0;
  EVP_MAC_final(state.get(), mac.data(), &size, mac.size());
  const std::string truncated(reinterpret_cast<const char*>(mac.data()), bytes);
  return absl::BytesToHexString(truncated);
}

}  // namespace

request_identity IdentityOf(const net::request& input) {
  return {net::Find(input.headers, "Host"), input.method, input.target,
          input.body.Text()};
}

std::string DigestPrefixOf(std::string_view key,
                           const request_identity& input) {
  return FinishMac(StartDigest(key, input), kPrefixBytes);
}

std::string DigestOf(std::string_view key, const request_identity& input) {
  const mac_state state = StartDigest(key, input);
  AddField(state, input.body);
  return DigestPrefixOf(key, input) + FinishMac(state, kDigestBytes);
}

}  // namespace hickorywood::quarantine
