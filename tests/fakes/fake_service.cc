#include "fakes/fake_service.h"

#include <chrono>
#include <cstdlib>
#include <thread>

namespace hickorywood::fakes {
namespace {

constexpr char kJson[] = "application/json";

}  // namespace

void fake_service::Handle(
    const std::shared_ptr<transport::http_exchange>& exchange) {
  if (exchange->Path() == "/fake/state") {
    const std::lock_guard<std::mutex> lock(mutex_);
    exchange->Reply(200, {}, kJson, core::Encode(state_));
    return;
  }
  if (exchange->Path() == "/fake/behaviour") {
    const auto behaviour = core::Decode<service_behaviour>(exchange->Body());
    const std::lock_guard<std::mutex> lock(mutex_);
    if (behaviour) behaviour_ = *behaviour;
    exchange->Reply(behaviour ? 200 : 400, {}, kJson, "{}");
    return;
  }
  const bool is_end = !crash_text_.empty() &&
                      exchange->Path().find(crash_text_) != std::string::npos;
  if (is_end) std::_Exit(1);
  Run(exchange);
}

void fake_service::Run(
    const std::shared_ptr<transport::http_exchange>& exchange) {
  service_behaviour behaviour;
  const std::string key =
      exchange->Method() + " " + exchange->Path() + " " + exchange->Body();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    behaviour = behaviour_;
    if (behaviour.says_not_run) {
      exchange->Reply(503, {{"Hickory-Outcome", "not_run"}}, kJson, "{}");
      return;
    }
    ++state_.calls;
    ++state_.runs[key];
    if (behaviour.freezes_after_read) {
      frozen_.push_back(exchange);
      return;
    }
  }
  const std::string request_id = behaviour.echoes_wrong_id
                                     ? "somebody-else"
                                     : exchange->Header("X-Request-Id");
  const nlohmann::json answer = {{"service", id_}, {"ran", key}};
  const auto reply = [exchange, request_id, answer] {
    exchange->Reply(200, {{"X-Request-Id", request_id}}, kJson, answer.dump());
  };
  if (behaviour.delay_ms == 0) {
    reply();
    return;
  }
  std::thread([reply, behaviour] {
    std::this_thread::sleep_for(std::chrono::milliseconds(behaviour.delay_ms));
    reply();
  }).detach();
}

}  // namespace hickorywood::fakes
