#include "fakes/fake_engine.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "core/ids.h"

namespace hickorywood::fakes {
namespace {

using nlohmann::json;
using transport::http_exchange;

constexpr char kJson[] = "application/json";
constexpr int64_t kPromptBytesPerPrefillStep = 512;
constexpr size_t kPrefixBytes = 256;
constexpr size_t kMaxPrefixes = 64;

// Returns the part "STEP.SLOT" of the request id of a sample, which has the
// form STEP.SLOT.EPOCH.ATTEMPT-TRY.
std::string SampleOf(const std::string& id) {
  const size_t first = id.find('.');
  const size_t second =
      first == std::string::npos ? first : id.find('.', first + 1);
  return second == std::string::npos ? id : id.substr(0, second);
}

std::string TokenText(const std::string& prompt, int64_t index) {
  return "t" +
         std::to_string(core::Hash64(prompt + std::to_string(index)) % 97) +
         " ";
}

}  // namespace

int64_t LengthOf(const std::string& id, const std::string& prompt, int64_t mean,
                 int64_t limit) {
  constexpr double kShape =
      2.2;  // shape of a Pareto distribution with this mean
  const double uniform =
      (static_cast<double>(core::Hash64(SampleOf(id) + prompt) % 1000000) + 1) /
      1000001.0;
  const double scale = static_cast<double>(mean) * (kShape - 1) / kShape;
  const double length = scale / std::pow(uniform, 1 / kShape);
  return std::clamp<int64_t>(static_cast<int64_t>(length), 1, limit);
}

fake_engine::fake_engine(engine_options options)
    : options_(std::move(options)) {
  state_.version = options_.version;
  thread_ = std::thread([this] { Run(); });
}

fake_engine::~fake_engine() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

engine_state fake_engine::State() {
  const std::lock_guard<std::mutex> lock(mutex_);
  engine_state state = state_;
  state.running = static_cast<int64_t>(running_.size());
  state.queued = static_cast<int64_t>(queue_.size());
  return state;
}

int64_t fake_engine::AnnouncedVersion() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return behaviour_.announced_version >= 0 ? behaviour_.announced_version
                                           : state_.version;
}

void fake_engine::Handle(const std::shared_ptr<http_exchange>& exchange) {
  const std::string& path = exchange->Path();
  if (path == "/v1/completions") {
    AcceptCompletion(exchange);
  } else if (path == "/v1/orders") {
    AcceptOrder(exchange);
  } else if (path == "/fake/state") {
    exchange->Reply(200, {}, kJson, core::Encode(State()));
  } else if (path == "/fake/behaviour") {
    const auto behaviour = core::Decode<engine_behaviour>(exchange->Body());
    const std::lock_guard<std::mutex> lock(mutex_);
    if (behaviour) behaviour_ = *behaviour;
    exchange->Reply(behaviour ? 200 : 400, {}, kJson, "{}");
  } else {
    exchange->Reply(404, {}, kJson, "{}");
  }
}

void fake_engine::AcceptCompletion(
    const std::shared_ptr<http_exchange>& exchange) {
  const json body = json::parse(exchange->Body(), nullptr, false);
  if (!body.is_object()) {
    exchange->Reply(400, {}, kJson, "{}");
    return;
  }
  auto item = std::make_shared<sequence>();
  item->exchange = exchange;
  item->id = body.value("request_id", "");
  item->prompt = body.value("prompt", "");
  const bool is_end =
      !options_.crash_text.empty() &&
      item->prompt.find(options_.crash_text) != std::string::npos;
  if (is_end) std::_Exit(1);
  item->produced = body.value("resume_tokens", int64_t{0});
  item->priority = body.value("priority", int64_t{0});
  item->length = LengthOf(item->id, item->prompt, options_.mean_tokens,
                          body.value("max_tokens", int64_t{1}));
  const std::lock_guard<std::mutex> lock(mutex_);
  if (static_cast<int64_t>(queue_.size()) >= options_.max_queued) {
    exchange->Reply(429, {{"Hickory-Outcome", "not_run"}, {"Retry-After", "1"}},
                    kJson, "{}");
    return;
  }
  const uint64_t prefix = core::Hash64(item->prompt.substr(0, kPrefixBytes));
  const bool is_cached = cached_prefixes_.count(prefix) != 0;
  item->prefill_steps = is_cached
                            ? 0
                            : 1 + static_cast<int64_t>(item->prompt.size()) /
                                      kPromptBytesPerPrefillStep;
  if (cached_prefixes_.size() >= kMaxPrefixes) {
    cached_prefixes_.erase(cached_prefixes_.begin());
  }
  cached_prefixes_.insert(prefix);
  ++state_.started;
  const auto before = std::find_if(queue_.begin(), queue_.end(),
                                   [&item](const sequence_ptr& other) {
                                     return other->priority > item->priority;
                                   });
  queue_.insert(before, item);
  exchange->BeginStream(200, {}, "text/event-stream");
  exchange->OnDisconnect([this, item] {
    item->is_disconnected = true;
    const std::lock_guard<std::mutex> count_lock(mutex_);
    ++state_.disconnected;
  });
  wake_.notify_all();
}

void fake_engine::AcceptOrder(const std::shared_ptr<http_exchange>& exchange) {
  const json body = json::parse(exchange->Body(), nullptr, false);
  const std::lock_guard<std::mutex> lock(mutex_);
  const uint64_t fence = body.value("fence", uint64_t{0});
  if (options_.honours_fencing && fence <= state_.highest_fence) {
    ++state_.orders_refused;
    exchange->Reply(409, {}, kJson, R"({"error":"old fencing number"})");
    return;
  }
  state_.highest_fence = std::max(state_.highest_fence, fence);
  ++state_.orders_taken;
  state_.is_swapping = true;
  swap_target_ = body.value("version", int64_t{0});
  swap_done_at_ = std::chrono::steady_clock::now() +
                  std::chrono::milliseconds(options_.swap_ms);
  exchange->Reply(202, {}, kJson, "{}");
  wake_.notify_all();
}

void fake_engine::FinishSwapIfDue() {
  if (!state_.is_swapping || std::chrono::steady_clock::now() < swap_done_at_) {
    return;
  }
  state_.is_swapping = false;
  if (behaviour_.swap_fails) return;
  state_.version = swap_target_;
  state_.versions_loaded.push_back(swap_target_);
}

void fake_engine::Run() {
  for (;;) {
    std::vector<sequence_ptr> batch;
    double step_ms = 0;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait_for(lock, std::chrono::milliseconds(20), [this] {
        return stopping_ || !queue_.empty() || !running_.empty();
      });
      if (stopping_) return;
      FinishSwapIfDue();
      while (static_cast<int64_t>(running_.size()) < options_.max_running &&
             !queue_.empty()) {
        running_.push_back(queue_.front());
        queue_.pop_front();
      }
      running_.erase(std::remove_if(running_.begin(), running_.end(),
                                    [](const sequence_ptr& item) {
                                      return item->is_disconnected.load();
                                    }),
                     running_.end());
      step_ms =
          (options_.step_base_ms + options_.step_per_request_ms *
                                       static_cast<double>(running_.size())) *
          behaviour_.slow_factor;
      // Decoding pauses while weights are loaded; running requests continue
      // with the new weights.
      if (!state_.is_swapping && !behaviour_.goes_silent) batch = running_;
    }
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(step_ms));
    Step(batch);
    const std::lock_guard<std::mutex> lock(mutex_);
    running_.erase(std::remove_if(running_.begin(), running_.end(),
                                  [](const sequence_ptr& item) {
                                    return item->produced >= item->length;
                                  }),
                   running_.end());
  }
}

void fake_engine::Step(std::vector<sequence_ptr>& batch) {
  engine_behaviour behaviour;
  int64_t version = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    behaviour = behaviour_;
    version = state_.version;
    state_.tokens += static_cast<int64_t>(batch.size());
  }
  for (const sequence_ptr& item : batch) {
    if (behaviour.only_comments) {
      item->exchange->WriteStream(": filler\n\n");
      continue;
    }
    if (item->prefill_steps > 0) {
      --item->prefill_steps;
      continue;
    }
    if (item->pending_tokens > 0 && item->pending_version != version) {
      Flush(item, "");
    }
    item->pending_version = version;
    item->pending_text += TokenText(item->prompt, item->produced);
    ++item->pending_tokens;
    ++item->produced;
    const bool is_last = item->produced >= item->length;
    if (is_last || item->pending_tokens >= options_.chunk_tokens) {
      Flush(item, is_last ? "stop" : "");
    }
    if (behaviour.cut_after_tokens >= 0 &&
        item->produced >= behaviour.cut_after_tokens && !is_last) {
      item->exchange->EndStream();  // without the final "[DONE]" message
      item->produced = item->length;
    }
  }
}

void fake_engine::Flush(const sequence_ptr& item,
                        const std::string& finish_reason) {
  engine_behaviour behaviour;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    behaviour = behaviour_;
  }
  json choice = {{"text", item->pending_text}, {"finish_reason", nullptr}};
  if (!finish_reason.empty()) choice["finish_reason"] = finish_reason;
  json chunk = {{"id", behaviour.echoes_wrong_id ? "somebody-else" : item->id},
                {"choices", {choice}},
                {"token_offset", item->produced - item->pending_tokens},
                {"token_count", item->pending_tokens}};
  if (!behaviour.omits_version) {
    chunk["weights_version"] = item->pending_version;
  }
  std::string text = "data: " + chunk.dump() + "\n\n";
  if (!finish_reason.empty()) text += "data: [DONE]\n\n";
  item->exchange->WriteStream(text);
  if (!finish_reason.empty()) item->exchange->EndStream();
  item->pending_text.clear();
  item->pending_tokens = 0;
}

}  // namespace hickorywood::fakes
