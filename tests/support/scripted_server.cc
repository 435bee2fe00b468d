#include "support/scripted_server.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <thread>
#include <utility>

namespace hickorywood::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

net::request ToRequest(const http::request<http::string_body>& message) {
  net::request input;
  input.method = std::string(message.method_string());
  input.target = std::string(message.target());
  for (const auto& field : message) {
    input.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  input.body = message.body();
  return input;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const scripted_response& response) {
  return out << response.name;
}

struct scripted_server::impl {
  explicit impl(responder make)
      : respond(std::move(make)),
        acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        port(acceptor.local_endpoint().port()) {
    asio::co_spawn(loop, Accept(), asio::detached);
    thread = std::thread([this] { loop.run(); });
  }
  ~impl() {
    loop.stop();
    thread.join();
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  awaitable<void> Accept() {
    for (;;) {
      auto [failure, socket] = co_await acceptor.async_accept(kNoThrow);
      if (failure) co_return;
      ++connections;
      asio::co_spawn(loop, Serve(std::move(socket)), asio::detached);
    }
  }

  awaitable<void> Serve(tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    for (;;) {
      http::request<http::string_body> message;
      const auto [failure, size] =
          co_await http::async_read(socket, buffer, message, kNoThrow);
      if (failure) {
        ++closed;
        co_return;
      }
      ++requests;
      const scripted_response response = respond(ToRequest(message));
      if (response.stops) acceptor.close();
      co_await asio::async_write(socket, asio::buffer(response.bytes),
                                 kNoThrow);
      if (response.closes) co_return;
    }
  }

  const responder respond;
  asio::io_context loop;
  tcp::acceptor acceptor;
  const uint16_t port;
  std::atomic<int> requests{0};
  std::atomic<int> connections{0};
  std::atomic<int> closed{0};
  std::thread thread;  // declared last because it uses the members above
};

scripted_server::scripted_server(responder respond)
    : impl_(std::make_unique<impl>(std::move(respond))) {}

scripted_server::~scripted_server() = default;

std::string scripted_server::Address() const {
  return "127.0.0.1:" + std::to_string(impl_->port);
}

int scripted_server::Requests() const { return impl_->requests; }

int scripted_server::Connections() const { return impl_->connections; }

int scripted_server::Closed() const { return impl_->closed; }

}  // namespace hickorywood::testing
