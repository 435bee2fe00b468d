#ifndef HICKORYWOOD_HICKORYD_NODE_MAIN_H_
#define HICKORYWOOD_HICKORYD_NODE_MAIN_H_

// Runs this process as one instance of a deployment that finds its own members:
// an entry or a control instance, as its settings say.

#include <string>

namespace hickorywood::hickoryd {

// Serves until a stop signal. Returns the exit code: 0 after a planned stop, 1
// when it can't start or its disk failed, 2 for bad settings. With `only_check`
// the settings are read and nothing else is done.
int RunNode(const std::string& settings_file, bool only_check);

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_NODE_MAIN_H_
