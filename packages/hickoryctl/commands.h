#ifndef HICKORYWOOD_HICKORYCTL_COMMANDS_H_
#define HICKORYWOOD_HICKORYCTL_COMMANDS_H_

// The commands of hickoryctl. Each command prints to standard output and
// returns the exit code of the process.

#include <cstdint>
#include <string>
#include <vector>

#include "hickoryctl/client.h"

namespace hickorywood::hickoryctl {

// Documented in docs/OPERATIONS.md.
enum exit_code : int {
  kExitOk = 0,
  kExitFailed = 1,    // the instance rejected the command or failed
  kExitInvalid = 2,   // findings, or a usage error
  kExitConflict = 3,  // another change was applied first
  // A site is unreachable and nothing was changed, or the change was committed
  // but is not in force everywhere yet.
  kExitHeld = 4,
  kExitUnreachable = 5,  // no response; the outcome of the command is unknown
};

struct submission {
  std::string scope;  // "base" or the name of a site
  std::string file;
  std::string change_id;  // empty: generated
  int64_t based_on = -1;  // base revision; -1: the current one
};

// Checks configuration files without contacting an instance. `overlays` are
// given as SITE=FILE.
int Validate(const std::string& base, const std::vector<std::string>& overlays);

int Submit(const server& target, const submission& change, bool as_json);
int ShowConfiguration(const server& target, bool as_json);
int ShowStatus(const server& target, bool as_json);
int Explain(const server& target, const std::string& request_id, bool as_json);
int Bootstrap(const server& target);
int Drain(const server& target);
int SetSite(const server& target, const std::string& site, bool is_excluded);
int SaveSnapshot(const server& target, const std::string& file);

// These two commands need a control instance of a platform deployment.
// ShowQuarantine lists the requests that crash endpoints; LiftQuarantine allows
// one of them to be sent again.
int ShowQuarantine(const server& target, bool as_json);
int LiftQuarantine(const server& target, const std::string& digest);

// These two also need a control instance. ShowScaling prints the ordered and
// present servers of each service; ShowUsage the windows of usage that the
// provider has not acknowledged.
int ShowScaling(const server& target, bool as_json);
int ShowUsage(const server& target, bool as_json);

// Unless `html` is empty, also writes a page with plots to this file.
int ReportBurn(const server& target, const std::string& html, bool as_json);

// Prints the error of a failed request and returns the exit code.
int ReportFailure(const reply& answer);

}  // namespace hickorywood::hickoryctl

#endif  // HICKORYWOOD_HICKORYCTL_COMMANDS_H_
