#include "soak/duplicate_response_endpoints.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <nlohmann/json.hpp>

#include "support/simulated_endpoints.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Processing times of a request: most are shorter than the delay of a second
// response, and some overlap it.
constexpr milliseconds kWorkTimes[] = {milliseconds(1), milliseconds(5),
                                       milliseconds(30), milliseconds(250)};
constexpr int kMisdirected = 421;

}  // namespace

struct duplicate_response_endpoints::endpoint {
  std::string incarnation;
  std::string service;
  std::string address;
  int sequence = 0;
  int orders = 0;
  int64_t version = 1;
  std::unique_ptr<net::duplicate_response_server> server;
};

duplicate_response_endpoints::duplicate_response_endpoints(uint64_t seed)
    : random_(seed), thread_([this] {
        const auto guard = boost::asio::make_work_guard(loop_);
        loop_.run();
      }) {}

duplicate_response_endpoints::~duplicate_response_endpoints() {
  OnLoop([this] {
    for (const auto& item : endpoints_) item.second->server.reset();
  });
  loop_.stop();
  thread_.join();
}

void duplicate_response_endpoints::OnLoop(const std::function<void()>& work) {
  std::promise<void> done;
  boost::asio::post(loop_, [&work, &done] {
    work();
    done.set_value();
  });
  done.get_future().get();
}

void duplicate_response_endpoints::Start(const std::string& service) {
  OnLoop([this, &service] { Open(service); });
}

void duplicate_response_endpoints::Open(const std::string& service) {
  auto created = std::make_shared<endpoint>();
  created->service = service;
  // The server's callback owns the endpoint until the server is reset.
  created->server = std::make_unique<net::duplicate_response_server>(
      loop_, [this](const net::request&) { return RandomScript(); },
      [this, self = created](const net::request& input, int /*count*/,
                             bool is_second) {
        return Answer(*self, input, is_second);
      });
  created->address = created->server->Address();
  const std::lock_guard<std::mutex> lock(mutex_);
  created->incarnation = "i-twice-" + std::to_string(started_++);
  endpoints_[created->incarnation] = created;
}

void duplicate_response_endpoints::Replace(const std::string& service) {
  OnLoop([this, &service] {
    std::shared_ptr<endpoint> terminated;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const auto& [incarnation, item] : endpoints_) {
        if (item->service == service) terminated = item;
      }
      if (terminated) endpoints_.erase(terminated->incarnation);
    }
    if (terminated) terminated->server.reset();
    Open(service);
  });
}

net::duplicate_response duplicate_response_endpoints::RandomScript() {
  const std::lock_guard<std::mutex> lock(mutex_);
  net::duplicate_response script = scripts_[random_() % scripts_.size()];
  if (random_() % 2 == 0) script.moment = net::second_moment::kNever;
  script.work = kWorkTimes[random_() % std::size(kWorkTimes)];
  return script;
}

net::scripted_answer duplicate_response_endpoints::Answer(
    endpoint& self, const net::request& input, bool is_second) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (net::Find(input.headers, "X-Expect-Instance") != self.incarnation) {
    return {kMisdirected, ""};
  }
  if (input.target == "/v1/report") {
    const json models = json::array({{{"name", "m"}, {"version", 1}}});
    return {200,
            json({{"models", models}, {"busy", false}, {"seq", self.orders}})
                .dump()};
  }
  const std::string id(net::Find(input.headers, "X-Request-Id"));
  if (!is_second) ++runs_[id];
  if (self.service == "engines") {
    const std::string last(net::Find(input.headers, "Last-Event-Id"));
    return {200, simulated_endpoints::StreamOf(
                     id, last.empty() ? 1 : std::stoi(last) + 1)};
  }
  return {200, "echo " + input.body.Text()};
}

std::map<std::string, std::string> duplicate_response_endpoints::Heartbeats() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, std::string> bodies;
  for (const auto& [incarnation, item] : endpoints_) {
    bodies[incarnation] = simulated_endpoints::Heartbeat(
        item->service, item->address, item->version, ++item->sequence);
  }
  return bodies;
}

int duplicate_response_endpoints::RunsOf(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = runs_.find(request_id);
  return found == runs_.end() ? 0 : found->second;
}

}  // namespace hickorywood::testing
