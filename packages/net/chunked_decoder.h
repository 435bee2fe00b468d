#ifndef HICKORYWOOD_NET_CHUNKED_DECODER_H_
#define HICKORYWOOD_NET_CHUNKED_DECODER_H_

// Decodes chunked bodies (RFC 9112, section 7.1) that are received in pieces.

#include <memory>
#include <string>
#include <string_view>

namespace hickorywood::net {

class chunked_decoder {
 public:
  chunked_decoder();
  ~chunked_decoder();
  chunked_decoder(const chunked_decoder&) = delete;
  chunked_decoder& operator=(const chunked_decoder&) = delete;

  // Appends the decoded bytes to `body`. Returns false and sets the last reason
  // if the body is not valid.
  bool Decode(std::string_view received, std::string& body);
  // Whether the last chunk and the trailers were received.
  bool IsComplete() const;
  // Whether bytes were received that follow the body.
  bool HasExcess() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_CHUNKED_DECODER_H_
