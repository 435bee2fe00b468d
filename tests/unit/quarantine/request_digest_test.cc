#include "quarantine/request_digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace hickorywood::quarantine {
namespace {

constexpr char kKey[] = "key";

net::request MakeRequest(const std::string& id) {
  return {"POST",
          "/clips/7?sync=1",
          {{"Host", "camera.example"}, {"X-Request-Id", id}},
          "clip"};
}

std::string Digest(const net::request& input) {
  return DigestOf(kKey, IdentityOf(input));
}

TEST(RequestDigestTest, DigestIgnoresTheId) {
  EXPECT_EQ(Digest(MakeRequest("first")), Digest(MakeRequest("second")));
}

TEST(RequestDigestTest, HostIsComparedWithoutCase) {
  net::request other = MakeRequest("id");
  other.headers[0].value = "Camera.Example";
  EXPECT_EQ(Digest(MakeRequest("id")), Digest(other));
}

TEST(RequestDigestTest, DigestCoversCustomerMethodTargetAndBody) {
  const std::string digest = Digest(MakeRequest("id"));
  net::request customer = MakeRequest("id");
  customer.headers[0].value = "other.example";
  EXPECT_NE(Digest(customer), digest);
  net::request method = MakeRequest("id");
  method.method = "PUT";
  EXPECT_NE(Digest(method), digest);
  net::request target = MakeRequest("id");
  target.target = "/clips/7?sync=2";
  EXPECT_NE(Digest(target), digest);
  net::request body = MakeRequest("id");
  body.body = "clap";
  EXPECT_NE(Digest(body), digest);
}

// Guards against a caller's request that is confused with a task of the same
// content, which is never quarantined.
TEST(RequestDigestTest, BatchWorkHasItsOwnDigest) {
  const net::request input = MakeRequest("id");
  request_identity task = IdentityOf(input);
  task.is_batch = true;
  EXPECT_NE(DigestOf(kKey, task), Digest(input));
  EXPECT_TRUE(DigestOf(kKey, task).starts_with(DigestPrefixOf(kKey, task)));
}

// Someone who reads the logs and has a body cannot find out whether it was
// sent.
TEST(RequestDigestTest, DigestDependsOnTheKey) {
  const net::request input = MakeRequest("id");
  EXPECT_NE(DigestOf("other", IdentityOf(input)), Digest(input));
}

// The check by prefix must not miss a suspected request: the digest of a
// request always begins with its prefix.
TEST(RequestDigestTest, PrefixLeavesOutTheContentOfTheBody) {
  const net::request input = MakeRequest("id");
  net::request same_size = MakeRequest("id");
  same_size.body = "clap";
  const std::string prefix = DigestPrefixOf(kKey, IdentityOf(input));
  EXPECT_TRUE(Digest(input).starts_with(prefix));
  EXPECT_TRUE(Digest(same_size).starts_with(prefix));
  net::request longer = MakeRequest("id");
  longer.body = "clips";
  EXPECT_FALSE(Digest(longer).starts_with(prefix));
}

RC_GTEST_PROP(RequestDigestTest, FieldBoundariesAreEncoded,
              (const std::string& left, const std::string& right)) {
  RC_PRE(!right.empty());
  const std::string joined = left + right;
  const request_identity one{"c", "POST", joined, ""};
  const request_identity two{"c", "POST", left, right};
  RC_ASSERT(DigestOf(kKey, one) != DigestOf(kKey, two));
}

}  // namespace
}  // namespace hickorywood::quarantine
