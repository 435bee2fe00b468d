#include "store/engine_ring.h"

#include <algorithm>

#include "core/ids.h"

namespace hickorywood::store {

std::vector<ring_engine> MakeRing(const std::vector<std::string_view>& engines,
                                  size_t limit) {
  std::vector<ring_engine> ring;
  ring.reserve(engines.size());
  const bool is_sorted = engines.size() > limit;
  for (size_t i = 0; i < engines.size(); ++i) {
    ring.push_back({is_sorted ? core::Hash64(engines[i]) : 0, i});
  }
  if (!is_sorted) return ring;
  std::sort(ring.begin(), ring.end(),
            [](const ring_engine& left, const ring_engine& right) {
              return left.hash < right.hash;
            });
  return ring;
}

std::vector<size_t> ChooseFromRing(const std::vector<ring_engine>& ring,
                                   const std::string& model, size_t limit,
                                   const std::function<bool(size_t)>& is_fit) {
  const uint64_t place = core::Hash64(model);
  const auto first =
      std::lower_bound(ring.begin(), ring.end(), place,
                       [](const ring_engine& engine, uint64_t hash) {
                         return engine.hash < hash;
                       });
  // The hashes of a ring that is not sorted are 0, and it begins at its start.
  const auto begin =
      first == ring.end() ? 0 : static_cast<size_t>(first - ring.begin());
  std::vector<size_t> chosen;
  for (size_t i = 0; i < ring.size() && chosen.size() < limit; ++i) {
    const size_t index = ring[(begin + i) % ring.size()].index;
    if (is_fit(index)) chosen.push_back(index);
  }
  return chosen;
}

}  // namespace hickorywood::store
