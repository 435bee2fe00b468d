// Implements `hickoryctl report burn`: the rate at which each site consumes the
// error budget of its objectives, and the main causes.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "core/json.h"
#include "hickoryctl/commands.h"
#include "rollout/burn.h"

namespace hickorywood::hickoryctl {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTimeout{5000};

// One row of the report: an objective of a pool or service at a site.
struct burn_row {
  std::string site;
  std::string objective;
  std::string subject;
  double allowed_bad = 0;
  std::map<int64_t, rollout::burn_sum> windows;  // by length in minutes
};

std::vector<burn_row> CollectRows(const json& tree) {
  std::map<std::string, burn_row> rows;
  for (const json& instance : tree["instances"]) {
    const std::string site = instance.value("site", "");
    for (const json& item : instance["sums"]) {
      const auto sum = item.get<rollout::burn_sum>();
      const std::string objective = item.value("kind", "");
      burn_row& row = rows[site + "/" + objective + "/" + sum.subject];
      row.site = site;
      row.objective = objective;
      row.subject = sum.subject;
      row.allowed_bad = std::max(row.allowed_bad,
                                 instance["allowed_bad"].value(objective, 0.0));
      rollout::burn_sum& total = row.windows[sum.window_minutes];
      total.good += sum.good;
      total.bad += sum.bad;
      for (const auto& [cause, amount] : sum.causes) {
        total.causes[cause] += amount;
      }
    }
  }
  std::vector<burn_row> list;
  for (auto& item : rows) list.push_back(std::move(item.second));
  return list;
}

double BadShare(const rollout::burn_sum& sum) {
  const double total = sum.good + sum.bad;
  return total > 0 ? sum.bad / total : 0;
}

std::string MainCause(const rollout::burn_sum& sum) {
  const auto most = std::max_element(sum.causes.begin(), sum.causes.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second < right.second;
                                     });
  if (most == sum.causes.end()) return "-";
  const int percent =
      static_cast<int>(100 * most->second / std::max(1e-9, sum.bad));
  return most->first + " (" + std::to_string(percent) + "%)";
}

std::string RateText(const burn_row& row, int64_t minutes) {
  const auto found = row.windows.find(minutes);
  char text[32];
  const double rate = found == row.windows.end()
                          ? 0
                          : rollout::BurnRate(found->second, row.allowed_bad);
  std::snprintf(text, sizeof(text), "%.2f", rate);
  return text;
}

// Remaining share of the error budget in the longest window. Negative if the
// budget is exceeded.
double RemainingBudget(const burn_row& row) {
  if (row.windows.empty()) return 1;
  return 1 - rollout::BurnRate(row.windows.rbegin()->second, row.allowed_bad);
}

void PrintTable(const std::vector<burn_row>& rows, const json& unreachable) {
  std::printf("%-14s %-16s %-14s %8s %9s %8s %8s %8s %9s  %s\n", "site",
              "objective", "subject", "bad", "allowed", "5m", "30m", "60m",
              "left", "main cause");
  for (const burn_row& row : rows) {
    const rollout::burn_sum& longest = row.windows.rbegin()->second;
    std::printf("%-14s %-16s %-14s %7.2f%% %8.2f%% %8s %8s %8s %8.0f%%  %s\n",
                row.site.c_str(), row.objective.c_str(), row.subject.c_str(),
                100 * BadShare(longest), 100 * row.allowed_bad,
                RateText(row, 5).c_str(), RateText(row, 30).c_str(),
                RateText(row, 60).c_str(), 100 * RemainingBudget(row),
                MainCause(longest).c_str());
  }
  for (const json& id : unreachable) {
    std::printf("not in this report: %s (no answer)\n",
                id.get<std::string>().c_str());
  }
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// Draws a bar with the burn rate of each window. The dashed line marks rate 1,
// at which the budget is used up exactly at the end of the window.
std::string RatePlot(const burn_row& row) {
  constexpr int kBarHeight = 14;
  constexpr double kUnitWidth = 60;
  constexpr double kMaxRate = 5;
  std::string svg = "<svg width=\"380\" height=\"" +
                    std::to_string(3 * (kBarHeight + 4) + 4) +
                    "\" role=\"img\">";
  int y = 2;
  for (const auto& [minutes, sum] : row.windows) {
    const double rate = rollout::BurnRate(sum, row.allowed_bad);
    const double width = std::min(rate, kMaxRate) * kUnitWidth;
    char bar[320];
    std::snprintf(
        bar, sizeof(bar),
        "<rect x=\"30\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>"
        "<text x=\"0\" y=\"%d\">%lldm</text><text x=\"%.1f\" "
        "y=\"%d\">%.2f</text>",
        y, width, kBarHeight, rate > 1 ? "#b3261e" : "#2e7d32", y + 11,
        static_cast<long long>(minutes), 34 + width, y + 11, rate);
    svg += bar;
    y += kBarHeight + 4;
  }
  char line[128];
  std::snprintf(line, sizeof(line),
                "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"0\" y2=\"%d\" "
                "stroke=\"#444\" stroke-dasharray=\"3\"/>",
                30 + kUnitWidth, 30 + kUnitWidth, y);
  return svg + line + "</svg>";
}

std::string RenderHtml(const std::vector<burn_row>& rows,
                       const json& unreachable) {
  std::string page =
      "<!doctype html><html lang=\"en\"><meta "
      "charset=\"utf-8\"><title>hickorywood: service-level burn</title>"
      "<style>body{font:14px "
      "sans-serif;margin:24px}table{border-collapse:collapse}"
      "td,th{padding:6px 12px;border-bottom:1px solid #ccc;text-align:left}svg "
      "text{font:11px sans-serif}"
      ".bad{color:#b3261e}</style><h1>Service-level burn</h1>"
      "<p>Burn rate: share of bad events over the share that the objective "
      "allows. Above 1 the error "
      "budget runs out before its "
      "time.</p><table><tr><th>Site</th><th>Objective</th><th>Subject</th>"
      "<th>Bad / allowed</th><th>Burn rate by window</th><th>Budget "
      "left</th><th>Main cause</th></tr>";
  for (const burn_row& row : rows) {
    const rollout::burn_sum& longest = row.windows.rbegin()->second;
    char numbers[96];
    std::snprintf(numbers, sizeof(numbers), "<td>%.2f%% / %.2f%%</td>",
                  100 * BadShare(longest), 100 * row.allowed_bad);
    char left[64];
    std::snprintf(left, sizeof(left), "<td%s>%.0f%%</td>",
                  RemainingBudget(row) < 0 ? " class=\"bad\"" : "",
                  100 * RemainingBudget(row));
    page += "<tr><td>" + EscapeHtml(row.site) + "</td><td>" +
            EscapeHtml(row.objective) + "</td><td>" + EscapeHtml(row.subject) +
            "</td>" + numbers + "<td>" + RatePlot(row) + "</td>" + left +
            "<td>" + EscapeHtml(MainCause(longest)) + "</td></tr>";
  }
  page += "</table>";
  for (const json& id : unreachable) {
    page += "<p class=\"bad\">Not in this report: " +
            EscapeHtml(id.get<std::string>()) + " (no answer)</p>";
  }
  return page + "</html>\n";
}

}  // namespace

int ReportBurn(const server& target, const std::string& html, bool as_json) {
  const reply answer =
      SendRequest(target, "GET", "/v1/report/burn", "", kTimeout);
  if (!answer.is_answered || answer.status != 200) return ReportFailure(answer);
  const json tree = json::parse(answer.body, nullptr, false);
  if (!tree.is_object()) {
    std::fputs("the answer is not JSON\n", stderr);
    return kExitFailed;
  }
  const std::vector<burn_row> rows = CollectRows(tree);
  if (as_json) {
    std::puts(answer.body.c_str());
  } else {
    PrintTable(rows, tree["silent"]);
  }
  if (html.empty()) return kExitOk;
  std::ofstream stream(html);
  stream << RenderHtml(rows, tree["silent"]);
  stream.close();
  if (stream) return kExitOk;
  std::fprintf(stderr, "can't write '%s'\n", html.c_str());
  return kExitFailed;
}

}  // namespace hickorywood::hickoryctl
