#ifndef HICKORYWOOD_STEPS_EVENT_TEXT_H_
#define HICKORYWOOD_STEPS_EVENT_TEXT_H_

// The text of one generation, put together from the events of one or several
// runs. Each event is checked before it is used: ids without gaps, whole
// frames. What does not fit ends the run; the text so far stays usable, and
// another run goes on after its last event.

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

// Takes the first whole event off `buffer`. Empty when there is none yet.
std::optional<event_fields> TakeEvent(std::string& buffer);

struct generated_text {
  uint64_t events = 0;             // taken so far; also the id of the last one
  std::vector<std::string> data;   // of each event
  std::vector<uint64_t> versions;  // that made an event, in order of first use
  bool is_whole = false;           // its last event is there
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(generated_text, events, data,
                                                versions, is_whole)

// Reads the version that a field names, or nothing.
using version_reader = std::function<std::optional<uint64_t>(
    const std::string& field, const std::string& value)>;

enum class event_verdict {
  kTaken,
  kSpoiled,  // not the next event, or not an event at all
  kTooOld,   // made under a version below the bound
  kMixed,    // a second version where one is allowed
};

struct text_rules {
  uint64_t minimum_version = 0;
  bool is_single_version = false;
};

// Adds one event. `run_version` is the version that the run is under; an event
// that names another one changes it from there on.
event_verdict AddEvent(generated_text& text, const event_fields& fields,
                       const text_rules& rules, const version_reader& read,
                       std::optional<uint64_t>& run_version);

// Whether a run under `version` may go on with this text.
bool MayContinue(const generated_text& text, const text_rules& rules,
                 std::optional<uint64_t> version);

// The whole output: the data of all events, one a line.
std::string JoinText(const generated_text& text);

}  // namespace hickorywood::steps

#endif  // HICKORYWOOD_STEPS_EVENT_TEXT_H_
