#include "rollout/label.h"

#include <algorithm>

#include "core/reason.h"

namespace hickorywood::rollout {
namespace {

bool Refuse(const char* text) {
  core::SetLastReason(core::reason_code::kInvalid, text);
  return false;
}

}  // namespace

bool AppendChunk(generated_text& generated, const std::string& request_id,
                 const generation_chunk& chunk) {
  if (chunk.request_id != request_id) {
    return Refuse("the chunk belongs to another request");
  }
  if (chunk.token_offset != generated.token_count) {
    return Refuse("the chunk is out of order");
  }
  if (chunk.token_count < 0) return Refuse("negative token count");
  if (chunk.token_count == 0) {
    return chunk.text.empty() || Refuse("text without tokens");
  }
  if (!chunk.version) return Refuse("the chunk has no weight version");
  const bool continues = !generated.ranges.empty() &&
                         generated.ranges.back().version == *chunk.version;
  if (continues) {
    generated.ranges.back().token_count += chunk.token_count;
  } else {
    generated.ranges.push_back(
        {*chunk.version, generated.token_count, chunk.token_count});
  }
  generated.token_count += chunk.token_count;
  generated.text += chunk.text;
  return true;
}

std::optional<int64_t> OldestVersion(const generated_text& generated) {
  if (generated.ranges.empty()) return std::nullopt;
  const auto oldest = std::min_element(
      generated.ranges.begin(), generated.ranges.end(),
      [](const version_range& left, const version_range& right) {
        return left.version < right.version;
      });
  return oldest->version;
}

bool IsLabelComplete(const generated_text& generated) {
  int64_t next = 0;
  for (const version_range& range : generated.ranges) {
    if (range.first_token != next || range.token_count <= 0) return false;
    next += range.token_count;
  }
  return next == generated.token_count;
}

}  // namespace hickorywood::rollout
