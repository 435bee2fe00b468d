#ifndef HICKORYWOOD_HICKORYD_NODE_MAIN_H_
#define HICKORYWOOD_HICKORYD_NODE_MAIN_H_

// Runs this process as an entry, store or control instance of a deployment that
// discovers its members. The settings select the role.

#include <string>

namespace hickorywood::hickoryd {

// Serves until a stop signal. Returns the exit code: 0 after a planned stop, 1
// when the instance can't start or its disk failed, 2 for invalid settings.
// With `only_check` only the settings are validated.
int RunNode(const std::string& settings_file, bool only_check);

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_NODE_MAIN_H_
