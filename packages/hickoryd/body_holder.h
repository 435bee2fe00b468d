#ifndef HICKORYWOOD_HICKORYD_BODY_HOLDER_H_
#define HICKORYWOOD_HICKORYD_BODY_HOLDER_H_

// Stores step specs and sample bodies, and copies them to an instance in
// another availability zone. Runs on the traffic thread.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hickoryd/context.h"
#include "rollout/body_store.h"

namespace hickorywood::hickoryd {

struct held_sample {
  int64_t slot = 0;
  std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(held_sample, slot, body)

// A copy to store, a request to remove bodies, or the response to
// held_bodies_request.
struct held_bodies {
  std::string step_key;
  std::string spec;  // empty: unchanged
  std::vector<held_sample> samples;
  std::vector<int64_t> dropped;
  bool is_step_dropped = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(held_bodies, step_key, spec,
                                                samples, dropped,
                                                is_step_dropped)

struct held_bodies_request {
  std::string step_key;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(held_bodies_request, step_key)

class body_holder {
 public:
  explicit body_holder(instance_context& context);

  void Start();

  // Applies the changes from this instance or another one. False when the store
  // is full.
  bool Apply(const held_bodies& bodies);

  // The stored bodies of a step; the spec is empty if there are none.
  held_bodies Get(const std::string& step_key) const;

  const std::string* FindSample(const std::string& step_key,
                                int64_t slot) const;

  // Sends a copy to another instance. `done` runs on the traffic thread and
  // receives whether that instance stored it.
  void CopyTo(const std::string& peer, const held_bodies& bodies,
              std::function<void(bool)> done);

  // Requests the stored bodies of another instance. `done` runs on the traffic
  // thread and receives nothing if there was no response.
  void Fetch(const std::string& peer, const std::string& step_key,
             std::function<void(std::optional<held_bodies>)> done);

  // Returns the instance that stores second copies: alive, not draining, and in
  // another zone if there is one. Returns an empty text if there is no such
  // instance.
  std::string ChooseBackup(const std::string& seed) const;

  // Whether the fleet has no other instance, so that copies are impossible.
  bool IsAlone() const { return context_.settings.peers.empty(); }

  size_t Bytes() const { return store_.bytes; }

  static constexpr char kStorePath[] = "/peer/v1/bodies";
  static constexpr char kFetchPath[] = "/peer/v1/held";

 private:
  instance_context& context_;
  rollout::body_store store_;
};

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_BODY_HOLDER_H_
