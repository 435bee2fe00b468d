#include "transport/http_server.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/http_headers.h>
#include <pistache/peer.h>

#include <atomic>
#include <cstdio>
#include <exception>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "core/ids.h"
#include "core/reason.h"

namespace hickorywood::transport {
namespace {

namespace http = Pistache::Http;

// Pistache measures these timeouts from the start of a request, also while its
// handler is still running, and then answers 408 itself. They must exceed the
// duration of any request.
constexpr auto kConnectionTimeout = std::chrono::minutes(30);

// When a body exceeds its own limit, Pistache answers 413 in the middle of the
// body and parses the rest as the next request, so that a later request on the
// connection receives a response that is not its own. Therefore requests up to
// this many times the configured limit are read completely and rejected here.
constexpr size_t kHardLimitFactor = 4;
constexpr int kStatusTooLarge = 413;

// Pistache sends only typed headers; this type allows any name.
class any_header : public http::Header::Header {
 public:
  any_header(std::string name, std::string value)
      : name_(std::move(name)), value_(std::move(value)) {}
  const char* name() const override { return name_.c_str(); }
  void write(std::ostream& stream) const override { stream << value_; }
#ifdef SAFE_HEADER_CAST
  uint64_t hash() const override { return 0; }
#endif

 private:
  std::string name_;
  std::string value_;
};

struct shared_counters {
  std::atomic<int64_t> in_flight{0};
};

// Stores the callbacks to run when a connection closes. Shared by a listener
// and its exchanges, which may outlive it.
class disconnect_registry {
 public:
  void Add(size_t peer_id, uint64_t exchange_id,
           std::function<void()> on_disconnect) {
    const std::lock_guard<std::mutex> lock(mutex_);
    watched_[peer_id][exchange_id] = std::move(on_disconnect);
  }

  void Remove(size_t peer_id, uint64_t exchange_id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = watched_.find(peer_id);
    if (found == watched_.end()) return;
    found->second.erase(exchange_id);
    if (found->second.empty()) watched_.erase(found);
  }

  void Closed(size_t peer_id) {
    std::unordered_map<uint64_t, std::function<void()>> calls;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto found = watched_.find(peer_id);
      if (found == watched_.end()) return;
      calls = std::move(found->second);
      watched_.erase(found);
    }
    for (const auto& call : calls) call.second();
  }

 private:
  std::mutex mutex_;
  std::unordered_map<size_t,
                     std::unordered_map<uint64_t, std::function<void()>>>
      watched_;
};

class pistache_exchange : public http_exchange {
 public:
  pistache_exchange(http::Request request, http::ResponseWriter writer,
                    std::shared_ptr<shared_counters> counters,
                    std::shared_ptr<disconnect_registry> registry)
      : request_(std::move(request)),
        writer_(std::move(writer)),
        method_(http::methodString(request_.method())),
        body_(request_.body()),
        counters_(std::move(counters)),
        registry_(std::move(registry)) {
    static std::atomic<uint64_t> next_id{1};
    id_ = next_id++;
    const auto peer = writer_.getPeer();
    if (peer) peer_id_ = peer->getID();
    ++counters_->in_flight;
  }

  ~pistache_exchange() override { MarkAnswered(); }

  const std::string& Method() const override { return method_; }
  const std::string& Path() const override { return request_.resource(); }
  const std::string& Body() const override { return body_; }

  std::string Query(const std::string& name) const override {
    return request_.query().get(name).value_or("");
  }

  std::string Header(const std::string& name) const override {
    const auto raw = request_.headers().tryGetRaw(name);
    return raw ? raw->value() : "";
  }

  std::string Target() const override {
    return request_.resource() + request_.query().as_str();
  }

  std::vector<http_header> Headers() const override {
    std::vector<http_header> headers;
    for (const auto& item : request_.headers().rawList()) {
      headers.push_back({item.second.name(), item.second.value()});
    }
    return headers;
  }

  std::string RemoteAddress() const override {
    return request_.address().host();
  }

  void Reply(int status, const std::vector<http_header>& headers,
             const std::string& content_type,
             const std::string& body) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_answered_ || is_streaming_) return;
    MarkAnswered();
    AddHeaders(headers, content_type);
    // Sending fails when the caller has closed the connection. The error is
    // ignored because no one can receive it.
    try {
      writer_.send(static_cast<http::Code>(status), body);
    } catch (const std::exception&) {
      return;
    }
  }

  // Streams are framed here and passed to the connection as raw bytes. The
  // stream of Pistache writes from the calling thread when it flushes, which
  // races with the thread of the connection: a process that streamed from
  // another thread terminated with "could not find write data".
  void BeginStream(int status, const std::vector<http_header>& headers,
                   const std::string& content_type) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_answered_ || is_streaming_) return;
    is_streaming_ = true;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Streamed\r\n";
    for (const http_header& header : WithCallId(headers)) {
      head += header.name + ": " + header.value + "\r\n";
    }
    head += "Content-Type: " + content_type +
            "\r\nConnection: Keep-Alive\r\nTransfer-Encoding: chunked\r\n\r\n";
    SendRaw(head);
  }

  void WriteStream(const std::string& piece) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_streaming_ || is_answered_ || piece.empty()) return;
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
    SendRaw(size + piece + "\r\n");
  }

  void EndStream() override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_streaming_ || is_answered_) return;
    MarkAnswered();
    SendRaw("0\r\n\r\n");
  }

  void OnDisconnect(std::function<void()> on_disconnect) override {
    registry_->Add(peer_id_, id_, std::move(on_disconnect));
  }

 private:
  // Does nothing when the caller has closed the connection.
  void SendRaw(const std::string& bytes) {
    const auto peer = writer_.getPeer();
    if (peer) peer->send(Pistache::RawBuffer(bytes, bytes.size()));
  }

  // Adds the call id of the request. Other instances accept a response only if
  // it contains the id of their call.
  std::vector<http_header> WithCallId(std::vector<http_header> headers) const {
    std::string id = Header(core::kCallIdHeader);
    if (!id.empty()) headers.push_back({core::kCallIdHeader, std::move(id)});
    return headers;
  }

  void AddHeaders(const std::vector<http_header>& headers,
                  const std::string& content_type) {
    for (const http_header& header : WithCallId(headers)) {
      writer_.headers().add(
          std::make_shared<any_header>(header.name, header.value));
    }
    if (!content_type.empty()) {
      writer_.headers().add(
          std::make_shared<any_header>("Content-Type", content_type));
    }
  }

  void MarkAnswered() {
    if (is_answered_.exchange(true)) return;
    --counters_->in_flight;
    registry_->Remove(peer_id_, id_);
  }

  http::Request request_;
  http::ResponseWriter writer_;
  std::string method_;
  std::string body_;
  std::mutex mutex_;  // several threads may answer
  bool is_streaming_ = false;
  std::atomic<bool> is_answered_{false};
  std::shared_ptr<shared_counters> counters_;
  std::shared_ptr<disconnect_registry> registry_;
  size_t peer_id_ = 0;
  uint64_t id_ = 0;
};

class pistache_handler : public http::Handler {
 public:
  HTTP_PROTOTYPE(pistache_handler)

  pistache_handler(http_handler handler,
                   std::shared_ptr<shared_counters> counters,
                   std::shared_ptr<disconnect_registry> registry,
                   size_t request_bytes)
      : handler_(std::move(handler)),
        counters_(std::move(counters)),
        registry_(std::move(registry)),
        request_bytes_(request_bytes) {}

  void onRequest(const http::Request& request,
                 http::ResponseWriter writer) override {
    const auto exchange = std::make_shared<pistache_exchange>(
        request, std::move(writer), counters_, registry_);
    if (request.body().size() > request_bytes_) {
      exchange->Reply(
          kStatusTooLarge, {{"Hickory-Outcome", "not_run"}}, "application/json",
          R"({"outcome":"not_run","reason":"the request is too large","retry_after_ms":0})");
      return;
    }
    handler_(exchange);
  }

  void onDisconnection(
      const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    if (peer) registry_->Closed(peer->getID());
  }

 private:
  http_handler handler_;
  std::shared_ptr<shared_counters> counters_;
  std::shared_ptr<disconnect_registry> registry_;
  const size_t request_bytes_;
};

}  // namespace

struct http_server::impl {
  listener_options options;
  http_handler handler;
  std::shared_ptr<shared_counters> counters =
      std::make_shared<shared_counters>();
  std::shared_ptr<disconnect_registry> registry =
      std::make_shared<disconnect_registry>();
  std::unique_ptr<http::Endpoint> endpoint;
  uint16_t port = 0;
};

http_server::http_server(listener_options options, http_handler handler)
    : impl_(std::make_unique<impl>()) {
  impl_->options = std::move(options);
  impl_->handler = std::move(handler);
}

http_server::~http_server() { Stop(); }

bool http_server::Start() {
  try {
    impl_->endpoint = std::make_unique<http::Endpoint>(
        Pistache::Address(impl_->options.address));
    auto options =
        http::Endpoint::options()
            .threads(impl_->options.threads)
            .maxRequestSize(impl_->options.request_bytes * kHardLimitFactor)
            .headerTimeout(kConnectionTimeout)
            .bodyTimeout(kConnectionTimeout)
            .keepaliveTimeout(kConnectionTimeout)
            .flags(Pistache::Tcp::Options::ReuseAddr |
                   Pistache::Tcp::Options::NoDelay);
    impl_->endpoint->init(options);
    impl_->endpoint->setHandler(std::make_shared<pistache_handler>(
        impl_->handler, impl_->counters, impl_->registry,
        impl_->options.request_bytes));
    impl_->endpoint->serveThreaded();
    impl_->port = static_cast<uint16_t>(impl_->endpoint->getPort());
    return true;
  } catch (const std::exception& error) {
    core::SetLastReason(
        core::reason_code::kIo,
        "can't listen on " + impl_->options.address + ": " + error.what());
    impl_->endpoint.reset();
    return false;
  }
}

void http_server::Stop() {
  if (!impl_->endpoint) return;
  impl_->endpoint->shutdown();
  impl_->endpoint.reset();
}

uint16_t http_server::Port() const { return impl_->port; }

int64_t http_server::InFlight() const { return impl_->counters->in_flight; }

}  // namespace hickorywood::transport
