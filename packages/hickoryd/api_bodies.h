#ifndef HICKORYWOOD_HICKORYD_API_BODIES_H_
#define HICKORYWOOD_HICKORYD_API_BODIES_H_

// The JSON bodies of the caller API that are not defined elsewhere. docs/api.md
// describes them.

#include <cstdint>
#include <string>

#include "core/json.h"

namespace hickorywood::hickoryd {

// POST /v1/pools/{pool}/generate
struct generate_body {
  std::string prompt;
  int64_t max_tokens = 256;
  bool stream = false;
  int64_t deadline_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(generate_body, prompt,
                                                max_tokens, stream, deadline_ms)

// POST /v1/pools/{pool}/weights
struct weights_body {
  int64_t version = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(weights_body, version)

// POST /v1/configuration
struct submission_body {
  std::string change_id;
  std::string scope;
  std::string file;
  std::string text;
  uint64_t based_on = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(submission_body, change_id,
                                                scope, file, text, based_on)

}  // namespace hickorywood::hickoryd

#endif  // HICKORYWOOD_HICKORYD_API_BODIES_H_
