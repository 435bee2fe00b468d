#ifndef HICKORYWOOD_GROUP_HOSTED_STATE_H_
#define HICKORYWOOD_GROUP_HOSTED_STATE_H_

// The interface between a replicated state and the host of its group.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/group_replica.h"
#include "core/json.h"

namespace hickorywood::group {

// One entry of the log. `payload` is the encoded struct of the command `name`.
struct hosted_command {
  std::string name;
  int64_t now_ms = 0;  // wall clock of the leader that proposed it
  std::string payload;
  uint64_t index = 0;  // of its log entry; set when it is applied, not encoded
};
// The header of an encoded command, without the payload; see EncodeCommand().
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(hosted_command, name, now_ms)

// Encodes the header, followed by the payload without further encoding. As a
// field of the header, the payload was read byte by byte a second time, which
// took a third of the time that a restart needed to read its log.
std::string EncodeCommand(const hosted_command& input);
// Returns nothing, and sets the reason, when the bytes can't be decoded.
std::optional<hosted_command> DecodeCommand(std::string_view bytes);

class hosted_state {
 public:
  virtual ~hosted_state() = default;

  // Applies a command. A pure function of the state and the command, the same
  // on each replica. A command that was already applied changes nothing, so
  // repetitions are harmless.
  virtual void Apply(const hosted_command& input) = 0;
  // Replaces the state by the output of Save(); empty: the initial state.
  // Returns false, and sets the reason, when it can't be decoded.
  virtual bool Restore(const std::string& data) = 0;
  // Returns the state at some index up to `applied`; later indexes are better.
  virtual consensus::saved_state Save(uint64_t applied) const = 0;
};

}  // namespace hickorywood::group

#endif  // HICKORYWOOD_GROUP_HOSTED_STATE_H_
