#include "soak/fault_plan.h"

#include <random>

namespace hickorywood::testing {
namespace {

using std::chrono::milliseconds;

// Draws the faults of one series.
class drawer {
 public:
  drawer(uint64_t seed, milliseconds length) : random_(seed), length_(length) {}

  fault_series Draw(std::string name, const std::vector<std::string>& nodes,
                    const std::vector<fault_kind>& kinds,
                    milliseconds longest_pause) {
    fault_series series{std::move(name), {}};
    milliseconds at{0};
    for (;;) {
      fault next;
      next.kind = Pick(kinds);
      next.node = Pick(nodes);
      next.pause = Time(longest_pause);
      next.time = Time(milliseconds(2500));
      at += next.pause + next.time;
      if (at >= length_) return series;
      series.faults.push_back(next);
    }
  }

 private:
  template <typename Item>
  const Item& Pick(const std::vector<Item>& items) {
    std::uniform_int_distribution<size_t> index(0, items.size() - 1);
    return items[index(random_)];
  }

  milliseconds Time(milliseconds most) {
    std::uniform_int_distribution<int64_t> time(0, most.count());
    return milliseconds(time(random_));
  }

  std::mt19937_64 random_;
  const milliseconds length_;
};

const char* Word(fault_kind kind) {
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
  return out << "after " << input.pause.count() << " ms " << Word(input.kind)
             << " " << input.node << " for " << input.time.count() << " ms";
}

std::vector<fault_series> DrawFaults(uint64_t seed, milliseconds length) {
  const std::vector<fault_kind> with_disk = {
      fault_kind::kKill, fault_kind::kStop, fault_kind::kFreeze,
      fault_kind::kLoseDisk};
  const std::vector<fault_kind> without = {fault_kind::kKill, fault_kind::kStop,
                                           fault_kind::kFreeze};
  drawer draw(seed, length);
  std::vector<fault_series> plan;
  plan.push_back(
      draw.Draw("stores", {"s1", "s2", "s3"}, with_disk, milliseconds(2000)));
  plan.push_back(
      draw.Draw("control", {"c1", "c2", "c3"}, with_disk, milliseconds(2000)));
  plan.push_back(
      draw.Draw("entries", {"e1", "e2"}, without, milliseconds(3000)));
  plan.push_back(draw.Draw("endpoints", {"echo", "engines"},
                           {fault_kind::kReplace}, milliseconds(1500)));
  plan.push_back(draw.Draw("power", {"s1", "s2", "s3", "c1", "c2", "c3"},
                           {fault_kind::kPowerCut}, milliseconds(20000)));
  return plan;
}

}  // namespace hickorywood::testing
