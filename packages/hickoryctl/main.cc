// hickoryctl: the command-line tool for operators.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <string>
#include <vector>

#include "core/reason.h"
#include "hickoryctl/commands.h"
#include "settings/instance_settings.h"

ABSL_FLAG(std::string, server, "127.0.0.1:7100",
          "Caller address of an instance, IP:PORT.");
ABSL_FLAG(std::string, token_file, "", "File with the operators' token.");
ABSL_FLAG(bool, json, false, "Print JSON.");
ABSL_FLAG(std::string, scope, "", "submit: 'base' or a site.");
ABSL_FLAG(
    std::string, change_id, "",
    "submit: id of the change; repeat the same id when sending it again.");
ABSL_FLAG(int64_t, based_on, -1,
          "submit: revision that the change is based on; -1: the current one.");
ABSL_FLAG(std::vector<std::string>, overlay, {},
          "validate: overlays as SITE=FILE.");
ABSL_FLAG(std::string, html, "",
          "report burn: also write a page with plots to this file.");

namespace {

namespace ctl = hickorywood::hickoryctl;

constexpr char kUsage[] =
    "The command-line tool for operators of hickorywood.\n\n"
    "  hickoryctl validate BASE --overlay=SITE=FILE,...   check files, without "
    "an instance\n"
    "  hickoryctl submit FILE --scope=base|SITE           apply a file\n"
    "  hickoryctl config                                  show the current "
    "configuration\n"
    "  hickoryctl status                                  instances, leader, "
    "leases, endpoints\n"
    "  hickoryctl explain REQUEST_ID                      show how a request "
    "was routed\n"
    "  hickoryctl report burn [--html=FILE]               service-level burn\n"
    "  hickoryctl bootstrap                               bootstrap the "
    "control group, once\n"
    "  hickoryctl drain                                   planned stop of the "
    "instance\n"
    "  hickoryctl exclude|include SITE                    accept changes "
    "without a site\n"
    "  hickoryctl snapshot FILE                           save the control "
    "state\n"
    "  hickoryctl quarantine                              requests that crash "
    "endpoints (at a control instance)\n"
    "  hickoryctl lift DIGEST                             allow one of them to "
    "be sent again\n"
    "  hickoryctl scale                                   ordered and present "
    "servers (at a control instance)\n"
    "  hickoryctl usage                                   usage that is not "
    "reported yet (at a control instance)\n\n"
    "Exit codes: 0 done, 1 failed, 2 findings or usage error, 3 conflict, 4 "
    "held, 5 no response.";

int ReportUsageError() {
  std::fprintf(stderr, "%s\n", kUsage);
  return ctl::kExitInvalid;
}

int Run(const std::vector<std::string>& arguments) {
  ctl::server target{absl::GetFlag(FLAGS_server), ""};
  const std::string token_file = absl::GetFlag(FLAGS_token_file);
  if (!token_file.empty()) {
    const auto token = hickorywood::settings::ReadTextFile(token_file);
    if (!token) {
      std::fprintf(stderr, "%s\n",
                   hickorywood::core::LastReason().text.c_str());
      return ctl::kExitInvalid;
    }
    target.token = token->substr(0, token->find_last_not_of(" \t\r\n") + 1);
  }
  const bool as_json = absl::GetFlag(FLAGS_json);
  const std::string command = arguments.empty() ? "" : arguments[0];
  const std::string argument = arguments.size() > 1 ? arguments[1] : "";
  if (arguments.size() == 1) {
    if (command == "config") return ctl::ShowConfiguration(target, as_json);
    if (command == "status") return ctl::ShowStatus(target, as_json);
    if (command == "bootstrap") return ctl::Bootstrap(target);
    if (command == "drain") return ctl::Drain(target);
    if (command == "quarantine") return ctl::ShowQuarantine(target, as_json);
    if (command == "scale") return ctl::ShowScaling(target, as_json);
    if (command == "usage") return ctl::ShowUsage(target, as_json);
    return ReportUsageError();
  }
  if (arguments.size() != 2) return ReportUsageError();
  if (command == "validate") {
    return ctl::Validate(argument, absl::GetFlag(FLAGS_overlay));
  }
  if (command == "submit" && !absl::GetFlag(FLAGS_scope).empty()) {
    return ctl::Submit(
        target,
        {absl::GetFlag(FLAGS_scope), argument, absl::GetFlag(FLAGS_change_id),
         absl::GetFlag(FLAGS_based_on)},
        as_json);
  }
  if (command == "lift") return ctl::LiftQuarantine(target, argument);
  if (command == "explain") return ctl::Explain(target, argument, as_json);
  if (command == "report" && argument == "burn") {
    return ctl::ReportBurn(target, absl::GetFlag(FLAGS_html), as_json);
  }
  if (command == "exclude") return ctl::SetSite(target, argument, true);
  if (command == "include") return ctl::SetSite(target, argument, false);
  if (command == "snapshot") return ctl::SaveSnapshot(target, argument);
  return ReportUsageError();
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  return Run({positional.begin() + 1, positional.end()});
}
