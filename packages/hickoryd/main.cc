// hickoryd: one instance of hickorywood.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "core/events.h"
#include "core/reason.h"
#include "hickoryd/instance.h"
#include "hickoryd/node_main.h"
#include "settings/instance_settings.h"

ABSL_FLAG(std::vector<std::string>, settings, {},
          "Settings files, layered: base,specific,local. Later ones win.");
ABSL_FLAG(std::string, node_settings, "",
          "Settings file of an entry or a control instance that finds the "
          "others by its seeds. Without it and --settings: the file that "
          "HICKORYWOOD_SETTINGS names.");
ABSL_FLAG(bool, check, false, "Only check the settings.");
ABSL_FLAG(std::string, baseline, "",
          "For measurements only: comma-separated baselines: round_robin, "
          "least_reported, no_hedging, no_resume, "
          "no_affinity.");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

namespace hickoryd = hickorywood::hickoryd;
namespace settings = hickorywood::settings;
namespace routing = hickorywood::routing;

// The settings file of a node; empty if this process is an instance with a
// fixed list of peers.
std::string NodeSettingsFile() {
  std::string file = absl::GetFlag(FLAGS_node_settings);
  if (!file.empty() || !absl::GetFlag(FLAGS_settings).empty()) return file;
  const char* const named = std::getenv("HICKORYWOOD_SETTINGS");
  return named == nullptr ? "" : named;
}

hickoryd::instance_options OptionsFromFlags() {
  hickoryd::instance_options options;
  const std::string list = "," + absl::GetFlag(FLAGS_baseline) + ",";
  const auto has = [&list](const char* name) {
    return list.find("," + std::string(name) + ",") != std::string::npos;
  };
  if (has("round_robin")) {
    options.generation.choice.method = routing::choice_method::kRoundRobin;
  }
  if (has("least_reported")) {
    options.generation.choice.method =
        routing::choice_method::kLeastReportedLoad;
  }
  options.generation.choice.uses_affinity = !has("no_affinity");
  options.generation.resumes = !has("no_resume");
  options.hedging_enabled = !has("no_hedging");
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "One instance of hickorywood.\n  hickoryd --settings "
      "base.yaml,instance.yaml");
  absl::ParseCommandLine(argc, argv);
  const std::string node_settings = NodeSettingsFile();
  if (!node_settings.empty()) {
    return hickoryd::RunNode(node_settings, absl::GetFlag(FLAGS_check));
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);

  std::vector<hickorywood::core::finding> findings;
  const auto checked =
      settings::LoadInstanceSettings(absl::GetFlag(FLAGS_settings), findings);
  if (!checked) {
    std::fputs(hickorywood::core::FormatFindings(findings).c_str(), stderr);
    hickorywood::core::LogEvent(
        hickorywood::core::event_id::kSettingsRefused,
        {{"findings", std::to_string(findings.size())}});
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) return 0;

  // One thread handles the signals. All threads started after this call block
  // them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  const hickorywood::core::runtime_clock clock;
  const auto running = hickoryd::instance_builder(clock)
                           .WithSettings(*checked)
                           .WithOptions(OptionsFromFlags())
                           .Build();
  if (!running->Start()) {
    LOG(ERROR) << "can't start: " << hickorywood::core::LastReason().text;
    return kExitFailed;
  }
  std::thread([&stop_signals, &running] {
    int signal_number = 0;
    sigwait(&stop_signals, &signal_number);
    running->BeginDrain();
  }).detach();
  const int code = running->Wait();
  // Exits without static destructors, because library threads may still use the
  // objects that those would destroy.
  google::FlushLogFiles(google::INFO);
  std::_Exit(code);
}
