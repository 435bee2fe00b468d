#include "transport/engine_protocol.h"

#include "core/json.h"
#include "core/reason.h"

namespace hickorywood::transport {
namespace {

using nlohmann::json;

constexpr size_t kMaxEventBytes = 1024 * 1024;
constexpr char kDataPrefix[] = "data:";
constexpr char kEndMark[] = "[DONE]";

const char* OrderKindName(order_kind kind) {
  switch (kind) {
    case order_kind::kLoadVersion:
      return "load_version";
    case order_kind::kLoadAdapter:
      return "load_adapter";
    case order_kind::kLoadModel:
      return "load_model";
    case order_kind::kChangeRole:
      return "change_role";
  }
  return "load_version";
}

std::optional<rollout::generation_chunk> DecodeChunk(const std::string& text) {
  try {
    const json tree = json::parse(text);
    const json& choice = tree.at("choices").at(0);
    rollout::generation_chunk chunk;
    chunk.request_id = tree.at("id").get<std::string>();
    chunk.token_offset = tree.at("token_offset").get<int64_t>();
    chunk.token_count = tree.at("token_count").get<int64_t>();
    chunk.text = choice.at("text").get<std::string>();
    const json finish = choice.value("finish_reason", json());
    if (finish.is_string()) chunk.finish_reason = finish.get<std::string>();
    const json version = tree.value("weights_version", json());
    if (version.is_number_integer()) chunk.version = version.get<int64_t>();
    return chunk;
  } catch (const json::exception& error) {
    return core::Fail(core::reason_code::kInvalid,
                      std::string("malformed chunk: ") + error.what());
  }
}

}  // namespace

std::string EncodeCompletionRequest(const completion_request& request) {
  const json tree = {{"request_id", request.request_id},
                     {"prompt", request.prompt},
                     {"max_tokens", request.max_tokens},
                     {"priority", request.priority},
                     {"resume_text", request.resume_text},
                     {"resume_tokens", request.resume_tokens},
                     {"stream", true}};
  return tree.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<completion_stream::event>> completion_stream::Feed(
    std::string_view bytes) {
  pending_.append(bytes);
  std::vector<event> events;
  size_t start = 0;
  for (size_t end = pending_.find('\n'); end != std::string::npos;
       end = pending_.find('\n', start)) {
    std::string line = pending_.substr(start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    // Skips blank lines, comments and other fields.
    if (line.rfind(kDataPrefix, 0) != 0) {
      continue;
    }
    const size_t text_start =
        line.find_first_not_of(' ', sizeof(kDataPrefix) - 1);
    const std::string text =
        text_start == std::string::npos ? "" : line.substr(text_start);
    event next;
    next.is_end = text == kEndMark;
    if (!next.is_end) {
      std::optional<rollout::generation_chunk> chunk = DecodeChunk(text);
      if (!chunk) return std::nullopt;
      next.chunk = std::move(*chunk);
    }
    events.push_back(std::move(next));
  }
  pending_.erase(0, start);
  if (pending_.size() > kMaxEventBytes) {
    return core::Fail(core::reason_code::kInvalid, "an event is too long");
  }
  return events;
}

std::string EncodeOrder(const engine_order& order) {
  const json tree = {{"kind", OrderKindName(order.kind)},
                     {"fence", order.fence},
                     {"version", order.version},
                     {"argument", order.argument}};
  return tree.dump();
}

}  // namespace hickorywood::transport
