#include "support/simulated_endpoints.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/event.h"

namespace hickorywood::testing {
namespace {

using boost::asio::awaitable;
using nlohmann::json;

constexpr char kSignature[] = "X-Response-Stamp";
// A longer body is echoed in part: an entry has memory for one such body.
constexpr size_t kMaxEchoBytes = 1024UL * 1024;
// Path of reward requests. Their body is the id of the task to be scored.
constexpr char kRewardPath[] = "/p/reward";
// Time between the start of a crashing request and the crash, and time between
// the crash and the restart.
constexpr std::chrono::milliseconds kTimeToCrash{50};
constexpr std::chrono::milliseconds kDownTime{500};

net::response SignedAnswer(const net::request& input, int status,
                           std::string body) {
  net::response answer;
  answer.status = status;
  answer.headers = {
      {"X-Request-Id", std::string(net::Find(input.headers, "X-Request-Id"))},
      {kSignature, "signed"}};
  answer.body = std::move(body);
  return answer;
}

std::string EventData(const std::string& request_id, int event) {
  return request_id + "-" + std::to_string(event);
}

std::string EventFrame(const std::string& request_id, int event) {
  return "id: " + std::to_string(event) +
         "\ndata: " + EventData(request_id, event) + "\n\n";
}

}  // namespace

struct simulated_endpoints::endpoint {
  std::string incarnation;
  std::string service;
  std::unique_ptr<net::listener> listening;
  std::string address;
  int sequence = 0;
  int orders = 0;
  int64_t version = 1;
  bool has_crashed = false;
};

simulated_endpoints::simulated_endpoints(std::string prefix)
    : prefix_(std::move(prefix)), thread_([this] {
        const auto guard = boost::asio::make_work_guard(loop_);
        loop_.run();
      }) {}

simulated_endpoints::~simulated_endpoints() {
  loop_.stop();
  thread_.join();
}

std::string simulated_endpoints::Start(const std::string& service) {
  std::promise<std::string> name;
  boost::asio::post(loop_, [this, &service, &name] {
    name.set_value(Open(service, "127.0.0.1:0")->incarnation);
  });
  return name.get_future().get();
}

std::shared_ptr<simulated_endpoints::endpoint> simulated_endpoints::Open(
    const std::string& service, const std::string& address) {
  auto created = std::make_shared<endpoint>();
  created->service = service;
  net::listener_options options;
  options.address = address;
  options.limits = [] { return net::caller_limits{}; };
  created->listening = std::make_unique<net::listener>(
      loop_, options,
      [this, created](net::exchange& call) { return Serve(created, call); });
  created->listening->Start();
  created->address = "127.0.0.1:" + std::to_string(created->listening->Port());
  const std::lock_guard<std::mutex> lock(mutex_);
  created->incarnation =
      prefix_ + "-" + service + "-" + std::to_string(started_++);
  endpoints_[created->incarnation] = created;
  return created;
}

void simulated_endpoints::CrashOnBody(const std::string& body) {
  const std::lock_guard<std::mutex> lock(mutex_);
  crash_body_ = body;
}

void simulated_endpoints::CrashAfterEvents(int events) {
  const std::lock_guard<std::mutex> lock(mutex_);
  crash_after_ = events;
}

void simulated_endpoints::LimitCrashes(int crashes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  max_crashes_ = crashes;
}

void simulated_endpoints::CrashAll(const std::string& service) {
  std::promise<void> done;
  boost::asio::post(loop_, [this, &service, &done] {
    std::vector<std::shared_ptr<endpoint>> crashing;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const auto& item : endpoints_) {
        if (item.second->service == service) crashing.push_back(item.second);
      }
    }
    for (const auto& item : crashing) Crash(item);
    done.set_value();
  });
  done.get_future().wait();
}

int simulated_endpoints::Crashes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return crashes_;
}

size_t simulated_endpoints::Running() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return endpoints_.size();
}

bool simulated_endpoints::IsCrashing(const net::request& input) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !crash_body_.empty() && input.body.Text() == crash_body_ &&
         crashes_ < max_crashes_;
}

void simulated_endpoints::Crash(const std::shared_ptr<endpoint>& self) {
  if (self->has_crashed) return;
  self->has_crashed = true;
  self->listening->StopAccepting();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    endpoints_.erase(self->incarnation);
    ++crashes_;
  }
  boost::asio::co_spawn(loop_, Restart(self->service, self->address),
                        boost::asio::detached);
}

awaitable<void> simulated_endpoints::CrashSoon(std::shared_ptr<endpoint> self,
                                               std::chrono::milliseconds time) {
  co_await net::Sleep(time);
  Crash(self);
}

awaitable<void> simulated_endpoints::Restart(std::string service,
                                             std::string address) {
  co_await net::Sleep(kDownTime);
  Open(service, address);
}

std::vector<std::string> simulated_endpoints::Incarnations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> names;
  for (const auto& item : endpoints_) names.push_back(item.first);
  return names;
}

std::string simulated_endpoints::HeartbeatOf(const std::string& incarnation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = endpoints_.find(incarnation);
  if (found == endpoints_.end()) return "";
  endpoint& self = *found->second;
  return Heartbeat(self.service, self.address, self.version, ++self.sequence);
}

std::string simulated_endpoints::Heartbeat(const std::string& service,
                                           const std::string& address,
                                           int64_t version, int sequence) {
  const json models = json::array({{{"name", "m"}, {"version", version}}});
  return json({{"service", service},
               {"address", address},
               {"zone", "z"},
               {"slots", 8},
               {"state", "ready"},
               {"version", "v1"},
               {"cold_left_ms", 0},
               {"models", models},
               {"seq", sequence}})
      .dump();
}

void simulated_endpoints::SetWorkTime(std::chrono::milliseconds time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  work_time_ = time;
}

void simulated_endpoints::SetEventTime(std::chrono::milliseconds time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  event_time_ = time;
}

void simulated_endpoints::BreakStreamsAfter(int events) {
  const std::lock_guard<std::mutex> lock(mutex_);
  break_after_ = events;
}

void simulated_endpoints::Fail(const std::string& request_id, int times) {
  const std::lock_guard<std::mutex> lock(mutex_);
  failures_left_[request_id] = times;
}

int simulated_endpoints::EarlyRewards() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return early_rewards_;
}

int simulated_endpoints::RunsOf(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_[request_id];
}

std::string simulated_endpoints::OutputOf(const std::string& request_id) {
  std::string output;
  for (int event = 1; event <= kEvents; ++event) {
    output += (event == 1 ? "" : "\n") + EventData(request_id, event);
  }
  return output;
}

std::string simulated_endpoints::StreamOf(const std::string& request_id,
                                          int first) {
  std::string stream;
  for (int event = first; event <= kEvents; ++event) {
    stream += EventFrame(request_id, event);
  }
  return stream;
}

void simulated_endpoints::CountRun(const net::request& input) {
  const std::string id(net::Find(input.headers, "X-Request-Id"));
  const std::lock_guard<std::mutex> lock(mutex_);
  ++runs_[id];
  customers_[id] = std::string(net::Find(input.headers, "X-Tenant"));
  if (net::Has(input.headers, "Authorization")) ++keys_seen_;
}

std::string simulated_endpoints::CustomerOf(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return customers_[request_id];
}

int simulated_endpoints::KeysSeen() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return keys_seen_;
}

awaitable<void> simulated_endpoints::Serve(std::shared_ptr<endpoint> self,
                                           net::exchange& call) {
  const net::request& input = call.Request();
  const std::string_view wanted = net::Find(input.headers, "X-Expect-Instance");
  if (wanted != self->incarnation) {
    net::response other;
    other.status = 421;
    co_await call.Reply(std::move(other));
    co_return;
  }
  if (input.target == "/v1/report") {
    const json models =
        json::array({{{"name", "m"}, {"version", self->version}}});
    net::response report;
    report.body =
        json({{"models", models}, {"busy", false}, {"seq", self->orders}})
            .dump();
    co_await call.Reply(std::move(report));
    co_return;
  }
  if (input.target == "/v1/order") {
    self->version = json::parse(input.body.Text()).at("version").get<int64_t>();
    ++self->orders;
    net::response accepted;
    accepted.status = 202;
    co_await call.Reply(std::move(accepted));
    co_return;
  }
  const bool crashes_later = self->service == "engines" && crash_after_ > 0;
  if (IsCrashing(input) && !crashes_later) {
    CountRun(input);
    // The endpoint crashes even if the caller disconnects in the meantime.
    boost::asio::co_spawn(loop_, CrashSoon(self, kTimeToCrash),
                          boost::asio::detached);
    co_await net::Sleep(2 * kTimeToCrash);
    co_return;
  }
  if (self->service == "engines") {
    co_await ServeStream(self, call);
  } else {
    co_await ServePlain(self, call);
  }
}

awaitable<void> simulated_endpoints::ServePlain(std::shared_ptr<endpoint> self,
                                                net::exchange& call) {
  const net::request& input = call.Request();
  const std::string id(net::Find(input.headers, "X-Request-Id"));
  CountRun(input);
  int status = 200;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool is_reward = input.target.starts_with(kRewardPath);
    if (is_reward && complete_ids_.count(input.body) == 0) ++early_rewards_;
    if (failures_left_[id]-- > 0) status = 500;
  }
  co_await net::Sleep(work_time_);
  if (self->has_crashed) co_return;
  net::response answer = SignedAnswer(
      input, status, "echo " + input.body.Text().substr(0, kMaxEchoBytes));
  co_await call.Reply(std::move(answer));
}

awaitable<void> simulated_endpoints::ServeStream(std::shared_ptr<endpoint> self,
                                                 net::exchange& call) {
  const net::request& input = call.Request();
  const std::string id(net::Find(input.headers, "X-Request-Id"));
  const std::string last(net::Find(input.headers, "Last-Event-Id"));
  CountRun(input);
  bool is_failure = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_failure = failures_left_[id]-- > 0;
  }
  if (is_failure) {
    co_await net::Sleep(event_time_);
    net::response failure = SignedAnswer(input, 500, "");
    co_await call.Reply(std::move(failure));
    co_return;
  }
  net::response head = SignedAnswer(input, 200, "");
  head.headers.push_back({"X-Weight-Versions", std::to_string(self->version)});
  co_await call.BeginStream(std::move(head));
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  const int crash_at = IsCrashing(input) ? first + crash_after_ : kEvents + 1;
  // The endpoint crashes even if the caller disconnects before the crash event.
  if (IsCrashing(input)) {
    boost::asio::co_spawn(loop_,
                          CrashSoon(self, 2 * crash_after_ * event_time_),
                          boost::asio::detached);
  }
  for (int event = first; event <= kEvents; ++event) {
    co_await net::Sleep(event_time_);
    if (event >= crash_at) Crash(self);
    if (self->has_crashed) co_return;
    const bool is_interrupted =
        break_after_ > 0 && event > break_after_ && !was_interrupted_[id];
    if (is_interrupted) {
      was_interrupted_[id] = true;
      co_return;
    }
    std::string frame = EventFrame(id, event);
    co_await call.WriteStream(std::move(frame));
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    complete_ids_.insert(id);
  }
  co_await call.EndStream();
}

}  // namespace hickorywood::testing
