#include "support/response_cases.h"

#include <utility>

namespace hickorywood::testing {

const char kCaseBody[] = "id: 1\ndata: case\n\n";

namespace {

constexpr char kIds[] = "{ids}";
constexpr const char* kIdHeaders[] = {"X-Request-Id", "X-Call-Id"};
constexpr char kOkLine[] = "HTTP/1.1 200 OK\r\n";

std::string Length() {
  return "Content-Length: " + std::to_string(std::string(kCaseBody).size()) +
         "\r\n";
}

// A response with a status line, further field lines and a body.
std::string Response(const std::string& status_line, const std::string& fields,
                     const std::string& body) {
  return status_line + kIds +
         "X-Response-Stamp: signed\r\nX-Weight-Versions: 1\r\n" + fields +
         "\r\n" + body;
}

std::string WithFields(const std::string& fields) {
  return Response(kOkLine, fields + Length(), kCaseBody);
}

std::string WithStatusLine(const std::string& line) {
  return Response(line, Length(), kCaseBody);
}

// The body in two chunks.
std::string Chunks(const std::string& last_chunk) {
  return "2\r\nid\r\n10\r\n: 1\ndata: case\n\n\r\n" + last_chunk;
}

std::string WithChunks(const std::string& fields, const std::string& chunks) {
  return Response(kOkLine, fields + "Transfer-Encoding: chunked\r\n", chunks);
}

std::string ReplaceAll(std::string text, const std::string& from,
                       const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

}  // namespace

std::vector<scripted_response> InvalidStatuses() {
  std::vector<scripted_response> all;
  for (const char* status : {"000", "001", "042", "099", "600", "700", "999"}) {
    all.push_back({std::string("Status") + status,
                   WithStatusLine(std::string("HTTP/1.1 ") + status +
                                  " <unknown-status>\r\n")});
  }
  all.push_back(
      {"SwitchingProtocols",
       Response("HTTP/1.1 101 Switching Protocols\r\n",
                "Connection: Upgrade\r\nUpgrade: other\r\n", kCaseBody)});
  all.push_back(
      {"Status000AfterAnInterimResponse",
       "HTTP/1.1 100 Continue\r\n\r\n" + WithStatusLine("HTTP/1.1 000 x\r\n")});
  return all;
}

std::vector<scripted_response> InvalidStatusLines() {
  return {
      {"Version2", WithStatusLine("HTTP/2.0 200 OK\r\n")},
      {"Version2WithoutMinor", WithStatusLine("HTTP/2 200 OK\r\n")},
      {"Version09", WithStatusLine("HTTP/0.9 200 OK\r\n")},
      {"Version12", WithStatusLine("HTTP/1.2 200 OK\r\n")},
      {"OtherProtocol", WithStatusLine("ICY 200 OK\r\n")},
      {"LowerCaseVersion", WithStatusLine("http/1.1 200 OK\r\n")},
      {"TwoDigits", WithStatusLine("HTTP/1.1 20 OK\r\n")},
      {"FourDigits", WithStatusLine("HTTP/1.1 2000 OK\r\n")},
      {"StatusIsNoNumber", WithStatusLine("HTTP/1.1 2x0 OK\r\n")},
      {"NoStatus", WithStatusLine("HTTP/1.1\r\n")},
      {"ControlByteInReason", WithStatusLine("HTTP/1.1 200 O\x01K\r\n")},
      {"NoStatusLine", WithStatusLine("")},
  };
}

std::vector<scripted_response> InvalidFields() {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n";
  std::vector<scripted_response> all = {
      {"BlankInName", WithFields("X Name: a\r\n")},
      {"TabInName", WithFields("X\tName: a\r\n")},
      {"BlankBeforeColon", WithFields("X-Name : a\r\n")},
      {"TabBeforeColon", WithFields("X-Name\t: a\r\n")},
      {"ControlByteInName", WithFields("X-\x01Name: a\r\n")},
      {"DeleteInName", WithFields("X-\x7fName: a\r\n")},
      {"HighByteInName", WithFields("X-\xe9Name: a\r\n")},
      {"SeparatorInName", WithFields("X(Name): a\r\n")},
      {"CarriageReturnInName", WithFields("X-\rName: a\r\n")},
      {"NulInName", WithFields(std::string("X-\0Name: a\r\n", 12))},
      {"EmptyName", WithFields(": a\r\n")},
      {"NoColon", WithFields("X-Name\r\n")},
      {"LineBeginsWithBlank", WithFields(" X-Name: a\r\n")},
      {"LineBeginsWithTab", WithFields("\tX-Name: a\r\n")},
      {"FirstLineBeginsWithBlank",
       WithStatusLine(std::string(kOkLine) + " X-Name: a\r\n")},
      {"BlankLine", WithFields(" \r\n")},
      {"ControlByteInValue", WithFields("X-Name: a\x01z\r\n")},
      {"DeleteInValue", WithFields("X-Name: a\x7fz\r\n")},
      {"CarriageReturnInValue", WithFields("X-Name: a\rz\r\n")},
      {"LineFeedOnly", WithFields("X-Name: a\n")},
      {"BlankInNameOfAnInterimResponse",
       interim + "X Name: a\r\n\r\n" + WithFields("")},
      {"ControlByteInNameOfAnInterimResponse",
       interim + "X-\x01Name: a\r\n\r\n" + WithFields("")},
      {"LineOfAnInterimResponseBeginsWithBlank",
       interim + "X-Name: a\r\n b\r\n\r\n" + WithFields("")},
  };
  all.push_back({"LineFeedsOnly", ReplaceAll(WithFields(""), "\r\n", "\n")});
  return all;
}

std::vector<scripted_response> InvalidFramings() {
  const std::string body = kCaseBody;
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const auto with = [](const std::string& fields, const std::string& content,
                       const std::string& line = kOkLine) {
    return Response(line, fields, content);
  };
  std::vector<scripted_response> all = {
      {"TwoLengths", with(Length() + "Content-Length: 4\r\n", body)},
      {"ListOfTwoLengths", with("Content-Length: 18, 4\r\n", body)},
      {"SignedLength", with("Content-Length: +18\r\n", body)},
      {"NegativeLength", with("Content-Length: -18\r\n", body)},
      {"HexadecimalLength", with("Content-Length: 0x12\r\n", body)},
      {"LengthWithText", with("Content-Length: 18 bytes\r\n", body)},
      {"EmptyLength", with("Content-Length:\r\n", body)},
      {"LengthTooLarge",
       with("Content-Length: 99999999999999999999\r\n", body)},
      {"LengthAndChunked", with(Length() + chunked, Chunks("0\r\n\r\n"))},
      {"ChunkedAndLength", with(chunked + Length(), Chunks("0\r\n\r\n"))},
      {"ChunkedTwice", with(chunked + chunked, Chunks("0\r\n\r\n"))},
      {"ChunkedTwiceInOneField",
       with("Transfer-Encoding: chunked, chunked\r\n", Chunks("0\r\n\r\n"))},
      {"GzipAndChunked",
       with("Transfer-Encoding: gzip, chunked\r\n", Chunks("0\r\n\r\n"))},
      {"GzipAndChunkedInTwoFields",
       with("Transfer-Encoding: gzip\r\n" + chunked, Chunks("0\r\n\r\n"))},
      {"UnknownCodingAndLength",
       with("Transfer-Encoding: other\r\n" + Length(), body)},
      {"ChunkedInHttp10",
       with(chunked, Chunks("0\r\n\r\n"), "HTTP/1.0 200 OK\r\n")},
      {"NoContentWithLength",
       with(Length(), body, "HTTP/1.1 204 No Content\r\n")},
      {"NoContentWithChunks",
       with(chunked, Chunks("0\r\n\r\n"), "HTTP/1.1 204 No Content\r\n")},
      {"InterimResponseWithLength",
       "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\n" +
           with(Length(), body)},
  };
  // Without these codings the body would end with its connection.
  for (const auto& [name, coding] :
       std::vector<std::pair<std::string, std::string>>{
           {"UnknownCoding", "other"},
           {"ChunkedIsNotFinal", "chunked, gzip"},
           {"ChunkedWithParameter", "chunked;q=1"},
           {"EmptyCoding", ""}}) {
    all.push_back(
        {name,
         with("Transfer-Encoding: " + coding + "\r\n", Chunks("0\r\n\r\n")),
         true});
  }
  return all;
}

std::vector<scripted_response> InvalidChunks() {
  return {
      {"TextAfterChunkSize",
       WithChunks("", "12 x\r\n" + std::string(kCaseBody) + "\r\n0\r\n\r\n")},
      {"TextAfterLastChunkSize", WithChunks("", Chunks("0 x\r\n\r\n"))},
      {"ChunkSizeIsNoNumber", WithChunks("", Chunks("x\r\n\r\n"))},
      {"SignedChunkSize",
       WithChunks("", "+12\r\n" + std::string(kCaseBody) + "\r\n0\r\n\r\n")},
      {"ChunkSizeTooLarge", WithChunks("", Chunks("fffffffffffffffff\r\n"))},
      {"ChunkIsTooLong", WithChunks("", Chunks("1\r\nab\r\n0\r\n\r\n"))},
      {"ChunksEndWithLineFeedsOnly",
       WithChunks("", ReplaceAll(Chunks("0\r\n\r\n"), "\r\n", "\n"))},
  };
}

std::vector<scripted_response> InvalidTrailers() {
  return {
      {"BlankInNameOfTrailer",
       WithChunks("", Chunks("0\r\nX Name: a\r\n\r\n"))},
      {"ControlByteInNameOfTrailer",
       WithChunks("", Chunks("0\r\nX-\x01Name: a\r\n\r\n"))},
      {"ControlByteInTrailer",
       WithChunks("", Chunks("0\r\nX-Name: a\x01\r\n\r\n"))},
      {"TrailerBeginsWithBlank",
       WithChunks("", Chunks("0\r\nX-Name: a\r\n b\r\n\r\n"))},
  };
}

std::vector<scripted_response> ValidResponses() {
  const std::string continued = "HTTP/1.1 100 Continue\r\n\r\n";
  std::vector<scripted_response> all = {
      {"Ordinary", WithFields("")},
      {"EmptyReason", WithStatusLine("HTTP/1.1 200 \r\n")},
      {"ReasonWithHighBytesAndTab",
       WithStatusLine("HTTP/1.1 200 \xc3\xa9\ttab\r\n")},
      {"TokenCharactersInName", WithFields("!#$%&'*+-.^_`|~09azAZ: a\r\n")},
      {"HighBytesAndTabInValue", WithFields("X-Name: \xc3\xa9\ta\xff\r\n")},
      {"EmptyValue", WithFields("X-Name:\r\nX-Other: \t \r\n")},
      {"BlanksAroundValue", WithFields("X-Name:\t a  \r\n")},
      {"EqualLengths", WithFields(Length())},
      {"Chunked", WithChunks("", Chunks("0\r\n\r\n"))},
      {"ChunkExtensionAndTrailers",
       WithChunks("Trailer: X-Sum\r\n",
                  Chunks("0;last=\"a b\"\r\nX-Sum: 1\r\nX-Other:\r\n\r\n"))},
      {"UpperCaseCoding", Response(kOkLine, "transfer-encoding: Chunked\r\n",
                                   Chunks("000\r\n\r\n"))},
      {"ContentEncoding", WithFields("Content-Encoding: identity\r\n")},
      {"InterimResponses", continued +
                               "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
                               WithFields("")},
      {"InterimResponseWithoutBody",
       "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" + WithFields("")},
      {"BodyEndsWithConnection", Response(kOkLine, "", kCaseBody), true},
      {"Http10", Response("HTTP/1.0 200 OK\r\n", "", kCaseBody), true},
      {"Http10WithLength", WithStatusLine("HTTP/1.0 200 OK\r\n"), true},
  };
  return all;
}

scripted_response ResponseTo(const net::request& input,
                             scripted_response response) {
  std::string ids;
  for (const char* name : kIdHeaders) {
    if (!net::Has(input.headers, name)) continue;
    ids += std::string(name) + ": " +
           std::string(net::Find(input.headers, name)) + "\r\n";
  }
  response.bytes = ReplaceAll(std::move(response.bytes), kIds, ids);
  return response;
}

scripted_response WithBody(scripted_response response,
                           const std::string& body) {
  const std::string old_body = kCaseBody;
  if (response.bytes.ends_with(old_body)) {
    response.bytes.resize(response.bytes.size() - old_body.size());
    response.bytes += body;
  }
  response.bytes =
      ReplaceAll(std::move(response.bytes),
                 "Content-Length: " + std::to_string(old_body.size()),
                 "Content-Length: " + std::to_string(body.size()));
  return response;
}

scripted_response OrdinaryResponse(const std::string& body) {
  return {"Ordinary",
          Response(kOkLine,
                   "Content-Length: " + std::to_string(body.size()) + "\r\n",
                   body)};
}

}  // namespace hickorywood::testing
