#include "steps/task_stream.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <optional>
#include <utility>

#include "core/binary.h"

namespace hickorywood::steps {
namespace {

// Lengths of the encoded task, its body and the body of its reward request, in
// front of them; big-endian.
using task_lengths = std::array<uint32_t, 3>;

// Larger than any body that the listeners accept.
constexpr uint64_t kMaxTaskBytes = 1ULL << 30U;

uint64_t SizeOf(const task_lengths& lengths) {
  uint64_t size = sizeof(task_lengths);
  for (const uint32_t length : lengths) size += length;
  return size;
}

std::optional<task_lengths> ReadLengths(std::string_view bytes) {
  task_lengths lengths{};
  if (bytes.size() < sizeof(lengths)) return std::nullopt;
  std::memcpy(lengths.data(), bytes.data(), sizeof(lengths));
  for (uint32_t& length : lengths) boost::endian::big_to_native_inplace(length);
  return lengths;
}

std::optional<task> DecodeTask(std::string_view bytes,
                               const task_lengths& lengths) {
  bytes.remove_prefix(sizeof(lengths));
  auto output = core::DecodeBinary<task>(bytes.substr(0, lengths[0]));
  if (!output || !output->request) return std::nullopt;
  bytes.remove_prefix(lengths[0]);
  output->request->body = std::string(bytes.substr(0, lengths[1]));
  bytes.remove_prefix(lengths[1]);
  output->request->reward.body = std::string(bytes.substr(0, lengths[2]));
  return output;
}

// Decodes the complete tasks and returns the size that they had.
size_t DecodeTasks(task_stream& stream, std::string_view bytes) {
  const size_t all = bytes.size();
  while (const auto lengths = ReadLengths(bytes)) {
    const uint64_t size = SizeOf(*lengths);
    stream.is_malformed = size > kMaxTaskBytes;
    if (stream.is_malformed || size > bytes.size()) break;
    std::optional<task> item = DecodeTask(bytes, *lengths);
    stream.is_malformed = !item;
    if (!item) break;
    stream.tasks.push_back(std::move(*item));
    bytes.remove_prefix(static_cast<size_t>(size));
  }
  return all - bytes.size();
}

}  // namespace

encoded_task EncodeTask(task input) {
  encoded_task output;
  task_request& request =
      input.request ? *input.request : input.request.emplace();
  output.body = std::move(request.body);
  output.reward_body = std::move(request.reward.body);
  request.body.clear();
  request.reward.body.clear();
  const std::string head = core::EncodeBinary(input);
  task_lengths lengths{static_cast<uint32_t>(head.size()),
                       static_cast<uint32_t>(output.body.size()),
                       static_cast<uint32_t>(output.reward_body.size())};
  for (uint32_t& length : lengths) boost::endian::native_to_big_inplace(length);
  output.head.resize(sizeof(lengths));
  std::memcpy(output.head.data(), lengths.data(), sizeof(lengths));
  output.head += head;
  return output;
}

void AppendBytes(task_stream& stream, std::string_view bytes) {
  stream.received += bytes.size();
  if (stream.is_malformed) return;
  stream.pending += bytes;
  stream.pending.erase(0, DecodeTasks(stream, stream.pending));
  const auto lengths = ReadLengths(stream.pending);
  if (stream.is_malformed) {
    stream.pending.clear();
  } else if (lengths) {
    // Growing in steps needs the old and the new copy of a large body.
    stream.pending.reserve(static_cast<size_t>(SizeOf(*lengths)));
  }
}

bool IsComplete(const task_stream& stream, uint64_t bytes) {
  return stream.received == bytes && stream.pending.empty() &&
         !stream.is_malformed;
}

}  // namespace hickorywood::steps
