#include "transport/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "core/reason.h"
#include "net/chunked_decoder.h"
#include "net/response_rules.h"

namespace hickorywood::transport {
namespace {

constexpr int kPollMillis = 1000;
constexpr long kMaxIdleConnections = 512;
// Older idle connections are not reused: a network device on the path may have
// dropped them.
constexpr long kIdleAgeSeconds = 20;
constexpr long kKeepaliveIdleSeconds = 5;
constexpr long kKeepaliveIntervalSeconds = 2;
// Maximum size of all headers of a response, with those of interim responses.
constexpr size_t kMaxHeaderBytes = 64UL * 1024;
// A connection with unacknowledged data for this long is considered dead.
constexpr unsigned kUserTimeoutMillis = 5000;

bool EqualNoCase(const std::string& left, const std::string& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

int SetSocketOptions(void* /*context*/, curl_socket_t socket,
                     curlsocktype /*purpose*/) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMillis,
             sizeof(kUserTimeoutMillis));
  return CURL_SOCKOPT_OK;
}

// An active request. Used only on the client thread.
struct transfer {
  uint64_t id = 0;
  http_request request;
  http_client::completion done;
  http_response response;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  bool is_status_reported = false;
  size_t header_bytes = 0;
  net::response_head head;  // of the latest response, also if it is interim
  std::optional<net::chunked_decoder> chunks;
  bool is_too_long = false;
  std::string problem;  // why the response is not valid

  ~transfer() {
    if (easy != nullptr) curl_easy_cleanup(easy);
    if (headers != nullptr) curl_slist_free_all(headers);
  }
};

void ReportStatus(transfer& item) {
  if (item.is_status_reported || !item.request.on_status) return;
  item.is_status_reported = true;
  item.request.on_status(item.response.status);
}

// Ends a transfer: any other return value of a callback than the number of its
// bytes aborts the transfer and closes its connection.
size_t Reject(transfer& item) {
  item.problem = core::LastReason().text;
  return 0;
}

size_t OnBody(char* data, size_t size, size_t count, void* context) {
  auto& item = *static_cast<transfer*>(context);
  const std::string_view received(data, size * count);
  std::string decoded;
  if (item.chunks) {
    if (!item.chunks->Decode(received, decoded)) return Reject(item);
    if (item.chunks->HasExcess()) {
      curl_easy_setopt(item.easy, CURLOPT_FORBID_REUSE, 1L);
    }
  }
  const std::string_view body = item.chunks ? decoded : received;
  ReportStatus(item);
  if (item.request.on_data) {
    item.request.on_data(body);
    return received.size();
  }
  const size_t size_so_far = item.response.body.size() + body.size();
  item.is_too_long = size_so_far > item.request.max_body_bytes;
  if (item.is_too_long) return 0;
  item.response.body.append(body);
  return received.size();
}

bool IsReused(CURL* easy) {
  long connects = 0;
  curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects == 0;
}

// Whether the response, whose headers are complete, belongs to the request: it
// contains the id of the request, or it has no id and is the first on its
// connection. Without an id a second response on that connection could not be
// detected, so the connection is closed.
bool IsResponseToRequest(transfer& item) {
  const http_header& name = item.request.name;
  if (name.value.empty()) return true;
  const std::string found = item.response.Header(name.name);
  if (found == name.value) return true;
  if (!found.empty() || IsReused(item.easy)) return false;
  curl_easy_setopt(item.easy, CURLOPT_FORBID_REUSE, 1L);
  return true;
}

// Receives the lines of the heads of all responses to the request, and of the
// trailers.
size_t OnHeader(char* data, size_t size, size_t count, void* context) {
  auto& item = *static_cast<transfer*>(context);
  const std::string_view line(data, size * count);
  item.header_bytes += line.size();
  item.is_too_long = item.header_bytes > kMaxHeaderBytes;
  if (item.is_too_long) return 0;
  if (item.head.is_complete) {
    if (!net::IsInterim(item.head)) {
      return net::IsValidTrailer(line) ? line.size() : Reject(item);
    }
    item.head = {};
  }
  if (!net::AddHeadLine(item.head, line)) return Reject(item);
  if (!item.head.is_complete || net::IsInterim(item.head)) return line.size();
  item.response.status = item.head.status;
  for (const net::header& field : item.head.headers) {
    item.response.headers.push_back({field.name, field.value});
  }
  if (item.head.framing == net::body_framing::kChunked) item.chunks.emplace();
  return IsResponseToRequest(item) ? line.size() : 0;
}

// Whether libcurl rejected the response before its line was checked here.
bool IsInvalidResponse(CURLcode code) {
  switch (code) {
    case CURLE_UNSUPPORTED_PROTOCOL:  // another status line than HTTP/1.x
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_FUNCTION_ARGUMENT:  // a line that is no field
      return true;
    default:
      return false;
  }
}

// An interrupted transfer counts as not sent only if nothing was written to its
// connection.
delivery DeliveryOf(CURL* easy, CURLcode code) {
  if (code == CURLE_OK) return delivery::kAnswered;
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes > 0 ? delivery::kMaybeSent : delivery::kNotSent;
}

}  // namespace

std::string http_response::Header(const std::string& name) const {
  for (const http_header& header : headers) {
    if (EqualNoCase(header.name, name)) return header.value;
  }
  return "";
}

struct http_client::impl {
  CURLM* multi = nullptr;
  std::thread thread;
  std::atomic<uint64_t> next_id{1};
  std::mutex mutex;
  std::deque<std::unique_ptr<transfer>> incoming;        // guarded by mutex
  std::deque<uint64_t> cancelled;                        // guarded by mutex
  bool is_stopping = false;                              // guarded by mutex
  std::map<uint64_t, std::unique_ptr<transfer>> active;  // client thread only

  void Run();
  bool ProcessQueue();
  void Begin(std::unique_ptr<transfer> item);
  void Finish(uint64_t id, CURLcode code);
  void FinishDone();
};

void http_client::impl::Begin(std::unique_ptr<transfer> item) {
  CURL* easy = curl_easy_init();
  item->easy = easy;
  const http_request& request = item->request;
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  for (const http_header& header : request.headers) {
    item->headers = curl_slist_append(
        item->headers, (header.name + ": " + header.value).c_str());
  }
  if (!request.name.value.empty()) {
    item->headers = curl_slist_append(
        item->headers, (request.name.name + ": " + request.name.value).c_str());
  }
  // Pistache closes the connection after the response unless keep-alive is
  // requested. "Expect:" disables the interim response for which libcurl would
  // delay larger bodies, since Pistache does not send it.
  item->headers = curl_slist_append(
      item->headers,
      request.is_single_shot ? "Connection: close" : "Connection: keep-alive");
  item->headers = curl_slist_append(item->headers, "Expect:");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, item->headers);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, item.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, item.get());
  // libcurl accepts malformed chunks, so they are decoded here.
  curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, item.get());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(request.connect_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.total_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kIdleAgeSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, SetSocketOptions);
  const bool is_fresh = request.is_single_shot ||
                        request.needs_fresh_connection || request.only_connects;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, is_fresh ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
                   request.is_single_shot ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, request.only_connects ? 1L : 0L);
  const uint64_t id = item->id;
  active[id] = std::move(item);
  curl_multi_add_handle(multi, easy);
}

void http_client::impl::Finish(uint64_t id, CURLcode code) {
  const auto found = active.find(id);
  if (found == active.end()) return;
  const std::unique_ptr<transfer> item = std::move(found->second);
  active.erase(found);
  http_response& response = item->response;
  response.how = DeliveryOf(item->easy, code);
  response.is_timeout = code == CURLE_OPERATION_TIMEDOUT;
  if (code != CURLE_OK) response.error = curl_easy_strerror(code);
  if (code == CURLE_WRITE_ERROR) {
    response.error = item->is_too_long
                         ? "the response is too long"
                         : "the response may belong to another request";
  }
  if (IsInvalidResponse(code)) {
    item->problem = "the response is not valid: " + response.error;
  }
  if (code == CURLE_OK && item->chunks && !item->chunks->IsComplete()) {
    item->problem = "the response ends within a chunk";
    response.how = delivery::kMaybeSent;
  }
  response.is_invalid = !item->problem.empty();
  if (response.is_invalid) response.error = item->problem;
  curl_multi_remove_handle(multi, item->easy);
  if (code == CURLE_OK) ReportStatus(*item);
  item->done(std::move(response));
}

void http_client::impl::FinishDone() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    char* context = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &context);
    const CURLcode code = message->data.result;
    Finish(reinterpret_cast<transfer*>(context)->id, code);
  }
}

// Starts and cancels the requests that other threads queued. False when the
// client stops.
bool http_client::impl::ProcessQueue() {
  std::deque<std::unique_ptr<transfer>> starts;
  std::deque<uint64_t> cancels;
  bool stop = false;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    starts.swap(incoming);
    cancels.swap(cancelled);
    stop = is_stopping;
  }
  for (std::unique_ptr<transfer>& item : starts) Begin(std::move(item));
  for (const uint64_t id : cancels) Finish(id, CURLE_ABORTED_BY_CALLBACK);
  if (!stop) return true;
  while (!active.empty()) {
    Finish(active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
  return false;
}

void http_client::impl::Run() {
  while (ProcessQueue()) {
    int running = 0;
    curl_multi_perform(multi, &running);
    FinishDone();
    curl_multi_poll(multi, nullptr, 0, kPollMillis, nullptr);
  }
}

http_client::http_client() : impl_(std::make_unique<impl>()) {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  impl_->multi = curl_multi_init();
  curl_multi_setopt(impl_->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

http_client::~http_client() {
  Stop();
  curl_multi_cleanup(impl_->multi);
}

void http_client::Start() {
  impl_->thread = std::thread([this] { impl_->Run(); });
}

void http_client::Stop() {
  {
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->is_stopping = true;
  }
  curl_multi_wakeup(impl_->multi);
  if (impl_->thread.joinable()) impl_->thread.join();
}

uint64_t http_client::Send(http_request request, completion done) {
  const uint64_t id = impl_->next_id++;
  auto item = std::make_unique<transfer>();
  item->id = id;
  item->request = std::move(request);
  {
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (!impl_->is_stopping) {
      item->done = std::move(done);
      impl_->incoming.push_back(std::move(item));
      done = nullptr;
    }
  }
  if (done) {
    http_response response;
    response.error = "the client is stopping";
    done(std::move(response));
    return id;
  }
  curl_multi_wakeup(impl_->multi);
  return id;
}

void http_client::Cancel(uint64_t id) {
  {
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->cancelled.push_back(id);
  }
  curl_multi_wakeup(impl_->multi);
}

}  // namespace hickorywood::transport
