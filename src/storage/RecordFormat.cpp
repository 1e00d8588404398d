#include "storage/RecordFormat.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cassert>
#include <optional>

namespace magnoliadrum {

namespace {

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

constexpr std::string_view kMarker = "MDR1";
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kHeaderBytes = 12;

const unsigned char*
unsignedBytes(std::string_view aBytes, std::size_t aOffset)
{
  return reinterpret_cast<const unsigned char*>(aBytes.data() + aOffset);
}

std::uint32_t
recordChecksum(std::uint64_t aSegment, std::uint64_t aOffset, std::string_view aPayload)
{
  const std::uint32_t length = static_cast<std::uint32_t>(aPayload.size());
  return crc32c({ toBytes64(aSegment), toBytes64(aOffset), toBytes32(length), aPayload });
}

/** Returns the payload of the record at an offset, unless it is invalid. */
std::optional<std::string_view>
payloadAt(std::uint64_t aSegment, std::string_view aBytes, std::size_t aOffset)
{
  if (aBytes.size() - aOffset < kHeaderBytes || aBytes.substr(aOffset, kMarker.size()) != kMarker) {
    return std::nullopt;
  }
  const std::size_t length = readBytes32(aBytes, aOffset + kLengthOffset);
  if (length > aBytes.size() - aOffset - kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = aBytes.substr(aOffset + kHeaderBytes, length);
  const std::uint32_t checksum = readBytes32(aBytes, aOffset + kChecksumOffset);
  if (checksum != recordChecksum(aSegment, aOffset, payload)) {
    return std::nullopt;
  }
  return payload;
}

bool
containsRecordAfter(std::uint64_t aSegment, std::string_view aBytes, std::size_t aOffset)
{
  std::size_t position = aBytes.find(kMarker, aOffset);
  while (position != std::string_view::npos) {
    if (payloadAt(aSegment, aBytes, position)) {
      return true;
    }
    position = aBytes.find(kMarker, position + 1);
  }
  return false;
}

} // namespace

std::uint32_t
crc32c(std::initializer_list<std::string_view> aParts)
{
  Crc32c checksum;
  for (const std::string_view part : aParts) {
    checksum.process_bytes(part.data(), part.size());
  }
  return checksum.checksum();
}

std::string
toBytes32(std::uint32_t aNumber)
{
  std::string bytes(sizeof(aNumber), '\0');
  boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(bytes.data()), aNumber);
  return bytes;
}

std::string
toBytes64(std::uint64_t aNumber)
{
  std::string bytes(sizeof(aNumber), '\0');
  boost::endian::store_little_u64(reinterpret_cast<unsigned char*>(bytes.data()), aNumber);
  return bytes;
}

std::uint32_t
readBytes32(std::string_view aBytes, std::size_t aOffset)
{
  assert(aOffset + sizeof(std::uint32_t) <= aBytes.size());
  return boost::endian::load_little_u32(unsignedBytes(aBytes, aOffset));
}

std::uint64_t
readBytes64(std::string_view aBytes, std::size_t aOffset)
{
  assert(aOffset + sizeof(std::uint64_t) <= aBytes.size());
  return boost::endian::load_little_u64(unsignedBytes(aBytes, aOffset));
}

std::string
encodeRecord(std::uint64_t aSegment, std::uint64_t aOffset, std::string_view aPayload)
{
  std::string record(kMarker);
  record += toBytes32(static_cast<std::uint32_t>(aPayload.size()));
  record += toBytes32(recordChecksum(aSegment, aOffset, aPayload));
  record += aPayload;
  return record;
}

ScannedRecords
scanRecords(std::uint64_t aSegment, std::string_view aBytes)
{
  ScannedRecords records;
  while (records.validBytes < aBytes.size()) {
    const auto payload = payloadAt(aSegment, aBytes, records.validBytes);
    if (!payload) {
      records.validAfterInvalid = containsRecordAfter(aSegment, aBytes, records.validBytes + 1);
      break;
    }
    records.payloads.push_back(*payload);
    records.validBytes += kHeaderBytes + payload->size();
  }
  return records;
}

} // namespace magnoliadrum
