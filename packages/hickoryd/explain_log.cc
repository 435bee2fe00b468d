#include "hickoryd/explain_log.h"

#include <utility>

namespace hickorywood::hickoryd {
namespace {

constexpr size_t kMaxRequests = 4096;
constexpr size_t kMaxLines = 32;

}  // namespace

explain_log::explain_log(const core::runtime_clock& clock, std::string instance)
    : clock_(clock), instance_(std::move(instance)) {}

void explain_log::Add(const std::string& request_id, std::string text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [found, is_new] = lines_.try_emplace(request_id);
  if (is_new) order_.push_back(request_id);
  if (found->second.size() < kMaxLines) {
    found->second.push_back(
        {core::ToUnixMillis(clock_.WallNow()), instance_, std::move(text)});
  }
  while (order_.size() > kMaxRequests) {
    lines_.erase(order_.front());
    order_.pop_front();
  }
}

std::vector<explain_line> explain_log::Find(
    const std::string& request_id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = lines_.find(request_id);
  return found == lines_.end() ? std::vector<explain_line>{} : found->second;
}

}  // namespace hickorywood::hickoryd
