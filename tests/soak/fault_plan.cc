#include "soak/fault_plan.h"

#include <random>

namespace hickorywood::testing {
namespace {

using std::chrono::milliseconds;

// Generates the random faults of one series.
class fault_generator {
 public:
  fault_generator(uint64_t seed, milliseconds length)
      : random_(seed), length_(length) {}

  fault_series Generate(std::string name, const std::vector<std::string>& nodes,
                        const std::vector<fault_kind>& kinds,
                        milliseconds max_pause) {
    fault_series series{std::move(name), {}};
    milliseconds at{0};
    for (;;) {
      fault next;
      next.kind = PickRandom(kinds);
      next.node = PickRandom(nodes);
      next.pause = RandomTime(max_pause);
      next.time = RandomTime(milliseconds(2500));
      at += next.pause + next.time;
      if (at >= length_) return series;
      series.faults.push_back(next);
    }
  }

 private:
  template <typename Item>
  const Item& PickRandom(const std::vector<Item>& items) {
    std::uniform_int_distribution<size_t> index(0, items.size() - 1);
    return items[index(random_)];
  }

  milliseconds RandomTime(milliseconds max) {
    std::uniform_int_distribution<int64_t> time(0, max.count());
    return milliseconds(time(random_));
  }

  std::mt19937_64 random_;
  const milliseconds length_;
};

const char* NameOf(fault_kind kind) {
  switch (kind) {
    case fault_kind::kKill:
      return "kill";
    case fault_kind::kStop:
      return "stop";
    case fault_kind::kFreeze:
      return "freeze";
    case fault_kind::kLoseDisk:
      return "lose disk";
    case fault_kind::kReplace:
      return "replace";
    case fault_kind::kPowerCut:
      return "power cut";
  }
  return "";
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const fault& input) {
  return out << "after " << input.pause.count() << " ms " << NameOf(input.kind)
             << " " << input.node << " for " << input.time.count() << " ms";
}

std::vector<fault_series> GenerateFaults(uint64_t seed, milliseconds length) {
  const std::vector<fault_kind> with_disk = {
      fault_kind::kKill, fault_kind::kStop, fault_kind::kFreeze,
      fault_kind::kLoseDisk};
  const std::vector<fault_kind> without = {fault_kind::kKill, fault_kind::kStop,
                                           fault_kind::kFreeze};
  fault_generator generator(seed, length);
  std::vector<fault_series> plan;
  plan.push_back(generator.Generate("stores", {"s1", "s2", "s3"}, with_disk,
                                    milliseconds(2000)));
  plan.push_back(generator.Generate("control", {"c1", "c2", "c3"}, with_disk,
                                    milliseconds(2000)));
  plan.push_back(
      generator.Generate("entries", {"e1", "e2"}, without, milliseconds(3000)));
  plan.push_back(generator.Generate("endpoints", {"echo", "engines"},
                                    {fault_kind::kReplace},
                                    milliseconds(1500)));
  plan.push_back(
      generator.Generate("power", {"s1", "s2", "s3", "c1", "c2", "c3"},
                         {fault_kind::kPowerCut}, milliseconds(20000)));
  return plan;
}

}  // namespace hickorywood::testing
