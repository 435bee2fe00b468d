#include "transport/http_server.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

#include "core/ids.h"
#include "net/event.h"
#include "net/listener.h"

namespace hickorywood::transport {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

// A request may take this long, and its connection is idle meanwhile.
constexpr std::chrono::minutes kIdleTimeout{30};
// Time for a request head to arrive.
constexpr std::chrono::seconds kHeaderTimeout{10};
constexpr char kTooLarge[] =
    R"({"outcome":"not_run","reason":"the request is too large","retry_after_ms":0})";
constexpr char kNoMemory[] =
    R"({"outcome":"not_run","reason":"the memory for requests is in use","retry_after_ms":1000})";
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnavailable = 503;

// Runs functions on the loop of a listener until that has stopped. Exchanges
// may outlive their listener.
class loop_gate {
 public:
  explicit loop_gate(asio::io_context& loop) : loop_(&loop) {}

  void Post(std::function<void()> work) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (loop_ != nullptr) asio::post(*loop_, std::move(work));
  }

  void Close() {
    const std::lock_guard<std::mutex> lock(mutex_);
    loop_ = nullptr;
  }

 private:
  std::mutex mutex_;
  asio::io_context* loop_;  // guarded by mutex_
};

// One step of an answer.
struct answer_part {
  enum class kind { kReply, kBegin, kPiece, kEnd, kAbandon };
  kind what = kind::kReply;
  net::response head;
  std::string piece;
};

// What the exchange, on any thread, and its coroutine share.
class exchange_state {
 public:
  explicit exchange_state(std::shared_ptr<loop_gate> gate)
      : gate_(std::move(gate)) {}

  static void Add(const std::shared_ptr<exchange_state>& state,
                  answer_part part) {
    state->gate_->Post([state, part = std::move(part)]() mutable {
      state->parts_.push_back(std::move(part));
      state->changed_.Notify();
    });
  }

  // Called on the loop.
  awaitable<answer_part> Next() {
    while (parts_.empty()) {
      co_await changed_.WaitUntil(core::time_point::max());
    }
    answer_part part = std::move(parts_.front());
    parts_.pop_front();
    co_return part;
  }

  void SetOnDisconnect(std::function<void()> on_disconnect) {
    const std::lock_guard<std::mutex> lock(mutex_);
    on_disconnect_ = std::move(on_disconnect);
  }

  // The coroutine has ended. `is_answered`: the caller is still connected.
  void Finish(bool is_answered) {
    std::function<void()> call;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      call = std::exchange(on_disconnect_, nullptr);
    }
    if (call && !is_answered) call();
  }

 private:
  const std::shared_ptr<loop_gate> gate_;
  std::deque<answer_part> parts_;
  net::event changed_;
  std::mutex mutex_;
  std::function<void()> on_disconnect_;  // guarded by mutex_
};

class listener_exchange : public http_exchange {
 public:
  listener_exchange(net::request input, std::string from,
                    std::shared_ptr<exchange_state> state,
                    std::shared_ptr<std::atomic<int64_t>> in_flight)
      : request_(std::move(input)),
        path_(net::PathOf(request_.target)),
        from_(std::move(from)),
        state_(std::move(state)),
        in_flight_(std::move(in_flight)) {
    ++*in_flight_;
  }

  ~listener_exchange() override {
    if (MarkAnswered()) Add({answer_part::kind::kAbandon, {}, {}});
  }

  const std::string& Method() const override { return request_.method; }
  const std::string& Path() const override { return path_; }
  const std::string& Body() const override { return request_.body; }
  std::string Query(const std::string& name) const override {
    return net::QueryValue(request_.target, name);
  }
  std::string Header(const std::string& name) const override {
    return std::string(net::Find(request_.headers, name));
  }
  std::string Target() const override { return request_.target; }
  std::vector<http_header> Headers() const override {
    std::vector<http_header> headers;
    for (const net::header& item : request_.headers) {
      headers.push_back({item.name, item.value});
    }
    return headers;
  }
  std::string RemoteAddress() const override { return from_; }

  void Reply(int status, const std::vector<http_header>& headers,
             const std::string& content_type,
             const std::string& body) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_streaming_ || !MarkAnswered()) return;
    net::response head = MakeHead(status, headers, content_type);
    head.body = body;
    Add({answer_part::kind::kReply, std::move(head), {}});
  }

  void BeginStream(int status, const std::vector<http_header>& headers,
                   const std::string& content_type) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_answered_ || is_streaming_) return;
    is_streaming_ = true;
    Add({answer_part::kind::kBegin,
         MakeHead(status, headers, content_type),
         {}});
  }

  void WriteStream(const std::string& piece) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_streaming_ || is_answered_ || piece.empty()) return;
    Add({answer_part::kind::kPiece, {}, piece});
  }

  void EndStream() override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_streaming_ || !MarkAnswered()) return;
    Add({answer_part::kind::kEnd, {}, {}});
  }

  void OnDisconnect(std::function<void()> on_disconnect) override {
    state_->SetOnDisconnect(std::move(on_disconnect));
  }

 private:
  void Add(answer_part part) { exchange_state::Add(state_, std::move(part)); }

  // Adds the call id of the request. Other instances accept a response only if
  // it contains the id of their call.
  net::response MakeHead(int status, const std::vector<http_header>& headers,
                         const std::string& content_type) const {
    net::response head;
    head.status = status;
    for (const http_header& item : headers) {
      head.headers.push_back({item.name, item.value});
    }
    std::string id = Header(core::kCallIdHeader);
    if (!id.empty()) head.headers.push_back({core::kCallIdHeader, id});
    if (!content_type.empty()) {
      head.headers.push_back({"Content-Type", content_type});
    }
    return head;
  }

  // Returns false if it was answered before.
  bool MarkAnswered() {
    if (is_answered_.exchange(true)) return false;
    --*in_flight_;
    return true;
  }

  const net::request request_;
  const std::string path_;
  const std::string from_;
  std::mutex mutex_;  // several threads may answer
  bool is_streaming_ = false;
  std::atomic<bool> is_answered_{false};
  const std::shared_ptr<exchange_state> state_;
  const std::shared_ptr<std::atomic<int64_t>> in_flight_;
};

net::response TooLarge() {
  return {
      kStatusTooLarge,
      {{"Hickory-Outcome", "not_run"}, {"Content-Type", "application/json"}},
      kTooLarge};
}

net::response NoMemory() {
  return {kStatusUnavailable,
          {{"Hickory-Outcome", "not_run"},
           {"Retry-After", "1"},
           {"Content-Type", "application/json"}},
          kNoMemory};
}

}  // namespace

struct http_server::impl {
  awaitable<void> Serve(net::exchange& call);

  listener_options options;
  http_handler handler;
  std::shared_ptr<std::atomic<int64_t>> in_flight =
      std::make_shared<std::atomic<int64_t>>(0);
  asio::io_context loop{1};
  const std::shared_ptr<loop_gate> gate = std::make_shared<loop_gate>(loop);
  std::unique_ptr<net::listener> listening;
  std::thread thread;
  uint16_t port = 0;
};

// Sends the parts of the answer in the order in which they are given, until it
// is complete or the caller disconnects.
awaitable<void> http_server::impl::Serve(net::exchange& call) {
  const auto state = std::make_shared<exchange_state>(gate);
  struct finish_guard {
    exchange_state& state;
    bool is_answered = false;
    ~finish_guard() { state.Finish(is_answered); }
  } guard{*state};
  handler(std::make_shared<listener_exchange>(
      call.Request(), call.RemoteAddress(), state, in_flight));
  for (;;) {
    answer_part part = co_await state->Next();
    switch (part.what) {
      case answer_part::kind::kReply:
        guard.is_answered = true;
        co_await call.Reply(std::move(part.head));
        co_return;
      case answer_part::kind::kBegin:
        co_await call.BeginStream(std::move(part.head));
        break;
      case answer_part::kind::kPiece:
        co_await call.WriteStream(std::move(part.piece));
        break;
      case answer_part::kind::kEnd:
        guard.is_answered = true;
        co_await call.EndStream();
        co_return;
      case answer_part::kind::kAbandon:
        guard.is_answered = true;
        co_return;
    }
  }
}

http_server::http_server(listener_options options, http_handler handler)
    : impl_(std::make_unique<impl>()) {
  impl_->options = std::move(options);
  impl_->handler = std::move(handler);
}

http_server::~http_server() { Stop(); }

bool http_server::Start() {
  net::listener_options options;
  options.address = impl_->options.address;
  options.limits = [bytes = impl_->options.request_bytes] {
    net::caller_limits limits;
    limits.body_bytes = bytes;
    limits.header_timeout = kHeaderTimeout;
    limits.idle_timeout = kIdleTimeout;
    return limits;
  };
  options.memory = net::MakeRequestMemory(impl_->options.memory_bytes);
  options.on_memory_shortage = NoMemory;
  options.on_too_large = TooLarge;
  impl_->listening = std::make_unique<net::listener>(
      impl_->loop, std::move(options),
      [this](net::exchange& call) { return impl_->Serve(call); });
  if (!impl_->listening->Start()) {
    impl_->listening.reset();
    return false;
  }
  impl_->port = impl_->listening->Port();
  impl_->thread = std::thread([this] {
    const auto guard = asio::make_work_guard(impl_->loop);
    impl_->loop.run();
  });
  return true;
}

void http_server::Stop() {
  impl_->gate->Close();
  if (!impl_->thread.joinable()) return;
  impl_->loop.stop();
  impl_->thread.join();
}

uint16_t http_server::Port() const { return impl_->port; }

int64_t http_server::InFlight() const { return *impl_->in_flight; }

}  // namespace hickorywood::transport
