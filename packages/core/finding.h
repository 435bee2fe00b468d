#ifndef HICKORYWOOD_CORE_FINDING_H_
#define HICKORYWOOD_CORE_FINDING_H_

#include <string>
#include <vector>

namespace hickorywood::core {

// A problem in an input, with its location. Checks collect all findings and
// report them together, so that an operator can fix a file in one pass.
struct finding {
  std::string file;
  int line = 0;    // from 1; 0 if the finding applies to the entire file
  int column = 0;  // from 1
  std::string text;
};

// Returns "file:line:col: text" for each finding, one per line.
std::string FormatFindings(const std::vector<finding>& findings);

}  // namespace hickorywood::core

#endif  // HICKORYWOOD_CORE_FINDING_H_
