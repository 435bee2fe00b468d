#ifndef HICKORYWOOD_HICKORYCTL_COMMANDS_H_
#define HICKORYWOOD_HICKORYCTL_COMMANDS_H_

// The commands of hickoryctl. Each prints to standard output and returns the
// exit code.

#include <cstdint>
#include <string>
#include <vector>

#include "hickoryctl/client.h"

namespace hickorywood::hickoryctl {

// Documented in docs/operations.md.
enum exit_code : int {
  kExitOk = 0,
  kExitFailed = 1,       // the instance refused or could not do it
  kExitInvalid = 2,      // findings, or wrong use of the command
  kExitConflict = 3,     // another change was first
  kExitHeld = 4,         // a site can't be reached; nothing changed
  kExitUnreachable = 5,  // no answer; what became of the command is not known
};

struct submission {
  std::string scope;  // "base" or a site
  std::string file;
  std::string change_id;  // empty: made here
  int64_t based_on = -1;  // revision; -1: the one in force now
};

// Checks files without any instance: the base and overlays as SITE=FILE.
int Validate(const std::string& base, const std::vector<std::string>& overlays);

int Submit(const server& target, const submission& change, bool as_json);
int ShowConfiguration(const server& target, bool as_json);
int ShowStatus(const server& target, bool as_json);
int Explain(const server& target, const std::string& request_id, bool as_json);
int Bootstrap(const server& target);
int Drain(const server& target);
int SetSite(const server& target, const std::string& site, bool is_excluded);
int SaveSnapshot(const server& target, const std::string& file);

// Of a control instance on a platform. The requests under which endpoints
// ended; and the word that one of them may be sent again.
int ShowQuarantine(const server& target, bool as_json);
int LiftQuarantine(const server& target, const std::string& digest);

// `html`: also writes a page with plots to that file.
int ReportBurn(const server& target, const std::string& html, bool as_json);

// Prints the reason of a failed reply and returns its exit code.
int FailureOf(const reply& answer);

}  // namespace hickorywood::hickoryctl

#endif  // HICKORYWOOD_HICKORYCTL_COMMANDS_H_
