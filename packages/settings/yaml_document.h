#ifndef HICKORYWOOD_SETTINGS_YAML_DOCUMENT_H_
#define HICKORYWOOD_SETTINGS_YAML_DOCUMENT_H_

// Parses YAML text and validates it against a schema. All errors of a document
// are collected, each with its location.

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
  // Paths of the maps in the documents, including empty ones: "pools.rigcoach".
  std::set<std::string> maps;
};

// Parses `text`. Syntax errors, unknown and duplicate keys, wrong types,
// invalid units and numbers out of range are added to `findings`. All valid
// values are returned nevertheless, so that later checks can add their
// findings.
value_tree ParseDocument(const std::string& file, const std::string& text,
                         const std::vector<setting_info>& schema,
                         std::vector<core::finding>& findings);

// Merges both trees. Values of `upper` take precedence.
value_tree Merge(const value_tree& lower, const value_tree& upper);

// Adds a finding for each required setting that is missing in an existing map.
void CheckRequired(const value_tree& tree,
                   const std::vector<setting_info>& schema,
                   const std::string& file,
                   std::vector<core::finding>& findings);

// Returns the names that '*' matches under `prefix`, sorted: for "pools" the
// names of the pools.
std::vector<std::string> ChildNames(const value_tree& tree,
                                    const std::string& prefix);

// Parses "250ms", "2s", "5m", "1h". Otherwise returns nothing, with reason
// kInvalid.
std::optional<std::chrono::milliseconds> ParseDuration(const std::string& text);

// Typed access to a validated tree. For a missing value the default of the
// schema is returned.
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
