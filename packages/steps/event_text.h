#ifndef HICKORYWOOD_STEPS_EVENT_TEXT_H_
#define HICKORYWOOD_STEPS_EVENT_TEXT_H_

// The text of one generation, assembled from the events of one or several runs.
// Each event is checked before it is added: ids without gaps, complete frames.
// An event that fails the check ends the run; the text so far stays usable, and
// another run continues after its last event.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/json.h"

namespace hickorywood::steps {

// One event of a stream: its lines as (field, value).
using event_fields = std::vector<std::pair<std::string, std::string>>;

// Removes the first complete event from `buffer` and returns it. Returns
// nothing if there is none yet.
std::optional<event_fields> ExtractEvent(std::string& buffer);

// Maximum size of one event, with the lines between events. Events contain a
// few tokens; more bytes without an event are no text.
constexpr size_t kMaxEventBytes = 256UL * 1024;

// Measures the bytes since the end of the last event in a stream that arrives
// in pieces of any size.
struct event_meter {
  size_t bytes = 0;
  bool has_field = false;      // the present event has an id or data
  std::string line_beginning;  // of the present line
};
// Adds a piece. Returns false once the present event is too long.
bool AddPiece(event_meter& meter, std::string_view piece);

struct generated_text {
  uint64_t events = 0;  // accepted so far; also the id of the last one
  std::vector<std::string> data;   // of each event
  std::vector<uint64_t> versions;  // of the events, in order of first use
  bool is_whole = false;           // its last event was received
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(generated_text, events, data,
                                                versions, is_whole)

// Returns the version that a field contains, or nothing.
using version_reader = std::function<std::optional<uint64_t>(
    const std::string& field, const std::string& value)>;

enum class event_check {
  kAccepted,
  kMalformed,  // not the next event, or malformed
  kTooOld,     // generated under a version below the minimum
  kMixed,      // a second version where only one is allowed
};

struct text_rules {
  uint64_t minimum_version = 0;
  bool is_single_version = false;
};

// Adds one event. `run_version` is the version of the run; an event that
// contains another version changes it from this event on.
event_check AddEvent(generated_text& text, const event_fields& fields,
                     const text_rules& rules, const version_reader& read,
                     std::optional<uint64_t>& run_version);

// Whether a run under `version` may continue this text.
bool MayContinue(const generated_text& text, const text_rules& rules,
                 std::optional<uint64_t> version);

// The complete output: the data of all events, one per line.
std::string JoinText(const generated_text& text);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_EVENT_TEXT_H_
