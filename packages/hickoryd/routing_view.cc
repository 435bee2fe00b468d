#include "hickoryd/routing_view.h"

#include <utility>

namespace hickorywood::hickoryd {
namespace {

constexpr core::milliseconds kAliveTimeout{1500};

}  // namespace

bool MayServe(const routing_view& view, core::boot_time_point now) {
  if (!view.config) return false;
  return now < view.lease_until || view.is_site_dark;
}

const settings::pool_config* FindPool(const routing_view& view,
                                      const std::string& pool) {
  if (!view.config) return nullptr;
  const auto found = view.config->pools.find(pool);
  return found == view.config->pools.end() ? nullptr : &found->second;
}

bool IsAlive(const instance_view& instance, core::time_point now) {
  return now - instance.last_contact_at < kAliveTimeout;
}

void routing_view_holder::Publish(std::shared_ptr<const routing_view> view) {
  const std::lock_guard<std::mutex> lock(mutex_);
  view_ = std::move(view);
}

std::shared_ptr<const routing_view> routing_view_holder::Get() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return view_;
}

}  // namespace hickorywood::hickoryd
