#include "support/duplicate_response_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "net/event.h"

namespace hickorywood::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
// Headers with the request id in requests and responses, of callers and of
// instances.
constexpr const char* kIdHeaders[] = {"X-Request-Id", "X-Call-Id"};
constexpr char kInterim[] =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
// Delays of late second responses.
constexpr milliseconds kDelays[] = {milliseconds(1), milliseconds(20),
                                    milliseconds(200), milliseconds(2000)};
// Processing times exceed the delay of the second response by this margin.
constexpr milliseconds kMargin{30};

std::string Encode(const request& input, const scripted_answer& answer,
                   named_request named, answer_form form) {
  const std::string& body = answer.body;
  std::string head =
      "HTTP/1.1 " + std::to_string(answer.status) + " Answer\r\n";
  if (answer.status == 421) head += "X-Not-Run: 1\r\n";
  head += "X-Response-Stamp: signed\r\nX-Weight-Versions: 1\r\n";
  for (const char* name : kIdHeaders) {
    const std::string id(Find(input.headers, name));
    if (id.empty() || named == named_request::kNone) continue;
    const bool is_other = named == named_request::kOther;
    head += std::string(name) + ": " + (is_other ? "nobody-sent-it" : id);
    head += "\r\n";
  }
  if (form != answer_form::kWithoutLength) {
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  const size_t size = form == answer_form::kCut ? body.size() / 2 : body.size();
  return head + "\r\n" + body.substr(0, size);
}

const char* NameOf(named_request named) {
  switch (named) {
    case named_request::kNone:
      return "without a request id";
    case named_request::kRepeated:
      return "with the id of the same request";
    case named_request::kOther:
      return "with the id of another request";
  }
  return "";
}

const char* NameOf(answer_form form) {
  switch (form) {
    case answer_form::kComplete:
      return "complete";
    case answer_form::kCut:
      return "truncated";
    case answer_form::kWithoutLength:
      return "without a length";
  }
  return "";
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const duplicate_response& input) {
  out << NameOf(input.named) << ", " << NameOf(input.form) << ", ";
  switch (input.moment) {
    case second_moment::kNever:
      return out << "never";
    case second_moment::kImmediate:
      return out << "in the same write";
    case second_moment::kLate:
      return out << input.delay.count() << " ms late";
    case second_moment::kBeforeNextResponse:
      return out << "before the next response";
  }
  return out;
}

std::vector<duplicate_response> AllDuplicateResponses() {
  std::vector<duplicate_response> all;
  for (const auto named : {named_request::kNone, named_request::kRepeated,
                           named_request::kOther}) {
    for (const auto form : {answer_form::kComplete, answer_form::kCut,
                            answer_form::kWithoutLength}) {
      all.push_back({named, form, second_moment::kImmediate});
      all.push_back({named, form, second_moment::kBeforeNextResponse});
      for (const milliseconds delay : kDelays) {
        all.push_back(
            {named, form, second_moment::kLate, delay, delay + kMargin});
      }
    }
  }
  return all;
}

struct duplicate_response_server::impl : std::enable_shared_from_this<impl> {
  impl(asio::io_context& io, script_maker plan, scripted_maker make)
      : loop(io),
        scripts(std::move(plan)),
        answer(std::move(make)),
        acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

  awaitable<void> Accept();
  awaitable<void> Serve(std::shared_ptr<tcp::socket> socket);
  awaitable<void> WriteLate(std::shared_ptr<tcp::socket> socket,
                            std::string bytes, milliseconds delay);
  void Close();

  asio::io_context& loop;
  const script_maker scripts;
  const scripted_maker answer;
  tcp::acceptor acceptor;
  std::vector<std::weak_ptr<tcp::socket>> sockets;
  int requests = 0;
  int connections = 0;
};

awaitable<void> duplicate_response_server::impl::Accept() {
  const auto self = shared_from_this();
  for (;;) {
    auto [failure, socket] = co_await acceptor.async_accept(kNoThrow);
    if (failure) co_return;
    ++connections;
    const auto shared = std::make_shared<tcp::socket>(std::move(socket));
    std::erase_if(sockets, [](const auto& item) { return item.expired(); });
    sockets.push_back(shared);
    asio::co_spawn(loop, Serve(shared), asio::detached);
  }
}

void duplicate_response_server::impl::Close() {
  acceptor.close();
  for (const auto& item : sockets) {
    if (const auto socket = item.lock()) socket->close();
  }
}

awaitable<void> duplicate_response_server::impl::WriteLate(
    std::shared_ptr<tcp::socket> socket, std::string bytes,
    milliseconds delay) {
  co_await Sleep(delay);
  co_await asio::async_write(*socket, asio::buffer(bytes), kNoThrow);
}

awaitable<void> duplicate_response_server::impl::Serve(
    std::shared_ptr<tcp::socket> socket) {
  const auto self = shared_from_this();
  boost::beast::flat_buffer buffer;
  std::string delayed;  // second response to the previous request
  for (;;) {
    http::request<http::string_body> message;
    const auto [failure, size] =
        co_await http::async_read(*socket, buffer, message, kNoThrow);
    if (failure) co_return;
    const int count = ++requests;
    request input;
    input.target = std::string(message.target());
    input.body = message.body();
    for (const auto& field : message) {
      input.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    const duplicate_response script = scripts(input);
    if (count > 1) {
      co_await Sleep(script.work);
    }
    const named_request own = script.contains_own_id ? named_request::kRepeated
                                                     : named_request::kNone;
    std::string bytes = std::exchange(delayed, "");
    if (script.sends_interim) bytes += kInterim;
    bytes +=
        Encode(input, answer(input, count, false), own, answer_form::kComplete);
    const std::string second =
        Encode(input, answer(input, count, true), script.named, script.form);
    if (script.moment == second_moment::kImmediate) bytes += second;
    if (script.moment == second_moment::kBeforeNextResponse) delayed = second;
    co_await asio::async_write(*socket, asio::buffer(bytes), kNoThrow);
    if (script.moment == second_moment::kLate) {
      asio::co_spawn(loop, WriteLate(socket, second, script.delay),
                     asio::detached);
    }
  }
}

duplicate_response_server::duplicate_response_server(
    asio::io_context& loop, const duplicate_response& script,
    answer_maker answer)
    : duplicate_response_server(
          loop, [script](const request&) { return script; },
          [script, answer = std::move(answer)](const request& input, int count,
                                               bool is_second) {
            const int status = count <= script.failures ? 500 : 200;
            return scripted_answer{status, answer(input, count, is_second)};
          }) {}

duplicate_response_server::duplicate_response_server(asio::io_context& loop,
                                                     script_maker scripts,
                                                     scripted_maker answer)
    : impl_(
          std::make_shared<impl>(loop, std::move(scripts), std::move(answer))) {
  asio::co_spawn(loop, impl_->Accept(), asio::detached);
}

duplicate_response_server::~duplicate_response_server() { impl_->Close(); }

std::string duplicate_response_server::Address() const {
  return "127.0.0.1:" + std::to_string(impl_->acceptor.local_endpoint().port());
}

int duplicate_response_server::Requests() const { return impl_->requests; }

int duplicate_response_server::Connections() const {
  return impl_->connections;
}

}  // namespace hickorywood::net
