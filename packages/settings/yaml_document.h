#ifndef HICKORYWOOD_SETTINGS_YAML_DOCUMENT_H_
#define HICKORYWOOD_SETTINGS_YAML_DOCUMENT_H_

// Parses YAML text and validates it against a schema. All errors of a document
// are collected, each with its location. A document with a syntax error is not
// checked further.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/finding.h"
#include "settings/schema.h"

namespace hickorywood::settings {

// One value of a document with its location.
struct located_value {
  std::vector<std::string> texts;  // one for a scalar, any number for a list
  std::string file;
  int line = 0;
  int column = 0;
};

// The values of one or several merged documents, by dotted path.
struct value_tree {
  std::map<std::string, located_value> values;
  // Paths of the maps in the documents, including empty ones: "pools.chat".
  std::set<std::string> maps;
};

// Parses `text`. Syntax errors, unknown and duplicate keys, wrong types,
// invalid units and numbers out of range are added to `findings`. After a
// syntax error the returned tree is empty. After other errors it contains the
// valid values, so that later checks can add their findings.
value_tree ParseDocument(const std::string& file, const std::string& text,
                         const std::vector<setting_info>& schema,
                         std::vector<core::finding>& findings);

// Merges both trees. A value of `upper` replaces the value of `lower` with the
// same path; a list replaces the complete list.
value_tree Merge(const value_tree& lower, const value_tree& upper);

// Adds a finding for each missing setting that has no default. A path with '*'
// is checked in each map of `tree` that the '*' matches.
void CheckRequired(const value_tree& tree,
                   const std::vector<setting_info>& schema,
                   const std::string& file,
                   std::vector<core::finding>& findings);

// Returns the names of the maps of `tree` under `prefix`, sorted: for "pools"
// the names of the pools. They are the names that a '*' after `prefix` matches.
std::vector<std::string> ChildNames(const value_tree& tree,
                                    const std::string& prefix);

// Parses a non-negative number with a unit: "250ms", "1.5s", "5m", "1h".
// Returns nothing and sets the last reason (kInvalid) if `text` has another
// form.
std::optional<std::chrono::milliseconds> ParseDuration(const std::string& text);

// Typed access to a validated tree. For a missing value the default of the
// schema is returned. List() returns an empty list instead. A path that is
// neither in the tree nor in the schema gives an empty text, 0 or false.
class tree_reader {
 public:
  tree_reader(const value_tree& tree, const std::vector<setting_info>& schema);

  std::string Text(const std::string& path) const;
  int64_t Integer(const std::string& path) const;
  double Number(const std::string& path) const;
  bool Flag(const std::string& path) const;
  std::chrono::milliseconds Duration(const std::string& path) const;
  std::vector<std::string> List(const std::string& path) const;

 private:
  const value_tree& tree_;
  const std::vector<setting_info>& schema_;
};

}  // namespace hickorywood::settings

#endif  // HICKORYWOOD_SETTINGS_YAML_DOCUMENT_H_
