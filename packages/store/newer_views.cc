#include "store/newer_views.h"

#include <algorithm>

namespace hickorywood::store {

void RecordReturn(newer_views& newer, const run_report& report,
                  const std::string& incarnation, const fleet::view& held) {
  if (report.newer_config > held.config.version) {
    newer.config = std::max(newer.config, report.newer_config);
    return;
  }
  const bool has_newer_lists =
      report.newer_config != 0 && held.version < report.newer_lists;
  if (!has_newer_lists) return;
  fleet::view_version& left = newer.left_in[incarnation];
  left = std::max(left, report.newer_lists);
}

void RemoveKnown(newer_views& newer, const fleet::view& held) {
  std::erase_if(newer.left_in, [&held](const auto& item) {
    return !(held.version < item.second);
  });
}

bool MayOrder(const newer_views& newer, const fleet::view& held) {
  return newer.config <= held.config.version;
}

bool HasLeft(const newer_views& newer, const std::string& incarnation) {
  return newer.left_in.count(incarnation) != 0;
}

}  // namespace hickorywood::store
