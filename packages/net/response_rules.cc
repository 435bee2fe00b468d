#include "net/response_rules.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "core/reason.h"

namespace hickorywood::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr size_t kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Removes the first line, with its line end, and returns it.
std::string_view TakeLine(std::string_view& text) {
  const size_t end = text.find('\n');
  const size_t size = end == std::string_view::npos ? text.size() : end + 1;
  const std::string_view taken = text.substr(0, size);
  text.remove_prefix(size);
  return taken;
}

bool Reject(std::string problem) {
  core::SetLastReason(core::reason_code::kInvalid, std::move(problem));
  return false;
}

bool IsDigit(char item) { return item >= '0' && item <= '9'; }

// Characters of field names (RFC 9110, section 5.6.2).
bool IsTokenCharacter(char item) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const bool is_letter =
      (item >= 'a' && item <= 'z') || (item >= 'A' && item <= 'Z');
  return is_letter || IsDigit(item) ||
         kSymbols.find(item) != std::string_view::npos;
}

// Characters of field values and reason phrases.
bool IsTextCharacter(char item) {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(item);
  return item == '\t' || (byte >= ' ' && byte != kDelete);
}

std::string_view TrimBlanks(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool AddStatusLine(response_head& head, std::string_view line) {
  if (!line.starts_with(kVersionPrefix)) {
    return Reject("the response is not HTTP/1.0 or HTTP/1.1");
  }
  line.remove_prefix(kVersionPrefix.size());
  const bool is_known = line.starts_with("0 ") || line.starts_with("1 ");
  if (!is_known) return Reject("the response is not HTTP/1.0 or HTTP/1.1");
  head.is_http11 = line.front() == '1';
  line.remove_prefix(2);
  const std::string_view digits = line.substr(0, kStatusDigits);
  const std::string_view rest = line.substr(digits.size());
  const bool is_number = digits.size() == kStatusDigits &&
                         std::all_of(digits.begin(), digits.end(), IsDigit) &&
                         (rest.empty() || rest.front() == ' ');
  if (!is_number) return Reject("the status of the response is not a number");
  int status = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  if (status < kMinStatus || status > kMaxStatus) {
    return Reject("the status of the response is not from 100 to 599");
  }
  // No request asks for another protocol.
  if (status == kSwitchingProtocols) {
    return Reject("the response switches to a protocol not asked for");
  }
  if (!std::all_of(rest.begin(), rest.end(), IsTextCharacter)) {
    return Reject("the reason phrase contains a control character");
  }
  head.status = status;
  return true;
}

std::optional<header> ParseField(std::string_view line) {
  // A continuation of the previous line (RFC 9112, section 5.2).
  if (kBlanks.find(line.front()) != std::string_view::npos) {
    return core::Fail(core::reason_code::kInvalid,
                      "a field line begins with a blank");
  }
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return core::Fail(core::reason_code::kInvalid, "a field line has no colon");
  }
  const std::string_view name = line.substr(0, colon);
  const bool is_token =
      !name.empty() && std::all_of(name.begin(), name.end(), IsTokenCharacter);
  if (!is_token) {
    return core::Fail(core::reason_code::kInvalid,
                      "the name of a field is not a token");
  }
  const std::string_view value = line.substr(colon + 1);
  if (!std::all_of(value.begin(), value.end(), IsTextCharacter)) {
    return core::Fail(core::reason_code::kInvalid,
                      "the value of a field contains a control character");
  }
  return header{std::string(name), std::string(TrimBlanks(value))};
}

std::optional<uint64_t> ParseLength(std::string_view text) {
  uint64_t length = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  if (failure != std::errc() || end != text.data() + text.size()) {
    return core::Fail(core::reason_code::kInvalid,
                      "the length of the body is not a number");
  }
  return length;
}

// Adds the lengths in the value of a Content-Length field, which may be a list
// of equal ones (RFC 9110, section 8.6). Returns false if they differ.
bool AddLengths(std::optional<uint64_t>& length, std::string_view value) {
  for (;;) {
    const size_t comma = value.find(',');
    const auto next = ParseLength(TrimBlanks(value.substr(0, comma)));
    if (!next) return false;
    if (length && *length != *next) {
      return Reject("the response has two lengths");
    }
    length = next;
    if (comma == std::string_view::npos) return true;
    value.remove_prefix(comma + 1);
  }
}

// Sets the framing of the body (RFC 9112, section 6.3).
bool SetFraming(response_head& head) {
  std::optional<uint64_t> length;
  int codings = 0;
  for (const header& item : head.headers) {
    if (SameName(item.name, "Content-Length")) {
      if (!AddLengths(length, item.value)) return false;
    } else if (SameName(item.name, "Transfer-Encoding")) {
      // No request accepts another coding.
      if (!SameName(item.value, "chunked") || ++codings > 1) {
        return Reject("the transfer coding is not one \"chunked\"");
      }
    }
  }
  const bool is_chunked = codings > 0;
  if (is_chunked && length) {
    return Reject("the response has a length and a transfer coding");
  }
  if (is_chunked && !head.is_http11) {
    return Reject("a response of HTTP/1.0 has a transfer coding");
  }
  const bool is_bodiless = IsInterim(head) || head.status == kNoContent;
  if (is_bodiless && (is_chunked || length.value_or(0) > 0)) {
    return Reject("a response without a body has a length or a coding");
  }
  if (is_bodiless || head.status == kNotModified) {
    head.framing = body_framing::kNone;
  } else if (is_chunked) {
    head.framing = body_framing::kChunked;
  } else {
    head.framing = length ? body_framing::kLength : body_framing::kConnection;
  }
  return true;
}

}  // namespace

bool AddHeadLine(response_head& head, std::string_view line) {
  if (!line.ends_with(kLineEnd)) {
    return Reject("a line of the head does not end with CRLF");
  }
  line.remove_suffix(kLineEnd.size());
  if (head.status == 0) return AddStatusLine(head, line);
  if (line.empty()) {
    head.is_complete = true;
    return SetFraming(head);
  }
  auto field = ParseField(line);
  if (!field) return false;
  head.headers.push_back(std::move(*field));
  return true;
}

bool IsInterim(const response_head& head) { return head.status / 100 == 1; }

bool IsValidTrailer(std::string_view line) {
  if (!line.ends_with(kLineEnd)) {
    return Reject("a line of the trailers does not end with CRLF");
  }
  line.remove_suffix(kLineEnd.size());
  return line.empty() || ParseField(line).has_value();
}

bool IsValidLastChunk(std::string_view bytes) {
  // The line end of the chunk before, and the size.
  if (bytes.starts_with(kLineEnd)) bytes.remove_prefix(kLineEnd.size());
  TakeLine(bytes);
  while (!bytes.empty()) {
    if (!IsValidTrailer(TakeLine(bytes))) return false;
  }
  return true;
}

bool IsValidIncompleteChunk(std::string_view bytes) {
  // The parser would wait for a CRLF after any other line end.
  for (size_t end = bytes.find('\n'); end != std::string_view::npos;
       end = bytes.find('\n', end + 1)) {
    const bool has_return = end > 0 && bytes[end - 1] == '\r';
    if (!has_return) {
      return Reject("a line between the chunks does not end with CRLF");
    }
  }
  return true;
}

}  // namespace hickorywood::net
