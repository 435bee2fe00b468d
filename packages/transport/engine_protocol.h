#ifndef HICKORYWOOD_TRANSPORT_ENGINE_PROTOCOL_H_
#define HICKORYWOOD_TRANSPORT_ENGINE_PROTOCOL_H_

// The protocol of model engines: OpenAI-style completion streams whose chunks
// contain the weight version, and orders.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/label.h"

namespace hickorywood::transport {

struct completion_request {
  std::string request_id;
  std::string prompt;
  int64_t max_tokens = 0;  // total, including the resumed tokens
  int priority = 0;        // lower values are served first
  std::string resume_text;
  // Token count of resume_text; the stream continues from this offset.
  int64_t resume_tokens = 0;
};

std::string EncodeCompletionRequest(const completion_request& request);

// Parses an event stream that arrives in pieces of any size.
class completion_stream {
 public:
  struct event {
    bool is_end = false;  // "[DONE]"
    rollout::generation_chunk chunk;
  };

  // Adds bytes and returns the events that are now complete. Returns
  // nothing and sets the last reason (kInvalid) if the stream is malformed; the
  // parser must not be used afterwards.
  std::optional<std::vector<event>> Feed(std::string_view bytes);

 private:
  std::string pending_;
};

enum class order_kind { kLoadVersion, kLoadAdapter, kLoadModel, kChangeRole };

struct engine_order {
  order_kind kind = order_kind::kLoadVersion;
  // Fencing number; increases with every order of the fleet.
  uint64_t fence = 0;
  int64_t version = 0;
  std::string argument;  // adapter, model or role
};

std::string EncodeOrder(const engine_order& order);

}  // namespace hickorywood::transport

#endif  // HICKORYWOOD_TRANSPORT_ENGINE_PROTOCOL_H_
