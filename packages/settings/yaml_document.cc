#include "settings/yaml_document.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "core/reason.h"

namespace hickorywood::settings {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxNestingDepth = 8;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

// A key chosen by the operator must not contain a dot, since dots separate the
// parts of a path.
bool IsKeyName(const std::string& text) {
  return IsName(text) && text.find('.') == std::string::npos;
}

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  size_t start = 0;
  for (size_t dot = path.find('.'); dot != std::string::npos;
       dot = path.find('.', start)) {
    parts.push_back(path.substr(start, dot - start));
    start = dot + 1;
  }
  parts.push_back(path.substr(start));
  return parts;
}

enum class path_match { kNone, kMap, kValue };

// Compares a path with a declared path, in which '*' matches any name.
path_match MatchPath(const std::vector<std::string>& declared,
                     const std::vector<std::string>& path) {
  if (path.size() > declared.size()) return path_match::kNone;
  for (size_t i = 0; i < path.size(); ++i) {
    if (declared[i] != "*" && declared[i] != path[i]) return path_match::kNone;
  }
  return path.size() == declared.size() ? path_match::kValue : path_match::kMap;
}

const setting_info* FindSetting(const std::vector<setting_info>& schema,
                                const std::string& path) {
  const std::vector<std::string> parts = SplitPath(path);
  for (const setting_info& info : schema) {
    if (MatchPath(SplitPath(info.path), parts) == path_match::kValue) {
      return &info;
    }
  }
  return nullptr;
}

bool IsKnownMap(const std::vector<setting_info>& schema,
                const std::string& path) {
  const std::vector<std::string> parts = SplitPath(path);
  return std::any_of(
      schema.begin(), schema.end(), [&parts](const setting_info& info) {
        return MatchPath(SplitPath(info.path), parts) == path_match::kMap;
      });
}

std::optional<double> ParseFiniteNumber(const std::string& text) {
  if (text.empty() || std::isspace(static_cast<unsigned char>(text[0])) != 0) {
    return std::nullopt;
  }
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (*end != '\0' || !std::isfinite(value)) return std::nullopt;
  return value;
}

bool IsIntegerText(const std::string& text) {
  const size_t start = !text.empty() && text[0] == '-' ? 1 : 0;
  constexpr size_t kMaxDigits = 18;
  if (text.size() == start || text.size() - start > kMaxDigits) return false;
  return std::all_of(text.begin() + static_cast<std::ptrdiff_t>(start),
                     text.end(),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

bool IsAddress(const std::string& text) {
  unsigned parts[4] = {0, 0, 0, 0};
  unsigned port = 0;
  char rest = 0;
  const int count =
      std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u:%5u%c", &parts[0], &parts[1],
                  &parts[2], &parts[3], &port, &rest);
  constexpr unsigned kMaxByte = 255;
  constexpr unsigned kMaxPort = 65535;
  if (count != 5 || port > kMaxPort) return false;
  return std::all_of(std::begin(parts), std::end(parts),
                     [](unsigned part) { return part <= kMaxByte; });
}

std::string RangeText(const setting_info& info, const char* unit) {
  char text[96];
  std::snprintf(text, sizeof(text), "must lie between %g%s and %g%s",
                info.minimum, unit, info.maximum, unit);
  return text;
}

// Returns the error text for one scalar; empty if it is valid.
std::string CheckScalar(const setting_info& info, const std::string& text) {
  switch (info.type) {
    case value_type::kText:
    case value_type::kTextList:
      return "";
    case value_type::kName:
      return IsName(text) ? ""
                          : "expected a name (letters, digits, '-', '_', '.')";
    case value_type::kFlag:
      return text == "true" || text == "false" ? "" : "expected true or false";
    case value_type::kAddress:
      return IsAddress(text) ? "" : "expected an address like 127.0.0.1:8080";
    case value_type::kInteger: {
      if (!IsIntegerText(text)) return "expected an integer";
      const auto value = static_cast<double>(std::atoll(text.c_str()));
      return value >= info.minimum && value <= info.maximum
                 ? ""
                 : RangeText(info, "");
    }
    case value_type::kNumber: {
      const std::optional<double> value = ParseFiniteNumber(text);
      if (!value) return "expected a finite number";
      return *value >= info.minimum && *value <= info.maximum
                 ? ""
                 : RangeText(info, "");
    }
    case value_type::kDuration: {
      const std::optional<std::chrono::milliseconds> value =
          ParseDuration(text);
      if (!value) return "expected a duration with a unit: ms, s, m or h";
      const auto millis = static_cast<double>(value->count());
      return millis >= info.minimum && millis <= info.maximum
                 ? ""
                 : RangeText(info, "ms");
    }
  }
  return "";
}

// Visits all nodes of a document and collects values and findings.
class document_parser {
 public:
  document_parser(std::string file, const std::vector<setting_info>& schema,
                  std::vector<core::finding>& findings)
      : file_(std::move(file)), schema_(schema), findings_(findings) {}

  value_tree Walk(const YAML::Node& root) {
    if (root.IsNull()) return std::move(tree_);
    if (!root.IsMap()) {
      AddFinding(root.Mark(), "expected a map at the top");
      return std::move(tree_);
    }
    WalkMap(root, "", 0);
    return std::move(tree_);
  }

 private:
  void AddFinding(const YAML::Mark& mark, std::string text) {
    findings_.push_back(
        {file_, mark.line + 1, mark.column + 1, std::move(text)});
  }

  void WalkMap(const YAML::Node& map, const std::string& prefix, size_t depth) {
    std::set<std::string> seen;
    for (const auto& item : map) {
      if (!item.first.IsScalar()) {
        AddFinding(item.first.Mark(), "a key must be plain text");
        continue;
      }
      const std::string key = item.first.Scalar();
      if (!IsKeyName(key)) {
        AddFinding(item.first.Mark(),
                   "'" + key + "' is not a name (letters, digits, '-', '_')");
        continue;
      }
      if (!seen.insert(key).second) {
        AddFinding(item.first.Mark(), "key '" + key + "' occurs twice");
        continue;
      }
      WalkItem(item.first, item.second,
               prefix.empty() ? key : prefix + "." + key, depth);
    }
  }

  void WalkItem(const YAML::Node& key, const YAML::Node& value,
                const std::string& path, size_t depth) {
    const setting_info* info = FindSetting(schema_, path);
    if (info != nullptr) {
      WalkValue(value, path, *info);
      return;
    }
    if (depth >= kMaxNestingDepth || !IsKnownMap(schema_, path)) {
      AddFinding(key.Mark(), "unknown key '" + path + "'");
      return;
    }
    if (!value.IsMap() && !value.IsNull()) {
      AddFinding(value.Mark(), "'" + path + "' must be a map");
      return;
    }
    tree_.maps.insert(path);
    if (value.IsMap()) WalkMap(value, path, depth + 1);
  }

  void WalkValue(const YAML::Node& value, const std::string& path,
                 const setting_info& info) {
    located_value located{
        {}, file_, value.Mark().line + 1, value.Mark().column + 1};
    if (info.type == value_type::kTextList) {
      if (!value.IsSequence()) {
        AddFinding(value.Mark(), "'" + path + "': expected a list");
        return;
      }
      for (const YAML::Node& item : value) {
        if (!item.IsScalar()) {
          AddFinding(item.Mark(),
                     "'" + path + "': expected a list of plain text");
          continue;
        }
        located.texts.push_back(item.Scalar());
      }
    } else {
      if (!value.IsScalar()) {
        AddFinding(value.Mark(),
                   "'" + path + "': expected " + TypeName(info.type));
        return;
      }
      const std::string error_text = CheckScalar(info, value.Scalar());
      if (!error_text.empty()) {
        AddFinding(value.Mark(), "'" + path + "': " + error_text + ", got '" +
                                     value.Scalar() + "'");
        return;
      }
      located.texts.push_back(value.Scalar());
    }
    tree_.values[path] = std::move(located);
  }

  const std::string file_;
  const std::vector<setting_info>& schema_;
  std::vector<core::finding>& findings_;
  value_tree tree_;
};

}  // namespace

value_tree ParseDocument(const std::string& file, const std::string& text,
                         const std::vector<setting_info>& schema,
                         std::vector<core::finding>& findings) {
  // Aliases let a few hundred bytes expand to gigabytes; no setting needs them.
  try {
    const YAML::Node root = YAML::Load(text);
    return document_parser(file, schema, findings).Walk(root);
  } catch (const YAML::Exception& error) {
    findings.push_back(
        {file, error.mark.line + 1, error.mark.column + 1, error.msg});
    return {};
  }
}

value_tree Merge(const value_tree& lower, const value_tree& upper) {
  value_tree merged = lower;
  for (const auto& [path, value] : upper.values) merged.values[path] = value;
  merged.maps.insert(upper.maps.begin(), upper.maps.end());
  return merged;
}

void CheckRequired(const value_tree& tree,
                   const std::vector<setting_info>& schema,
                   const std::string& file,
                   std::vector<core::finding>& findings) {
  for (const setting_info& info : schema) {
    if (info.default_text != nullptr) continue;
    const std::string path = info.path;
    const size_t star = path.find(".*.");
    if (star == std::string::npos) {
      if (tree.values.count(path) == 0) {
        findings.push_back({file, 0, 0, "'" + path + "' is missing"});
      }
      continue;
    }
    const std::string prefix = path.substr(0, star);
    const std::string leaf = path.substr(star + 3);
    for (const std::string& name : ChildNames(tree, prefix)) {
      const std::string full = prefix + "." + name + "." + leaf;
      if (tree.values.count(full) == 0) {
        findings.push_back({file, 0, 0, "'" + full + "' is missing"});
      }
    }
  }
}

std::vector<std::string> ChildNames(const value_tree& tree,
                                    const std::string& prefix) {
  std::vector<std::string> names;
  for (const std::string& map : tree.maps) {
    const bool is_child = map.size() > prefix.size() + 1 &&
                          map.compare(0, prefix.size(), prefix) == 0 &&
                          map[prefix.size()] == '.';
    if (is_child) names.push_back(map.substr(prefix.size() + 1));
  }
  return names;
}

std::optional<std::chrono::milliseconds> ParseDuration(
    const std::string& text) {
  // Fractions are allowed, a sign and an exponent are not.
  const size_t digits = text.find_first_not_of("0123456789.");
  const std::string number = text.substr(0, digits);
  constexpr size_t kMaxDigits = 12;
  double count = 0;
  const char* const end = number.data() + number.size();
  const auto [rest, error] = std::from_chars(number.data(), end, count);
  if (number.empty() || number.size() > kMaxDigits || error != std::errc() ||
      rest != end) {
    return core::Fail(core::reason_code::kInvalid,
                      "no number in duration '" + text + "'");
  }
  const std::string unit =
      digits == std::string::npos ? "" : text.substr(digits);
  const auto in = [count](std::chrono::milliseconds one) {
    return std::chrono::milliseconds(
        std::llround(count * static_cast<double>(one.count())));
  };
  if (unit == "ms") return in(std::chrono::milliseconds(1));
  if (unit == "s") return in(std::chrono::seconds(1));
  if (unit == "m") return in(std::chrono::minutes(1));
  if (unit == "h") return in(std::chrono::hours(1));
  return core::Fail(core::reason_code::kInvalid,
                    "unknown unit in duration '" + text + "'");
}

tree_reader::tree_reader(const value_tree& tree,
                         const std::vector<setting_info>& schema)
    : tree_(tree), schema_(schema) {}

std::string tree_reader::Text(const std::string& path) const {
  const auto found = tree_.values.find(path);
  if (found != tree_.values.end() && !found->second.texts.empty()) {
    return found->second.texts.front();
  }
  const setting_info* info = FindSetting(schema_, path);
  return info == nullptr || info->default_text == nullptr ? ""
                                                          : info->default_text;
}

int64_t tree_reader::Integer(const std::string& path) const {
  return std::atoll(Text(path).c_str());
}

double tree_reader::Number(const std::string& path) const {
  return ParseFiniteNumber(Text(path)).value_or(0);
}

bool tree_reader::Flag(const std::string& path) const {
  return Text(path) == "true";
}

std::chrono::milliseconds tree_reader::Duration(const std::string& path) const {
  return ParseDuration(Text(path)).value_or(std::chrono::milliseconds(0));
}

std::vector<std::string> tree_reader::List(const std::string& path) const {
  const auto found = tree_.values.find(path);
  return found == tree_.values.end() ? std::vector<std::string>{}
                                     : found->second.texts;
}

}  // namespace hickorywood::settings
