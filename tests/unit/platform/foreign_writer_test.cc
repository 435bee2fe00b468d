// Messages from unknown senders: missing or mistyped fields and malformed
// bytes. They must not add an endpoint, remove one, or crash the decoder.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/protocol.h"

namespace hickorywood::platform {
namespace {

// Enough to decode any submission of these tests.
constexpr size_t kMemory = 64UL * 1024 * 1024;

net::request Post(const std::string& target, const std::string& body) {
  net::request input;
  input.method = "POST";
  input.target = target;
  input.body = body;
  return input;
}

class ForeignWriterTest : public ::testing::Test {
 protected:
  template <typename Call>
  Call Decode(const net::request& input) {
    const fleet::control_call call = wire_->DecodeControlCall(input);
    EXPECT_TRUE(std::holds_alternative<Call>(call)) << input.target;
    if (!std::holds_alternative<Call>(call)) return Call{};
    return std::get<Call>(call);
  }

  const std::unique_ptr<fleet::protocol> wire_ = MakeProtocol();
};

constexpr char kHeartbeat[] =
    R"({"service":"svc","address":"10.0.0.9:80","zone":"za","version":"v1",
        "slots":12,"state":"draining","cold_left_ms":30,"stage":"both",
        "models":[{"name":"m","version":3,"adapters":[]}],"seq":4})";

// Values that no endpoint sends in the field `name` of a heartbeat.
std::vector<nlohmann::json> ForeignValues(const std::string& name) {
  std::vector<nlohmann::json> values = {
      nlohmann::json::array(), nlohmann::json::object(), true, -1, 1.5, 1e300};
  const bool is_number = name == "slots" || name == "cold_left_ms" ||
                         name == "seq" || name == "born";
  values.push_back(is_number ? nlohmann::json("4") : nlohmann::json(4));
  return values;
}

// Heartbeats with missing or mistyped fields are rejected with a reason and do
// not add an endpoint.
TEST_F(ForeignWriterTest, MalformedHeartbeatsAddNoEndpoint) {
  const auto expect_refused = [this](const nlohmann::json& beat) {
    const auto bad = Decode<fleet::malformed_call>(
        Post("/v1/instances/i-1/heartbeat", beat.dump()));
    EXPECT_EQ(bad.status, 400) << beat;
    EXPECT_FALSE(bad.reason.empty()) << beat;
  };
  nlohmann::json good = nlohmann::json::parse(kHeartbeat);
  good["born"] = 1764720000123;
  for (const char* name : {"service", "address", "zone", "slots", "state",
                           "cold_left_ms", "seq"}) {
    nlohmann::json beat = good;
    beat.erase(name);
    expect_refused(beat);
  }
  for (const char* name : {"service", "address", "zone", "slots", "state",
                           "cold_left_ms", "seq", "born", "models"}) {
    for (const nlohmann::json& value : ForeignValues(name)) {
      const bool is_list = std::string(name) == "models" && value.is_array();
      if (is_list) continue;
      nlohmann::json beat = good;
      beat[name] = value;
      expect_refused(beat);
    }
  }
  for (const char* state : {"", "READY", "gone", "ready "}) {
    nlohmann::json beat = good;
    beat["state"] = state;
    expect_refused(beat);
  }
  for (const char* address :
       {"", "10.0.0.9", ":80", "10.0.0.9:", "host:80", "10.0.0.9:0",
        "10.0.0.9:70000", "10.0.0:x", "10.0.0.9:80 "}) {
    nlohmann::json beat = good;
    beat["address"] = address;
    expect_refused(beat);
  }
  for (const char* model :
       {"5", "{}", R"({"name":"m"})", R"({"version":1})",
        R"({"name":3,"version":1})", R"({"name":"m","version":"1"})"}) {
    nlohmann::json beat = good;
    beat["models"] = nlohmann::json::array({nlohmann::json::parse(model)});
    expect_refused(beat);
  }
}

// A malformed leave message is rejected and removes no endpoint.
TEST_F(ForeignWriterTest, MalformedLeavesRemoveNoEndpoint) {
  for (const char* body : {"x", "5", "[]", "{\"born\":\"5\"}", "{\"born\":-5}",
                           "{\"born\":1.5}"}) {
    EXPECT_EQ(
        Decode<fleet::malformed_call>(Post("/v1/instances/i-1/leave", body))
            .status,
        400)
        << body;
  }
  Decode<fleet::leave_call>(Post("/v1/instances/i-1/leave", "{}"));
}

// Examples of messages, which the tests below corrupt.

struct example {
  const char* target;
  const char* body;
};

const std::vector<example>& Examples() {
  static const auto* const kExamples = new std::vector<example>{
      {"/v1/instances/i-1/heartbeat", kHeartbeat},
      {"/v1/instances/i-1/leave", R"({"born":1764720000123})"},
      {"/v1/version-put", R"({"model":"m","version":8})"},
      {"/v1/retire/store-1/start", R"({"duration_s":2.5})"},
      {"/v1/config/put",
       R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
           "kind":"safe","timeout_ms":2000,"goal_ms":150,"priority":2,
           "backends":[{"service":"e","weight":90}],"max_attempts":2}],
           "services":[{"name":"e","health_path":"/health","max_conns":160,
           "engine":{"slots":12,"kv_tokens":700,"models":[{"name":"m"}]}}],
           "limits":{"max_header_bytes":16384,"max_body_bytes":1000}})"},
      {"/s/7c41",
       R"({"step":7,"model":"m","min_version":6,"target_groups":12,
           "requests":[{"id":"t1","path":"/s/3","headers":{"X-Model":"m"},
           "body":"q83vEjRWeJA=","tokens":940,"group":"g1","scorer":
           {"id":"r1","host":"h","path":"/r/5","body":"3q2+7w=="}}]})"}};
  return *kExamples;
}

// Changes, removes or inserts a few bytes.
std::string Damaged(std::string body) {
  static const std::string kLikely =
      std::string("{}[]\":,0-9.eE\\u\xff") + "nt" + '\0';
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !body.empty(); ++i) {
    const size_t at = *rc::gen::inRange<size_t>(0, body.size());
    const char byte = kLikely[*rc::gen::inRange<size_t>(0, kLikely.size())];
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        body[at] = byte;
        break;
      case 1:
        body.insert(at, *rc::gen::inRange<size_t>(1, 40), byte);
        break;
      case 2:
        body.erase(at, *rc::gen::inRange<size_t>(1, 40));
        break;
      default:
        body.insert(at, body.substr(at, *rc::gen::inRange<size_t>(1, 200)));
        break;
    }
  }
  return body;
}

bool IsUsable(const fleet::heartbeat& beat) {
  return beat.address.find(':') != std::string::npos && beat.slots >= 0 &&
         beat.started_ms >= 0;
}

// Corrupted messages never crash the decoder. The number of decoded items is
// bounded by the size of the message, and an accepted heartbeat has a usable
// address.
RC_GTEST_PROP(ForeignWriterPropertyTest, DamagedMessagesAreAnsweredInBounds,
              ()) {
  const auto wire = MakeProtocol();
  for (const example& item : Examples()) {
    const std::string body = Damaged(item.body);
    const fleet::control_call call =
        wire->DecodeControlCall(Post(item.target, body));
    if (const auto* beat = std::get_if<fleet::announce_call>(&call)) {
      RC_ASSERT(IsUsable(beat->input));
      RC_ASSERT(beat->input.models.size() <= body.size());
    }
    if (const auto* put = std::get_if<fleet::put_configuration_call>(&call)) {
      RC_ASSERT(put->config.routes.size() <= body.size());
      fleet::CheckConfiguration(put->config);
    }
    net::request submitted = Post(item.target, body);
    submitted.headers = {{"Host", "h"}, {"X-Request-Id", "s"}};
    if (const auto step = wire->DecodeSubmission(submitted, kMemory)) {
      RC_ASSERT(step->tasks.size() <= body.size());
    }
    net::response report;
    report.body = body;
    if (const auto read = wire->DecodeReport(report)) {
      RC_ASSERT(read->models.size() <= body.size());
    }
  }
}

}  // namespace
}  // namespace hickorywood::platform
