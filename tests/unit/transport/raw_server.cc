#include "unit/transport/raw_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace hickorywood::transport {
namespace {

constexpr int kPollMillis = 20;
constexpr char kGoodAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kTruncatedAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this";

void SendText(int client, const std::string& text) {
  if (send(client, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
    return;
  }
}

}  // namespace

raw_server::raw_server(script behavior) : script_(behavior) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      listen(listener_, 16) == 0) {
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  thread_ = std::thread([this] { Run(); });
}

raw_server::~raw_server() {
  stopping_ = true;
  thread_.join();
  close(listener_);
}

void raw_server::Run() {
  int connection = 0;
  while (!stopping_) {
    pollfd entry{listener_, POLLIN, 0};
    if (poll(&entry, 1, kPollMillis) <= 0) {
      continue;
    }
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      continue;
    }
    Serve(client, connection++);
    close(client);
  }
}

// Reads until the body sent by the tests has arrived. False when the client
// closed the connection or the test ends.
bool raw_server::ReadRequest(int client) {
  std::string text;
  char buffer[4096];
  while (text.find("\r\n\r\nbody") == std::string::npos) {
    pollfd entry{client, POLLIN, 0};
    if (stopping_) {
      return false;
    }
    if (poll(&entry, 1, kPollMillis) <= 0) {
      continue;
    }
    const ssize_t count = recv(client, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      return false;
    }
    text.append(buffer, static_cast<size_t>(count));
  }
  ++requests_;
  return true;
}

void raw_server::Serve(int client, int connection) {
  if (!ReadRequest(client)) {
    return;
  }
  switch (script_) {
    case script::kReadAndClose:
      return;
    case script::kTruncatedBody:
      SendText(client, kTruncatedAnswer);
      return;
    case script::kAnswer:
      SendText(client, kGoodAnswer);
      return;
    case script::kAnswerThenReadAndClose:
      SendText(client, kGoodAnswer);
      if (connection == 0) {
        ReadRequest(client);
      }
      return;
  }
}

}  // namespace hickorywood::transport
