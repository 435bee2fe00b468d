#ifndef HICKORYWOOD_GROUP_HOSTED_STATE_H_
#define HICKORYWOOD_GROUP_HOSTED_STATE_H_

// What a group of instances replicates, as its host sees it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/group_replica.h"
#include "core/json.h"

namespace hickorywood::group {

// One entry of the log. `payload` is the encoded struct that `name` stands for.
struct hosted_command {
  std::string name;
  int64_t now_ms = 0;  // wall clock of the leader that proposed it
  std::string payload;
  uint64_t index = 0;  // of its log entry; set when it is applied, not encoded
};
// Of the payload's header; see EncodeCommand().
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(hosted_command, name, now_ms)

// The payload stands behind the encoded rest as it is. As a field of it, it was
// read byte by byte once more, a third of the time that a restart took to read
// its log.
std::string EncodeCommand(const hosted_command& input);
// Empty with the reason when it can't be read.
std::optional<hosted_command> DecodeCommand(std::string_view bytes);

class hosted_state {
 public:
  virtual ~hosted_state() = default;

  // Applies a command: a pure function of the state and the command, the same
  // at each replica. A command that is no news changes nothing, so that repeats
  // are harmless.
  virtual void Apply(const hosted_command& input) = 0;
  // Replaces the state by what Save() gave; empty: the initial state. False
  // with the reason when it can't be read.
  virtual bool Restore(const std::string& data) = 0;
  // The state as of some index up to `applied`, the later the better.
  virtual consensus::saved_state Save(uint64_t applied) const = 0;
};

}  // namespace hickorywood::group

#endif  // HICKORYWOOD_GROUP_HOSTED_STATE_H_
