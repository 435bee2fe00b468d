#include "core/finding.h"

namespace hickorywood::core {

std::string FormatFindings(const std::vector<finding>& findings) {
  std::string text;
  for (const finding& item : findings) {
    text += item.file + ":" + std::to_string(item.line) + ":" +
            std::to_string(item.column) + ": " + item.text + "\n";
  }
  return text;
}

}  // namespace hickorywood::core
