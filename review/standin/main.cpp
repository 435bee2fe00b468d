// standin engine|engine-v2|app ID ADDRESS ZONE CONTROLS VERSION
// standin moved-path RECORD FOLDER CONTROLS ENTRIES SERVERS TROUBLE
// standin held-items RECORD FOLDER CONTROLS ENTRIES SERVERS TROUBLE
// standin line-breaks RECORD FOLDER CONTROLS ENTRIES SERVERS TROUBLE
// standin port ADDRESS...   prints a port that is free at all addresses

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "engine.h"
#include "fleet.h"
#include "held_items.h"
#include "line_breaks.h"
#include "moved_path.h"

namespace {

int RunEngine(const std::vector<std::string>& words) {
  review::engine_options options;
  options.id = words[1];
  options.address = words[2];
  options.zone = words[3];
  options.controls = review::Split(words[4]);
  options.service = "huvo11a";
  options.model = "daka510000";
  options.version = std::atoi(words[5].c_str());
  if (words[0] == "engine-v2") options.software = "v2";
  if (words[0] == "app") {
    options.service = "wuno96b";
    options.known_path = "/2f";
  }
  return review::engine(options).Run();
}

bool IsFree(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in target = review::ParseAddress(address);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
  close(fd);
  return is_free;
}

int PrintPort(const std::vector<std::string>& words) {
  for (int tries = 0; tries < 100; ++tries) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in any = review::ParseAddress("127.0.0.1:0");
    socklen_t size = sizeof any;
    bool is_free =
        bind(fd, reinterpret_cast<const sockaddr*>(&any), size) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&any), &size) == 0;
    close(fd);
    const std::string port = std::to_string(ntohs(any.sin_port));
    for (size_t i = 1; i < words.size(); ++i) {
      is_free = is_free && IsFree(words[i] + ":" + port);
    }
    if (!is_free) continue;
    std::puts(port.c_str());
    return 0;
  }
  return 2;
}

}  // namespace

int main(int count, char** arguments) {
  const std::vector<std::string> words(arguments + 1, arguments + count);
  const std::string mode = words.empty() ? "" : words[0];
  const bool is_server =
      mode == "engine" || mode == "engine-v2" || mode == "app";
  if (is_server && words.size() == 6) return RunEngine(words);
  if (mode == "port") return PrintPort(words);
  if (mode == "line-breaks" && words.size() == 7) {
    return review::RunLineBreaks(words, arguments[0]);
  }
  if (mode == "moved-path" && words.size() == 7) {
    return review::RunMovedPath(words, arguments[0]);
  }
  if (mode == "held-items" && words.size() == 7) {
    return review::RunHeldItems(words, arguments[0]);
  }
  std::fprintf(stderr, "unknown mode\n");
  return 2;
}
