#ifndef HICKORYWOOD_STORE_ENGINE_RING_H_
#define HICKORYWOOD_STORE_ENGINE_RING_H_

// Chooses the engines among which the tasks of a model are placed, of a service
// with many more engines than the tasks need. Each model begins at its own
// place of a ring of all engines, so that trainers seldom share engines, and a
// prompt returns to the engines that have cached it. An engine that joins or
// leaves changes one place of the ring. Plain data and decisions.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorywood::store {

struct ring_engine {
  uint64_t hash = 0;
  size_t index = 0;  // in the list that the ring was made of
};

// A service with at most `limit` engines keeps the order of its list.
std::vector<ring_engine> MakeRing(const std::vector<std::string_view>& engines,
                                  size_t limit);

// Returns the first `limit` engines for which `is_fit` is true, in the order of
// the ring from the place of the model on.
std::vector<size_t> ChooseFromRing(const std::vector<ring_engine>& ring,
                                   const std::string& model, size_t limit,
                                   const std::function<bool(size_t)>& is_fit);

}  // namespace hickorywood::store

#endif  // HICKORYWOOD_STORE_ENGINE_RING_H_
