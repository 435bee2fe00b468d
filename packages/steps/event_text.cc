#include "steps/event_text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace hickorywood::steps {
namespace {

constexpr std::string_view kEventDelimiter = "\n\n";

const std::string* FindField(const event_fields& fields,
                             std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (field == name) return &value;
  }
  return nullptr;
}

// Returns the data of an event: its data lines, joined by line feeds, as
// text/event-stream defines it. Nothing if it has none.
std::optional<std::string> DataOf(const event_fields& fields) {
  std::optional<std::string> data;
  for (const auto& [field, value] : fields) {
    if (field != "data") continue;
    data = data ? *data + "\n" + value : value;
  }
  return data;
}

bool HasVersion(const generated_text& text, uint64_t version) {
  return std::find(text.versions.begin(), text.versions.end(), version) !=
         text.versions.end();
}

}  // namespace

std::optional<event_fields> ExtractEvent(std::string& buffer) {
  const size_t end = buffer.find(kEventDelimiter);
  if (end == std::string::npos) return std::nullopt;
  event_fields fields;
  const std::vector<std::string> lines =
      absl::StrSplit(buffer.substr(0, end), '\n');
  for (const std::string& line : lines) {
    const size_t colon = line.find(':');
    std::string value =
        colon == std::string::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' ')) value.erase(0, 1);
    fields.emplace_back(line.substr(0, colon), std::move(value));
  }
  buffer.erase(0, end + kEventDelimiter.size());
  return fields;
}

bool AddPiece(event_meter& meter, std::string_view piece) {
  constexpr size_t kFieldNameBytes = 5;  // the longer of "id:" and "data:"
  for (const char byte : piece) {
    if (++meter.bytes > kMaxEventBytes) return false;
    if (byte == '\r') continue;
    if (byte != '\n') {
      if (meter.line_beginning.size() < kFieldNameBytes) {
        meter.line_beginning.push_back(byte);
      }
      continue;
    }
    const bool is_event_end = meter.line_beginning.empty() && meter.has_field;
    if (is_event_end) {
      meter = event_meter{};
      continue;
    }
    meter.has_field |= meter.line_beginning.starts_with("id:") ||
                       meter.line_beginning == "data:";
    meter.line_beginning.clear();
  }
  return true;
}

bool MayContinue(const generated_text& text, const text_rules& rules,
                 std::optional<uint64_t> version) {
  if (!version) return true;
  if (*version < rules.minimum_version) return false;
  return !rules.is_single_version || text.versions.empty() ||
         HasVersion(text, *version);
}

event_check AddEvent(generated_text& text, const event_fields& fields,
                     const text_rules& rules, const version_reader& read,
                     std::optional<uint64_t>& run_version) {
  for (const auto& [field, value] : fields) {
    const std::optional<uint64_t> version = read(field, value);
    if (version) run_version = version;
  }
  const std::string* id_text = FindField(fields, "id");
  std::optional<std::string> data = DataOf(fields);
  uint64_t id = 0;
  const bool is_next = id_text != nullptr && data &&
                       absl::SimpleAtoi(*id_text, &id) && id == text.events + 1;
  if (!is_next) return event_check::kMalformed;
  if (run_version) {
    if (*run_version < rules.minimum_version) return event_check::kTooOld;
    if (!MayContinue(text, rules, run_version)) return event_check::kMixed;
    if (!HasVersion(text, *run_version)) {
      text.versions.push_back(*run_version);
    }
  }
  text.events = id;
  text.data.push_back(std::move(*data));
  return event_check::kAccepted;
}

std::string JoinText(const generated_text& text) {
  return absl::StrJoin(text.data, "\n");
}

}  // namespace hickorywood::steps
