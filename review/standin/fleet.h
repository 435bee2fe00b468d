// The stand-in of the platform: starts and ends model servers, and is the
// operator and the trainer of the deployment that run.sh has started.
#ifndef HICKORYWOOD_REVIEW_STANDIN_FLEET_H_
#define HICKORYWOOD_REVIEW_STANDIN_FLEET_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

inline void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

// Writes what was sent, answered and run.
class recorder {
 public:
  explicit recorder(const std::string& file) : out_(file) {}
  void Note(const std::string& text) {
    out_ << NowMs() - began_ << " ms  " << text << std::endl;
  }
  void Raw(const std::string& text) { out_ << text << "\n"; }
  int64_t Began() const { return began_; }

 private:
  std::ofstream out_;
  const int64_t began_ = NowMs();
};

// One start of a model server.
struct server {
  std::string id;
  std::string address;
  std::string zone;
  pid_t pid = -1;
  std::string kind = "engine";
  int version = 1;  // of its weights at its start
};

class server_fleet {
 public:
  server_fleet(std::string program, std::string folder, std::string controls,
               recorder& record)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        controls_(std::move(controls)),
        record_(record) {}
  ~server_fleet() {
    for (server& item : servers) Kill(item, "end of the test");
  }

  // `kind`: `engine`, `engine-v2` or `app`, a mode of the stand-in.
  void Add(const std::string& address, const std::string& zone,
           const std::string& kind = "engine") {
    servers.push_back({"", address, zone, -1, kind, newest_version});
    Start(servers.back());
  }

  // Each start is a new boot with a new id.
  void Start(server& item) {
    item.id = "i-" + std::to_string(10000 + ++starts_);
    const std::string log = folder_ + "/server-" + item.id + ".log";
    const std::vector<std::string> words = {program_,
                                            item.kind,
                                            item.id,
                                            item.address,
                                            item.zone,
                                            controls_,
                                            std::to_string(item.version)};
    item.pid = fork();
    if (item.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2(out, 1);
      std::vector<char*> arguments;
      for (const std::string& word : words) {
        arguments.push_back(const_cast<char*>(word.c_str()));
      }
      arguments.push_back(nullptr);
      execv(program_.c_str(), arguments.data());
      _exit(127);
    }
    record_.Note("server " + item.id + " starts at " + item.address);
  }

  void Kill(server& item, const std::string& why) {
    if (item.pid <= 0) return;
    kill(item.pid, SIGKILL);
    waitpid(item.pid, nullptr, 0);
    item.pid = -1;
    record_.Note("server " + item.id + " is killed: " + why);
  }

  // Planned work: a new server starts at another address, the old one drains.
  void Replace(size_t index, const std::string& address,
               const std::string& kind) {
    Add(address, servers[index].zone, kind);
    record_.Note("server " + servers[index].id + " is to drain");
    kill(servers[index].pid, SIGTERM);
  }

  // All lines that the servers wrote: time, server, text.
  std::vector<std::string> Lines() const {
    std::vector<std::string> lines;
    for (int i = 1; i <= starts_; ++i) {
      std::ifstream log(folder_ + "/server-i-" + std::to_string(10000 + i) +
                        ".log");
      for (std::string line; std::getline(log, line);) lines.push_back(line);
    }
    return lines;
  }

  std::vector<server> servers;
  // A server that starts again has the version of before (no test names one
  // before a crash), a new one has the newest.
  int newest_version = 1;

 private:
  const std::string program_;
  const std::string folder_;
  const std::string controls_;
  recorder& record_;
  int starts_ = 0;
};

// One run of a request at a server, as the server saw it. `to` is -1 while it
// goes on, and for a run that ended with its server.
struct seen_run {
  std::string server;
  int64_t from = 0;
  int64_t to = -1;
  bool is_finished = false;
};

inline std::map<std::string, std::vector<seen_run>> RunsOf(
    const std::vector<std::string>& lines) {
  std::map<std::string, std::vector<seen_run>> runs;
  for (const std::string& line : lines) {
    long long at = 0;
    char server[64];
    char what[16];
    char id[64];
    if (std::sscanf(line.c_str(), "%lld %63s %15s %63s", &at, server, what,
                    id) != 4) {
      continue;
    }
    if (std::string(what) == "run") {
      runs[id].push_back({server, at, -1, false});
      continue;
    }
    for (seen_run& run : runs[id]) {
      if (run.server != server || run.to >= 0) continue;
      run.to = at;
      run.is_finished = std::string(what) == "finished";
    }
  }
  return runs;
}

inline std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  size_t from = 0;
  while (from <= text.size()) {
    const size_t stop = std::min(text.find(',', from), text.size());
    if (stop > from) parts.push_back(text.substr(from, stop - from));
    from = stop + 1;
  }
  return parts;
}

}  // namespace review

#endif  // HICKORYWOOD_REVIEW_STANDIN_FLEET_H_
