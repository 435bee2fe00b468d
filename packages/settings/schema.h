#ifndef HICKORYWOOD_SETTINGS_SCHEMA_H_
#define HICKORYWOOD_SETTINGS_SCHEMA_H_

// Every setting is declared once in a table: its path, type, unit, default and
// range. The table is used for validation, for the defaults, and for the test
// that docs/configuration.md is complete.

#include <string>
#include <vector>

namespace hickorywood::settings {

enum class value_type {
  kText,
  kName,  // letters, digits, '-', '_', '.'; 1 to 64 characters
  kInteger,
  kNumber,
  kFlag,      // true or false
  kDuration,  // "250ms", "2s", "5m", "1h"
  kAddress,   // "A.B.C.D:PORT"
  kTextList,
};

// Declaration of one setting. In `path`, '*' stands for any name chosen by the
// operator.
struct setting_info {
  const char* path;
  value_type type;
  const char* default_text;  // nullptr: required
  double minimum;            // for numbers, and for durations in milliseconds
  double maximum;
  const char* meaning;
};

// The settings of one instance (`hickoryd --settings`).
const std::vector<setting_info>& InstanceSchema();

// The configuration of the fleet: the base file and the overlays of the sites.
const std::vector<setting_info>& FleetSchema();

// Name of `type` in messages and in the documentation.
const char* TypeName(value_type type);

}  // namespace hickorywood::settings

#endif  // HICKORYWOOD_SETTINGS_SCHEMA_H_
