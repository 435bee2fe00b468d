#ifndef HICKORYWOOD_ROLLOUT_LABEL_H_
#define HICKORYWOOD_ROLLOUT_LABEL_H_

// The label of a sample: which weight versions generated which of its tokens,
// as reported by the engines in each chunk. The version that an engine
// announces is not used, since it may be outdated or wrong.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"

namespace hickorywood::rollout {

// Tokens [first_token, first_token + token_count) were generated with weights
// `version`.
struct version_range {
  int64_t version = 0;
  int64_t first_token = 0;
  int64_t token_count = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(version_range, version,
                                                first_token, token_count)

// One chunk of a generation, as streamed by an engine.
struct generation_chunk {
  std::string request_id;  // id of the request, as repeated by the engine
  int64_t token_offset = 0;
  int64_t token_count = 0;
  std::string text;
  std::optional<int64_t> version;  // empty: not reported by the engine
  std::string finish_reason;       // set only in the last chunk
};

// The text generated so far.
struct generated_text {
  std::string text;
  int64_t token_count = 0;
  std::vector<version_range> ranges;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(generated_text, text,
                                                token_count, ranges)

// Appends a chunk. Returns false, with the reason and without any change, if
// the chunk is not valid here: it has the id of another request, a gap or an
// overlap in the token offsets, or no version.
bool AppendChunk(generated_text& generated, const std::string& request_id,
                 const generation_chunk& chunk);

// Returns the oldest version in the label; nothing if there are no tokens.
std::optional<int64_t> OldestVersion(const generated_text& generated);

// Whether the ranges cover all tokens without gaps or overlaps.
bool IsLabelComplete(const generated_text& generated);

}  // namespace hickorywood::rollout

#endif  // HICKORYWOOD_ROLLOUT_LABEL_H_
