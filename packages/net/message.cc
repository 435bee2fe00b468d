#include "net/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace hickorywood::net {

bool SameName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

std::string_view Find(const header_list& headers, std::string_view name) {
  for (const header& item : headers) {
    if (SameName(item.name, name)) return item.value;
  }
  return {};
}

bool Has(const header_list& headers, std::string_view name) {
  return std::any_of(
      headers.begin(), headers.end(),
      [name](const header& item) { return SameName(item.name, name); });
}

bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "Connection",          "Keep-Alive",        "Proxy-Connection",
      "Proxy-Authenticate",  "Transfer-Encoding", "TE",
      "Proxy-Authorization", "Trailer",           "Upgrade",
      "Content-Length"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [name](std::string_view hop_by_hop) {
                       return SameName(hop_by_hop, name);
                     });
}

header_list EndToEnd(const header_list& headers) {
  const auto is_listed = [&headers](std::string_view name) {
    return std::any_of(headers.begin(), headers.end(),
                       [name](const header& item) {
                         return SameName(item.name, "Connection") &&
                                boost::beast::http::token_list(
                                    {item.value.data(), item.value.size()})
                                    .exists({name.data(), name.size()});
                       });
  };
  header_list end_to_end;
  for (const header& item : headers) {
    if (IsHopByHop(item.name) || is_listed(item.name)) continue;
    end_to_end.push_back(item);
  }
  return end_to_end;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const boost::urls::string_view text(target.data(), target.size());
  const auto url = boost::urls::parse_origin_form(text);
  if (!url) return {};
  for (const auto& parameter : url->params()) {
    if (parameter.key == name) return parameter.value;
  }
  return {};
}

}  // namespace hickorywood::net
