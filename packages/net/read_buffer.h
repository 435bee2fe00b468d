#ifndef HICKORYWOOD_NET_READ_BUFFER_H_
#define HICKORYWOOD_NET_READ_BUFFER_H_

// The size of the buffers that connections read into. Beast reads as much as
// fits into the buffer, which has 512 bytes at first, and each read takes a
// turn of the loop.

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>

namespace hickorywood::net {

// Maximum size of one read of a body.
constexpr size_t kMaxReadBytes = 64UL * 1024;
// Capacity that a connection keeps while it carries no message. A process may
// have thousands of them.
constexpr size_t kKeptBufferBytes = 4UL * 1024;

// Prepares for a body of `length` bytes.
inline void ReserveForBody(boost::beast::flat_buffer& buffer, uint64_t length) {
  buffer.reserve(
      static_cast<size_t>(std::min<uint64_t>(length, kMaxReadBytes)));
}

// Doubles the buffer after a read of `count` bytes that used most of it, for a
// body that doesn't state its length.
inline void GrowForBody(boost::beast::flat_buffer& buffer, size_t count) {
  const size_t capacity = buffer.capacity();
  if (count * 2 > capacity && capacity < kMaxReadBytes) {
    buffer.reserve(std::min(capacity * 2, kMaxReadBytes));
  }
}

// Releases the memory that only a large message needed.
inline void ReleaseCapacity(boost::beast::flat_buffer& buffer) {
  if (buffer.capacity() > kKeptBufferBytes) buffer.shrink_to_fit();
}

}  // namespace hickorywood::net

#endif  // HICKORYWOOD_NET_READ_BUFFER_H_
