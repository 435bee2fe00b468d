#ifndef HICKORYWOOD_NET_MESSAGE_H_
#define HICKORYWOOD_NET_MESSAGE_H_

// HTTP requests and responses as plain data.

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorywood::net {

struct header {
  std::string name;
  std::string value;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(header, name, value)
using header_list = std::vector<header>;

// An immutable text whose copies share its memory: a large body is held once,
// also while a request is sent to several endpoints.
class shared_text {
 public:
  shared_text() = default;
  // Implicit, so that it is used like the text itself.
  shared_text(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(std::make_shared<const std::string>(std::move(text))) {}
  shared_text(const char* text)  // NOLINT(google-explicit-constructor)
      : shared_text(std::string(text)) {}

  const std::string& Text() const {
    static const std::string kEmpty;
    return text_ ? *text_ : kEmpty;
  }
  operator const std::string&() const {  // NOLINT(google-explicit-constructor)
    return Text();
  }
  // NOLINTBEGIN(readability-identifier-naming): those of the standard strings
  size_t size() const { return Text().size(); }
  bool empty() const { return Text().empty(); }
  // NOLINTEND(readability-identifier-naming)
  friend bool operator==(const shared_text& left, std::string_view right) {
    return left.Text() == right;
  }

 private:
  std::shared_ptr<const std::string> text_;
};

struct request {
  std::string method = "POST";
  std::string target;  // path with the query
  header_list headers;
  shared_text body;
};

struct response {
  int status = 200;
  header_list headers;
  std::string body;
};

// Whether two header names are equal, ignoring case.
bool SameName(std::string_view left, std::string_view right);

// The value of the first header of that name, or empty.
std::string_view Find(const header_list& headers, std::string_view name);
bool Has(const header_list& headers, std::string_view name);

// Whether a header applies to a single connection only and is never forwarded
// (RFC 9110, section 7.6.1). This includes the headers that frame the body.
bool IsHopByHop(std::string_view name);

// Returns `headers` without the hop-by-hop headers and without those that the
// Connection header lists.
header_list EndToEnd(const header_list& headers);

// The path of a target, without the query.
std::string_view PathOf(std::string_view target);
// The decoded value of a query parameter, or empty.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_MESSAGE_H_
