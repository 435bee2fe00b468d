#include "hickoryctl/commands.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <utility>

#include "core/ids.h"
#include "core/json.h"
#include "settings/fleet_config.h"
#include "settings/instance_settings.h"

namespace hickorywood::hickoryctl {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr std::chrono::milliseconds kSubmitTimeout{20000};
constexpr char kQuarantinePath[] = "/hickory/v1/quarantine";
constexpr char kScalingPath[] = "/hickory/v1/scaling";
constexpr char kUsagePath[] = "/hickory/v1/usage";

json ParseBody(const reply& answer) {
  json tree = json::parse(answer.body, nullptr, false);
  return tree.is_object() ? tree : json::object();
}

bool IsSuccess(const reply& answer) {
  return answer.is_answered && answer.status >= 200 && answer.status < 300;
}

// Prints `text` if the request succeeded, otherwise the error. Returns the exit
// code.
int PrintSuccess(const reply& answer, const char* text) {
  if (!IsSuccess(answer)) return ReportFailure(answer);
  std::puts(text);
  return kExitOk;
}

std::string Join(const json& list) {
  std::string text;
  for (const json& item : list) {
    text += (text.empty() ? "" : ", ") + item.get<std::string>();
  }
  return text.empty() ? "-" : text;
}

void PrintReplica(const json& replica) {
  std::printf("  control: %s, term %llu, commit %llu, leader lease %lld ms\n",
              replica.value("role", "").c_str(), replica.value("term", 0ULL),
              replica.value("commit", 0ULL),
              replica.value("lease_left_ms", 0LL));
  std::printf("  voters: %s   learners: %s\n", Join(replica["voters"]).c_str(),
              Join(replica["learners"]).c_str());
  if (replica.value("role", "") != "leader") return;
  std::printf("  excluded sites: %s   changes held for: %s\n",
              Join(replica["excluded_sites"]).c_str(),
              Join(replica["dark_sites"]).c_str());
  for (const auto& [instance, revision] : replica["revisions"].items()) {
    std::printf("  in force at %s: revision %llu\n", instance.c_str(),
                revision.get<unsigned long long>());
  }
}

void PrintInstance(const json& status) {
  std::printf(
      "%s  site %s  zone %s  %s%s%s  revision %llu  lease %lld ms  steps %lld  "
      "generations %lld\n",
      status.value("id", "").c_str(), status.value("site", "").c_str(),
      status.value("zone", "").c_str(),
      status.value("is_ready", false) ? "ready" : "not ready",
      status.value("is_draining", false) ? ", stopping" : "",
      status.value("is_site_dark", false) ? ", site cut off" : "",
      status.value("revision", 0ULL), status.value("lease_left_ms", 0LL),
      status.value("steps", 0LL), status.value("generations", 0LL));
  if (status.value("has_replica", false)) PrintReplica(status["replica"]);
}

void PrintEndpoints(const json& endpoints) {
  std::puts("endpoints:");
  for (const json& endpoint : endpoints) {
    std::printf(
        "  %-20s %-14s %-21s zone %-12s version %lld  running %lld  queued "
        "%lld%s\n",
        endpoint.value("id", "").c_str(), endpoint.value("name", "").c_str(),
        endpoint.value("address", "").c_str(),
        endpoint.value("zone", "").c_str(), endpoint.value("version", 0LL),
        endpoint.value("running", 0LL), endpoint.value("queued", 0LL),
        endpoint.value("is_swapping", false) ? "  swapping" : "");
  }
}

int SubmitExitCode(const reply& answer, const json& tree) {
  const std::string status = tree.value("status", "");
  if (IsSuccess(answer)) return kExitOk;
  if (status == "conflict") return kExitConflict;
  if (status == "refused") return kExitInvalid;
  if (status == "held") return kExitHeld;
  if (status == "lost" || status == "not_leader") return kExitUnreachable;
  return kExitFailed;
}

}  // namespace

int ReportFailure(const reply& answer) {
  if (!answer.is_answered) {
    std::fprintf(stderr, "no answer: %s\n", answer.error.c_str());
    return kExitUnreachable;
  }
  const json tree = ParseBody(answer);
  std::fprintf(stderr, "status %d: %s\n", answer.status,
               tree.value("reason", answer.body).c_str());
  return kExitFailed;
}

int Validate(const std::string& base,
             const std::vector<std::string>& overlays) {
  std::vector<core::finding> findings;
  const auto read = [&findings](const std::string& file) {
    const auto text = settings::ReadTextFile(file);
    if (!text) findings.push_back({file, 0, 0, core::LastReason().text});
    return settings::config_text{file, text.value_or("")};
  };
  const settings::config_text base_text = read(base);
  std::map<std::string, settings::config_text> overlay_texts;
  for (const std::string& item : overlays) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos) {
      findings.push_back({item, 0, 0, "an overlay is given as SITE=FILE"});
      continue;
    }
    overlay_texts[item.substr(0, equals)] = read(item.substr(equals + 1));
  }
  settings::CheckFleet(base_text, overlay_texts, findings);
  if (findings.empty()) {
    std::puts("valid");
    return kExitOk;
  }
  std::fputs(core::FormatFindings(findings).c_str(), stderr);
  return kExitInvalid;
}

int Submit(const server& target, const submission& change, bool as_json) {
  const auto text = settings::ReadTextFile(change.file);
  if (!text) {
    std::fprintf(stderr, "%s\n", core::LastReason().text.c_str());
    return kExitInvalid;
  }
  int64_t based_on = change.based_on;
  if (based_on < 0) {
    const reply current =
        SendRequest(target, "GET", "/v1/configuration", "", kTimeout);
    if (!IsSuccess(current)) return ReportFailure(current);
    based_on = ParseBody(current).value("revision", int64_t{0});
  }
  const std::string change_id =
      change.change_id.empty() ? core::RandomId() : change.change_id;
  const json body = {{"change_id", change_id},
                     {"scope", change.scope},
                     {"file", change.file},
                     {"text", *text},
                     {"based_on", based_on}};
  const reply answer = SendRequest(target, "POST", "/v1/configuration",
                                   body.dump(), kSubmitTimeout);
  if (!answer.is_answered) {
    std::fprintf(
        stderr,
        "no answer: %s\nsend it again with --change_id=%s --based_on=%lld\n",
        answer.error.c_str(), change_id.c_str(),
        static_cast<long long>(based_on));
    return kExitUnreachable;
  }
  const json tree = ParseBody(answer);
  if (as_json) {
    std::puts(answer.body.c_str());
    return SubmitExitCode(answer, tree);
  }
  std::printf("%s  revision %llu  change %s\n",
              tree.value("status", "failed").c_str(),
              tree.value("revision", 0ULL), change_id.c_str());
  for (const char* field : {"reason", "findings", "winner"}) {
    const std::string value = tree.value(field, "");
    if (!value.empty()) std::printf("%s: %s\n", field, value.c_str());
  }
  return SubmitExitCode(answer, tree);
}

int ShowConfiguration(const server& target, bool as_json) {
  const reply answer =
      SendRequest(target, "GET", "/v1/configuration", "", kTimeout);
  if (!IsSuccess(answer)) return ReportFailure(answer);
  if (as_json) {
    std::puts(answer.body.c_str());
    return kExitOk;
  }
  const json tree = ParseBody(answer);
  std::printf("revision %llu at site %s\n--- base (%s)\n%s--- overlay (%s)\n%s",
              tree.value("revision", 0ULL), tree.value("site", "").c_str(),
              tree["base"].value("file", "").c_str(),
              tree["base"].value("text", "").c_str(),
              tree["overlay"].value("file", "none").c_str(),
              tree["overlay"].value("text", "").c_str());
  return kExitOk;
}

int ShowQuarantine(const server& target, bool as_json) {
  const reply answer =
      SendRequest(target, "GET", kQuarantinePath, "", kTimeout);
  if (!IsSuccess(answer)) return ReportFailure(answer);
  if (as_json) {
    std::puts(answer.body.c_str());
    return kExitOk;
  }
  for (const json& item : ParseBody(answer)["warnings"]) {
    std::printf(
        "%s  customer %s  %s  quarantines %lld  crashed endpoints: %s\n",
        item.value("digest", "").c_str(), item.value("customer", "").c_str(),
        item.value("is_quarantined", false) ? "quarantined" : "suspected",
        item.value("quarantines", 0LL), Join(item["ends"]).c_str());
  }
  return kExitOk;
}

int ShowScaling(const server& target, bool as_json) {
  const reply answer = SendRequest(target, "GET", kScalingPath, "", kTimeout);
  if (!IsSuccess(answer)) return ReportFailure(answer);
  if (as_json) {
    std::puts(answer.body.c_str());
    return kExitOk;
  }
  const json tree = ParseBody(answer);
  if (!tree.value("is_enabled", false)) std::puts("servers are not ordered");
  for (const json& service : tree.value("services", json::array())) {
    for (const json& group : service.value("groups", json::array())) {
      std::printf(
          "%s  zone %-12s %-8s present %lld  leaving %lld  ordered %lld  last "
          "order: %s\n",
          service.value("service", "").c_str(), group.value("zone", "").c_str(),
          group.value("kind", "").c_str(), group.value("present", 0LL),
          group.value("leaving", 0LL),
          group.contains("target") && group["target"].is_number()
              ? group.value("target", 0LL)
              : 0LL,
          group.value("last_order", "").c_str());
    }
  }
  return kExitOk;
}

int ShowUsage(const server& target, bool as_json) {
  const reply answer = SendRequest(target, "GET", kUsagePath, "", kTimeout);
  if (!IsSuccess(answer)) return ReportFailure(answer);
  if (as_json) {
    std::puts(answer.body.c_str());
    return kExitOk;
  }
  const json tree = ParseBody(answer);
  if (!tree.value("is_enabled", false)) std::puts("usage is not reported");
  for (const json& window : tree.value("windows", json::array())) {
    std::printf("window %lld  %s\n", window.value("window", 0LL),
                window.value("state", "").c_str());
    const json counts = window.value("counts", json::object());
    for (const auto& [customer, count] : counts.items()) {
      std::printf("  %-24s %lld\n", customer.c_str(), count.get<long long>());
    }
  }
  return kExitOk;
}

int LiftQuarantine(const server& target, const std::string& digest) {
  const reply answer = SendRequest(
      target, "DELETE", kQuarantinePath + ("/" + digest), "", kTimeout);
  return PrintSuccess(answer, "lifted");
}

int ShowStatus(const server& target, bool as_json) {
  const reply answer = SendRequest(target, "GET", "/v1/status", "", kTimeout);
  if (!IsSuccess(answer)) return ReportFailure(answer);
  if (as_json) {
    std::puts(answer.body.c_str());
    return kExitOk;
  }
  const json tree = ParseBody(answer);
  for (const json& instance : tree["instances"]) PrintInstance(instance);
  for (const json& id : tree["silent"]) {
    std::printf("%s  no answer\n", id.get<std::string>().c_str());
  }
  PrintEndpoints(tree["instances"][0]["endpoints"]);
  return kExitOk;
}

int Explain(const server& target, const std::string& request_id, bool as_json) {
  const reply answer =
      SendRequest(target, "GET", "/v1/explain/" + request_id, "", kTimeout);
  if (!answer.is_answered || (answer.status != 200 && answer.status != 404)) {
    return ReportFailure(answer);
  }
  if (as_json) {
    std::puts(answer.body.c_str());
    return answer.status == 200 ? kExitOk : kExitFailed;
  }
  const json tree = ParseBody(answer);
  for (const json& line : tree["lines"]) {
    std::printf("%lld  %s  %s\n", line.value("at_ms", 0LL),
                line.value("instance", "").c_str(),
                line.value("text", "").c_str());
  }
  for (const json& id : tree["silent"]) {
    std::printf("%s  no answer\n", id.get<std::string>().c_str());
  }
  if (!tree["lines"].empty()) return kExitOk;
  std::puts("no instance has a record of this request");
  return kExitFailed;
}

int Bootstrap(const server& target) {
  return PrintSuccess(
      SendRequest(target, "POST", "/v1/group/bootstrap", "{}", kTimeout),
      "bootstrapped");
}

int Drain(const server& target) {
  return PrintSuccess(SendRequest(target, "POST", "/v1/drain", "{}", kTimeout),
                      "stopping");
}

int SetSite(const server& target, const std::string& site, bool is_excluded) {
  const std::string path =
      "/v1/sites/" + site + (is_excluded ? "/exclude" : "/include");
  return PrintSuccess(SendRequest(target, "POST", path, "{}", kTimeout),
                      is_excluded ? "excluded" : "included");
}

int SaveSnapshot(const server& target, const std::string& file) {
  const reply answer =
      SendRequest(target, "GET", "/v1/snapshot", "", kSubmitTimeout);
  if (!IsSuccess(answer)) return ReportFailure(answer);
  std::ofstream stream(file, std::ios::binary);
  stream << answer.body;
  stream.close();
  if (stream) return kExitOk;
  std::fprintf(stderr, "can't write '%s'\n", file.c_str());
  return kExitFailed;
}

}  // namespace hickorywood::hickoryctl
