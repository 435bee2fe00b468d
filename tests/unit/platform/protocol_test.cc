// Decodes and encodes every call of the platform.

#include "platform/protocol.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace hickorywood::platform {
namespace {

// Enough to decode any submission of these tests.
constexpr size_t kMemory = 64UL * 1024 * 1024;

using std::chrono::milliseconds;

net::request Post(const std::string& target, const std::string& body) {
  net::request input;
  input.method = "POST";
  input.target = target;
  input.body = body;
  return input;
}

net::request Get(const std::string& target) {
  net::request input;
  input.method = "GET";
  input.target = target;
  return input;
}

class ProtocolTest : public ::testing::Test {
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

TEST_F(ProtocolTest, HeartbeatOfAReclaimedServer) {
  std::string body = kHeartbeat;
  body.insert(1, R"("spot":true,"leaves_ms":1500,)");
  const auto call =
      Decode<fleet::announce_call>(Post("/v1/instances/i-1/heartbeat", body));
  EXPECT_TRUE(call.input.is_spot);
  EXPECT_EQ(call.input.leaves_ms, 1500);
}

TEST_F(ProtocolTest, Heartbeat) {
  const auto call = Decode<fleet::announce_call>(
      Post("/v1/instances/i-1/heartbeat", kHeartbeat));
  EXPECT_EQ(call.input.name, "i-1");
  EXPECT_EQ(call.input.started_ms, 0);
  EXPECT_EQ(call.input.service, "svc");
  EXPECT_EQ(call.input.address, "10.0.0.9:80");
  EXPECT_EQ(call.input.zone, "za");
  EXPECT_EQ(call.input.slots, 12);
  EXPECT_TRUE(call.input.is_draining);
  EXPECT_EQ(call.input.warming_ms, 30);
  EXPECT_EQ(call.input.sequence, 4U);
  ASSERT_EQ(call.input.models.size(), 1U);
  EXPECT_EQ(call.input.models[0].version, 3U);
}

// The start time of an endpoint is a top-level field of each of its messages.
TEST_F(ProtocolTest, StartTimeOfAnEndpoint) {
  nlohmann::json beat = nlohmann::json::parse(kHeartbeat);
  beat["born"] = 1764720000123;
  EXPECT_EQ(Decode<fleet::announce_call>(
                Post("/v1/instances/i-1/heartbeat", beat.dump()))
                .input.started_ms,
            1764720000123);
  EXPECT_EQ(Decode<fleet::leave_call>(
                Post("/v1/instances/i-1/leave", R"({"born":1764720000123})"))
                .input.started_ms,
            1764720000123);
  net::response report;
  report.body = R"({"models":[],"seq":0,"born":5})";
  EXPECT_EQ(wire_->DecodeReport(report)->started_ms, 5);
  report.body = R"({"models":[],"seq":0})";
  EXPECT_FALSE(wire_->DecodeReport(report)->started_ms);
}

TEST_F(ProtocolTest, LeaveRetireAndPublish) {
  EXPECT_EQ(
      Decode<fleet::leave_call>(Post("/v1/instances/i-1/leave", "")).input.name,
      "i-1");
  const auto retire = Decode<fleet::retire_call>(
      Post("/v1/retire/store-1/start", R"({"duration_s":2.5})"));
  EXPECT_EQ(retire.instance, "store-1");
  EXPECT_EQ(retire.duration, milliseconds(2500));
  EXPECT_EQ(Decode<fleet::retirement_status_call>(Get("/v1/retire/store-1/get"))
                .instance,
            "store-1");
  const auto publish = Decode<fleet::publish_version_call>(
      Post("/v1/version-put", R"({"model":"m","version":8})"));
  EXPECT_EQ(publish.published.model, "m");
  EXPECT_EQ(publish.published.version, 8U);
  Decode<fleet::get_configuration_call>(Get("/v1/config/get"));
}

nlohmann::json ConfigurationBody() {
  return nlohmann::json::parse(R"({"version":7,"routes":[
    {"name":"steps","host":"h","path_prefix":"/s/","kind":"rollout",
     "timeout_ms":10000,"goal_ms":500,"priority":1,"service":"e",
     "max_attempts":3,"item_ttl_s":40.5,"due_ms":7500,"single_version":true,
     "resumable":true},
    {"name":"plain","host":"h","path_prefix":"/p/","kind":"safe",
     "timeout_ms":2000,"backends":[{"service":"e","weight":90},
     {"service":"w","weight":10}]}],
    "services":[{"name":"e","health_path":"/health","max_conns":160,
     "engine":{"slots":12,"kv_tokens":700,"models":[{"name":"m"}]}},
     {"name":"w"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":1000,
     "header_timeout_ms":3000,"idle_timeout_ms":15000},"later":true})");
}

TEST_F(ProtocolTest, Configuration) {
  const std::string text = ConfigurationBody().dump();
  const auto call =
      Decode<fleet::put_configuration_call>(Post("/v1/config/put", text));
  EXPECT_EQ(call.text, text);
  const fleet::configuration& config = call.config;
  EXPECT_EQ(config.version, 7U);
  ASSERT_EQ(config.routes.size(), 2U);
  EXPECT_EQ(config.routes[0].kind, fleet::route_kind::kRollout);
  EXPECT_EQ(config.routes[0].task_lifetime_ms, 40500);
  EXPECT_EQ(config.routes[0].due_ms, 7500);
  EXPECT_TRUE(config.routes[0].is_single_version);
  EXPECT_EQ(config.routes[1].kind, fleet::route_kind::kIdempotent);
  EXPECT_EQ(config.routes[1].services[1].weight, 10);
  EXPECT_EQ(config.services[0].engine.models[0], "m");
  EXPECT_FALSE(config.services[1].has_engines);
  EXPECT_EQ(config.limits.idle_timeout_ms, 15000);
  EXPECT_TRUE(fleet::CheckConfiguration(config).empty());
  EXPECT_EQ(wire_->EncodeConfiguration(text).body, text);
}

// A configuration with malformed fields is rejected, and each of these fields
// is reported.
TEST_F(ProtocolTest, ConfigurationWithWrongTypes) {
  nlohmann::json body = ConfigurationBody();
  body["version"] = -1;
  body["routes"][0]["timeout_ms"] = "soon";
  body["routes"][1].erase("host");
  body["services"][0]["engine"]["models"] = 5;
  const auto bad =
      Decode<fleet::malformed_call>(Post("/v1/config/put", body.dump()));
  EXPECT_EQ(bad.status, 400);
  for (const char* place : {"configuration.version", "routes[0].timeout_ms",
                            "routes[1].host", "engine.models"}) {
    EXPECT_NE(bad.reason.find(place), std::string::npos) << place;
  }
}

// Every truncated body is rejected; none is decoded as a different message.
TEST_F(ProtocolTest, TruncatedBodiesAreRefused) {
  const std::string config = ConfigurationBody().dump();
  for (size_t size = 0; size < config.size(); ++size) {
    Decode<fleet::malformed_call>(
        Post("/v1/config/put", config.substr(0, size)));
  }
  const std::string beat = kHeartbeat;
  for (size_t size = 0; size < beat.size(); ++size) {
    Decode<fleet::malformed_call>(
        Post("/v1/instances/i-1/heartbeat", beat.substr(0, size)));
  }
}

TEST_F(ProtocolTest, UnknownCallsAreNotFound) {
  EXPECT_EQ(Decode<fleet::malformed_call>(Get("/v1/other")).status, 404);
  EXPECT_EQ(
      Decode<fleet::malformed_call>(Post("/v1/instances//heartbeat", "{}"))
          .status,
      404);
  net::request put = Get("/v1/config/get");
  put.method = "PUT";
  EXPECT_EQ(Decode<fleet::malformed_call>(put).status, 405);
}

TEST_F(ProtocolTest, Submission) {
  net::request input = Post("/s/7c41", R"({"step":7,"model":"m",
    "min_version":6,"target_groups":12,"requests":[{"id":"t1",
    "path":"/s/3/91","headers":{"X-Model":"m","X-Token-Counts":"540,400",
    "X-Length-Hint":"120"},"body":"q83vEjRWeJA=","tokens":940,
    "group":"g1"}]})");
  input.headers = {{"Host", "h"}, {"x-request-id", "lot-1"}};
  const auto step = wire_->DecodeSubmission(input, kMemory);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->id, "lot-1");
  EXPECT_EQ(step->host, "h");
  EXPECT_EQ(step->number, 7);
  EXPECT_EQ(step->minimum_version, 6U);
  EXPECT_EQ(step->wanted_groups, 12);
  ASSERT_EQ(step->tasks.size(), 1U);
  const steps::task& task = step->tasks[0];
  ASSERT_TRUE(task.request);
  EXPECT_EQ(task.request->body.size(), 8U);
  EXPECT_EQ(wire_->ExpectedTokens(*task.request), 120);
  EXPECT_EQ(wire_->LargestOutput(*task.request), 400);

  fleet::dispatch_terms terms;
  terms.time_left = milliseconds(900);
  terms.endpoint = "i-1";
  terms.last_event = 5;
  const net::request run =
      wire_->EncodeTask(*step, task.id, *task.request, terms);
  EXPECT_EQ(run.method, "POST");
  EXPECT_EQ(run.target, "/s/3/91");
  EXPECT_EQ(run.body, task.request->body);
  EXPECT_EQ(net::Find(run.headers, "Host"), "h");
  EXPECT_EQ(net::Find(run.headers, "X-Request-Id"), "t1");
  EXPECT_EQ(net::Find(run.headers, "X-Model"), "m");
  EXPECT_EQ(net::Find(run.headers, "X-Deadline-Ms"), "900");
  EXPECT_EQ(net::Find(run.headers, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(net::Find(run.headers, "Last-Event-Id"), "5");
}

TEST_F(ProtocolTest, RewardOfATask) {
  net::request input = Post("/s/7c41", R"({"requests":[{"id":"t1",
    "path":"/s/3/91","scorer":{"id":"r1","host":"h2","path":"/r/5",
    "body":"3q2+7w=="}},{"id":"t2","path":"/s/3/92"}]})");
  input.headers = {{"Host", "h"}, {"X-Request-Id", "lot-1"}};
  const auto step = wire_->DecodeSubmission(input, kMemory);
  ASSERT_TRUE(step);
  ASSERT_TRUE(step->tasks[0].request->HasReward());
  EXPECT_FALSE(step->tasks[1].request->HasReward());
  const net::request call = wire_->EncodeReward(step->tasks[0].request->reward);
  EXPECT_EQ(call.method, "POST");
  EXPECT_EQ(call.target, "/r/5");
  EXPECT_EQ(net::Find(call.headers, "Host"), "h2");
  EXPECT_EQ(net::Find(call.headers, "X-Request-Id"), "r1");
  EXPECT_EQ(call.body, "\xDE\xAD\xBE\xEF");
}

// A malformed reward request must not be ignored, because its task would be
// listed without a score. The submission is rejected.
TEST_F(ProtocolTest, BadRewards) {
  const nlohmann::json good = nlohmann::json::parse(
      R"({"id":"r1","host":"h","path":"/r/5","body":"3q2+7w=="})");
  const auto decode = [this](const nlohmann::json& reward) {
    net::request input =
        Post("/s/1",
             nlohmann::json(
                 {{"requests",
                   nlohmann::json::array(
                       {{{"id", "t"}, {"path", "/p"}, {"scorer", reward}}})}})
                 .dump());
    input.headers = {{"X-Request-Id", "lot-1"}};
    return wire_->DecodeSubmission(input, kMemory).has_value();
  };
  EXPECT_TRUE(decode(good));
  EXPECT_FALSE(decode(7));
  EXPECT_FALSE(decode(nlohmann::json::array()));
  // Some senders encode an omitted field as null.
  EXPECT_TRUE(decode(nullptr));
  for (const char* name : {"id", "host", "path"}) {
    for (const nlohmann::json& bad : {nlohmann::json(5), nlohmann::json("")}) {
      nlohmann::json reward = good;
      reward[name] = bad;
      EXPECT_FALSE(decode(reward)) << name << " " << bad;
    }
    nlohmann::json reward = good;
    reward.erase(name);
    EXPECT_FALSE(decode(reward)) << name;
  }
  nlohmann::json reward = good;
  reward["body"] = "*";
  EXPECT_FALSE(decode(reward));
}

TEST_F(ProtocolTest, BadSubmissions) {
  const auto decode = [this](const std::string& body) {
    net::request input = Post("/s/1", body);
    input.headers = {{"X-Request-Id", "lot-1"}};
    return wire_->DecodeSubmission(input, kMemory).has_value();
  };
  EXPECT_TRUE(decode(R"({"requests":[]})"));
  EXPECT_FALSE(decode(R"({"requests":5})"));
  EXPECT_FALSE(decode(R"({"requests":[{"id":"t"}]})"));
  EXPECT_FALSE(decode(R"({"requests":[{"id":"t","path":"/p","body":"*"}]})"));
  EXPECT_FALSE(
      decode(R"({"requests":[{"id":"t","path":"/p","headers":{"a":1}}]})"));
  EXPECT_FALSE(
      wire_->DecodeSubmission(Post("/s/1", R"({"requests":[]})"), kMemory));
}

// Guards against a large submission whose tasks differ from those of a small
// one: they are decoded while the body is parsed.
TEST_F(ProtocolTest, LargeSubmissionsAreDecodedLikeSmallOnes) {
  const auto decode = [this](const std::string& tasks, size_t memory) {
    net::request input =
        Post("/s/1", R"({"model":"m","requests":[)" + tasks + R"(],"step":3})");
    input.headers = {{"X-Request-Id", "lot-1"}};
    return wire_->DecodeSubmission(input, memory);
  };
  const std::string task =
      R"({"id":"t","path":"/p","headers":{"a":"b"},"group":"g","tokens":5,)"
      R"("body":"aGVsbG8=","scorer":{"id":"r","host":"h","path":"/s"}})";
  std::string tasks = task;
  constexpr size_t kTasks = 4000;
  for (size_t i = 1; i < kTasks; ++i) tasks += "," + task;
  const auto small = decode(task, kMemory);
  const auto large = decode(tasks, kMemory);
  ASSERT_TRUE(small && large);
  ASSERT_EQ(large->tasks.size(), kTasks);
  EXPECT_EQ(large->number, 3);
  EXPECT_EQ(large->model, "m");
  const nlohmann::json expected = small->tasks.front();
  EXPECT_EQ(nlohmann::json(large->tasks.front()), expected);
  EXPECT_EQ(nlohmann::json(large->tasks.back()), expected);
  EXPECT_FALSE(decode(tasks + "," + R"({"id":"x"})", kMemory));
  EXPECT_FALSE(decode(tasks + ",5", kMemory));
  EXPECT_FALSE(decode(tasks + "]", kMemory));
}

// Guards against a submission of legal size whose decoded form takes more
// memory than the machine has.
TEST_F(ProtocolTest, SubmissionsAreDecodedWithinTheirMemory) {
  const auto is_too_large = [this](const std::string& body) {
    net::request input = Post("/s/1", body);
    input.headers = {{"X-Request-Id", "lot-1"}};
    const bool is_decoded = wire_->DecodeSubmission(input, kMemory).has_value();
    return !is_decoded &&
           core::LastReason().code == core::reason_code::kTooLarge;
  };
  const auto repeat = [](const std::string& unit, size_t count) {
    std::string text;
    for (size_t i = 0; i < count; ++i) text += unit;
    return text;
  };
  constexpr size_t kMany = 200000;
  const std::string task = R"({"id":"t","path":"/"})";
  EXPECT_TRUE(is_too_large(R"({"requests":[)" + repeat(task + ",", kMany) +
                           task + "]}"));
  EXPECT_TRUE(is_too_large(R"({"requests":[)" + repeat("1,", kMany) + "1]}"));
  EXPECT_TRUE(
      is_too_large(R"({"requests":[{"x":[)" + repeat("[],", kMany) + "[]]}]}"));
  EXPECT_TRUE(is_too_large(repeat("[", kMany * 2)));
  EXPECT_TRUE(is_too_large(R"({"requests":[],"x":")" +
                           std::string(kMemory / 4, 'x') + R"("})"));
}

TEST_F(ProtocolTest, StepCalls) {
  net::request read = Get("/v1/lots/lot-1?after=12");
  read.headers = {{"X-Wait-Ms", "1000"}};
  const auto results =
      std::get<fleet::read_results_call>(wire_->DecodeStepCall(read));
  EXPECT_EQ(results.step, "lot-1");
  EXPECT_EQ(results.after, 12U);
  EXPECT_EQ(results.wait, milliseconds(1000));
  EXPECT_TRUE(std::holds_alternative<fleet::malformed_call>(
      wire_->DecodeStepCall(Get("/v1/lots/lot-1?after=x"))));
  const auto body = std::get<fleet::read_task_call>(
      wire_->DecodeStepCall(Get("/v1/items/lot-1?id=a%2Fb")));
  EXPECT_EQ(body.step, "lot-1");
  EXPECT_EQ(body.task, "a/b");
  net::request end = Get("/v1/lots/lot-1");
  end.method = "DELETE";
  EXPECT_EQ(std::get<fleet::end_step_call>(wire_->DecodeStepCall(end)).step,
            "lot-1");
  EXPECT_TRUE(std::holds_alternative<fleet::other_call>(
      wire_->DecodeStepCall(Get("/p/1"))));
}

TEST_F(ProtocolTest, ResultsAsTrainersReadThem) {
  steps::result_page page;
  page.total = 3;
  page.next = 2;
  page.ids = {"t1", "t2"};
  steps::task_result done;
  done.is_complete = true;
  done.output = "a\nb";
  done.versions = {6, 7};
  done.score = "mark";
  page.results = {done, steps::task_result{}};
  const auto tree = nlohmann::json::parse(wire_->EncodeResults(page).body);
  EXPECT_EQ(tree["total"], 3);
  EXPECT_EQ(tree["next_token"], 2);
  EXPECT_EQ(tree["results"][0]["id"], "t1");
  EXPECT_EQ(tree["results"][0]["state"], "completed");
  EXPECT_EQ(tree["results"][0]["output"], "a\nb");
  EXPECT_EQ(tree["results"][0]["versions"], nlohmann::json({6, 7}));
  EXPECT_EQ(tree["results"][0]["score"], "mark");
  EXPECT_EQ(tree["results"][1]["state"], "terminated");
  EXPECT_FALSE(tree["results"][1].contains("score"));
}

// A caller's request is forwarded unchanged except for the connection headers
// and the headers that the system sets.
TEST_F(ProtocolTest, Dispatch) {
  net::request input = Post("/p/1?q=2", "body");
  input.headers = {{"Host", "h"},
                   {"X-Request-Id", "r"},
                   {"X-Deadline-Ms", "2000"},
                   {"Connection", "keep-alive, X-Hop"},
                   {"X-Hop", "1"},
                   {"Keep-Alive", "timeout=5"},
                   {"Content-Length", "4"},
                   {"X-Other", "kept"}};
  EXPECT_EQ(wire_->TimeLeft(input), milliseconds(2000));
  EXPECT_EQ(wire_->RequestId(input), "r");
  fleet::dispatch_terms terms;
  terms.time_left = milliseconds(1500);
  terms.endpoint = "i-1";
  const net::request output = wire_->EncodeDispatch(input, terms);
  EXPECT_EQ(output.target, "/p/1?q=2");
  EXPECT_EQ(output.body, "body");
  EXPECT_EQ(net::Find(output.headers, "X-Deadline-Ms"), "1500");
  EXPECT_EQ(net::Find(output.headers, "X-Other"), "kept");
  for (const char* name :
       {"Connection", "X-Hop", "Keep-Alive", "Content-Length"}) {
    EXPECT_FALSE(net::Has(output.headers, name)) << name;
  }
}

TEST_F(ProtocolTest, MarksOfResponses) {
  net::response answer;
  answer.headers = {{"X-Request-Id", "r"},
                    {"X-Response-Stamp", "s"},
                    {"X-Server-Load", "3,1,8"},
                    {"X-Weight-Versions", "7"},
                    {"Keep-Alive", "timeout=5, max=9"}};
  fleet::answer_marks marks = wire_->DecodeMarks(answer);
  EXPECT_TRUE(marks.IsSigned());
  EXPECT_FALSE(marks.is_not_run);
  EXPECT_EQ(marks.load->running, 3);
  EXPECT_EQ(marks.load->waiting, 1);
  EXPECT_EQ(marks.weights_version, 7U);
  EXPECT_EQ(marks.idle_limit, std::chrono::seconds(5));
  answer.status = 503;
  EXPECT_FALSE(wire_->DecodeMarks(answer).is_not_run);
  answer.headers = {{"X-Not-Run", "1"}, {"X-Server-Load", "3,x,8"}};
  marks = wire_->DecodeMarks(answer);
  EXPECT_TRUE(marks.is_not_run);
  EXPECT_FALSE(marks.load);
  EXPECT_EQ(wire_->EventVersion("x-weight-versions", "8"), 8U);
  EXPECT_FALSE(wire_->EventVersion("data", "8"));
}

// Guards against load headers that are ignored because they have a fourth
// figure.
TEST_F(ProtocolTest, LoadHeaderWithPace) {
  const auto decode = [this](const char* text) {
    net::response answer;
    answer.headers = {{"X-Server-Load", text}};
    return wire_->DecodeMarks(answer).load;
  };
  ASSERT_TRUE(decode("3,1,8,250"));
  EXPECT_EQ(decode("3,1,8,250")->slots, 8);
  EXPECT_EQ(decode("3,1,8,250")->pace, 250);
  EXPECT_EQ(decode("3,1,8")->pace, 0);
  for (const char* text : {"3,1", "3,1,8,x", "3,1,8,", "3,1,8,100,1"}) {
    EXPECT_FALSE(decode(text)) << text;
  }
}

TEST_F(ProtocolTest, Orders) {
  fleet::load_order order;
  order.endpoint = "i-1";
  order.target = {"m", 2};
  order.holder = "core-1";
  order.fencing_token = 41;
  order.expected_sequence = 6;
  const net::request output = wire_->EncodeOrder(order);
  EXPECT_EQ(net::Find(output.headers, "X-Expect-Instance"), "i-1");
  const auto tree = nlohmann::json::parse(output.body.Text());
  EXPECT_EQ(tree["operation"], "version");
  EXPECT_EQ(tree["mode"], "retain");
  EXPECT_EQ(tree["fence"], 41);
  EXPECT_EQ(tree["precondition"], 6);
  EXPECT_EQ(wire_->DecodeOrderAnswer(202), fleet::order_outcome::kStarted);
  EXPECT_EQ(wire_->DecodeOrderAnswer(412), fleet::order_outcome::kFenced);
  EXPECT_EQ(wire_->DecodeOrderAnswer(500), fleet::order_outcome::kRefused);
  net::response report;
  report.body = R"({"models":[{"name":"m","version":2}],"busy":true,"seq":7})";
  const auto decoded = wire_->DecodeReport(report);
  ASSERT_TRUE(decoded);
  EXPECT_TRUE(decoded->is_busy);
  EXPECT_EQ(decoded->order_sequence, 7U);
  report.body = "{}";
  EXPECT_FALSE(wire_->DecodeReport(report));
}

TEST_F(ProtocolTest, FailuresContainRetryAfter) {
  const net::response answer =
      wire_->EncodeFailure(503, "full", milliseconds(250));
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(std::stod(std::string(net::Find(answer.headers, "Retry-After"))),
            0.25);
}

RC_GTEST_PROP(ProtocolPropertyTest, AnyBodyIsDecodedOrRejected,
              (const std::string& body)) {
  const auto wire = MakeProtocol();
  for (const char* target :
       {"/v1/config/put", "/v1/version-put", "/v1/instances/i/heartbeat",
        "/v1/retire/s/start"}) {
    wire->DecodeControlCall(Post(target, body));
  }
  wire->DecodeSubmission(Post("/s/1", body), kMemory);
  net::response report;
  report.body = body;
  wire->DecodeReport(report);
}

}  // namespace
}  // namespace hickorywood::platform
