#include "rollout/body_store.h"

namespace hickorywood::rollout {
namespace {

// Replaces `stored` by `body` if the total stays within the limit.
bool Replace(body_store& store, std::string& stored, const std::string& body) {
  const size_t after = store.bytes - stored.size() + body.size();
  if (after > store.byte_limit) return false;
  store.bytes = after;
  stored = body;
  return true;
}

size_t SizeOf(const stored_step& step) {
  size_t bytes = step.spec.size();
  for (const auto& item : step.samples) bytes += item.second.size();
  return bytes;
}

}  // namespace

bool StoreSpec(body_store& store, const std::string& step_key,
               const std::string& spec, core::time_point now) {
  stored_step& step = store.steps[step_key];
  step.touched_at = now;
  return Replace(store, step.spec, spec);
}

bool StoreSample(body_store& store, const std::string& step_key, int64_t slot,
                 const std::string& body, core::time_point now) {
  stored_step& step = store.steps[step_key];
  step.touched_at = now;
  return Replace(store, step.samples[slot], body);
}

void RemoveSample(body_store& store, const std::string& step_key,
                  int64_t slot) {
  const auto found = store.steps.find(step_key);
  if (found == store.steps.end()) return;
  const auto body = found->second.samples.find(slot);
  if (body == found->second.samples.end()) return;
  store.bytes -= body->second.size();
  found->second.samples.erase(body);
}

void RemoveStep(body_store& store, const std::string& step_key) {
  const auto found = store.steps.find(step_key);
  if (found == store.steps.end()) return;
  store.bytes -= SizeOf(found->second);
  store.steps.erase(found);
}

void EvictIdleSteps(body_store& store, core::time_point now,
                    core::milliseconds idle) {
  std::vector<std::string> old;
  for (const auto& item : store.steps) {
    if (now - item.second.touched_at > idle) old.push_back(item.first);
  }
  for (const std::string& key : old) RemoveStep(store, key);
}

const stored_step* FindStoredStep(const body_store& store,
                                  const std::string& step_key) {
  const auto found = store.steps.find(step_key);
  return found == store.steps.end() ? nullptr : &found->second;
}

}  // namespace hickorywood::rollout
