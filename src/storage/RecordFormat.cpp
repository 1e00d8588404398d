#include "storage/RecordFormat.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cassert>
#include <optional>

namespace magnoliadrum {

namespace {

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

constexpr std::string_view kMagic = "MDR1";
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kHeaderBytes = 12;

const unsigned char*
asUnsignedBytes(std::string_view aBytes, std::size_t aOffset)
{
  return reinterpret_cast<const unsigned char*>(aBytes.data() + aOffset);
}

std::uint32_t
recordChecksum(std::uint64_t aSegmentNumber, std::uint64_t aOffset, std::string_view aPayload)
{
  const std::uint32_t length = static_cast<std::uint32_t>(aPayload.size());
  return crc32c({ toLittleEndian64(aSegmentNumber),
                  toLittleEndian64(aOffset),
                  toLittleEndian32(length),
                  aPayload });
}

/** Returns the payload of the record at an offset, or nothing when the record is invalid. */
std::optional<std::string_view>
payloadAt(std::uint64_t aSegmentNumber, std::string_view aBytes, std::size_t aOffset)
{
  if (aBytes.size() - aOffset < kHeaderBytes || aBytes.substr(aOffset, kMagic.size()) != kMagic) {
    return std::nullopt;
  }
  const std::size_t length = readLittleEndian32(aBytes, aOffset + kLengthOffset);
  if (length > aBytes.size() - aOffset - kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = aBytes.substr(aOffset + kHeaderBytes, length);
  const std::uint32_t checksum = readLittleEndian32(aBytes, aOffset + kChecksumOffset);
  if (checksum != recordChecksum(aSegmentNumber, aOffset, payload)) {
    return std::nullopt;
  }
  return payload;
}

/** Returns whether a valid record starts at aOffset or later. */
bool
containsRecordFrom(std::uint64_t aSegmentNumber, std::string_view aBytes, std::size_t aOffset)
{
  std::size_t position = aBytes.find(kMagic, aOffset);
  while (position != std::string_view::npos) {
    if (payloadAt(aSegmentNumber, aBytes, position)) {
      return true;
    }
    position = aBytes.find(kMagic, position + 1);
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
toLittleEndian32(std::uint32_t aValue)
{
  std::string bytes(sizeof(aValue), '\0');
  boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(bytes.data()), aValue);
  return bytes;
}

std::string
toLittleEndian64(std::uint64_t aValue)
{
  std::string bytes(sizeof(aValue), '\0');
  boost::endian::store_little_u64(reinterpret_cast<unsigned char*>(bytes.data()), aValue);
  return bytes;
}

std::uint32_t
readLittleEndian32(std::string_view aBytes, std::size_t aOffset)
{
  assert(aOffset + sizeof(std::uint32_t) <= aBytes.size());
  return boost::endian::load_little_u32(asUnsignedBytes(aBytes, aOffset));
}

std::uint64_t
readLittleEndian64(std::string_view aBytes, std::size_t aOffset)
{
  assert(aOffset + sizeof(std::uint64_t) <= aBytes.size());
  return boost::endian::load_little_u64(asUnsignedBytes(aBytes, aOffset));
}

std::string
encodeRecord(std::uint64_t aSegmentNumber, std::uint64_t aOffset, std::string_view aPayload)
{
  std::string record(kMagic);
  record += toLittleEndian32(static_cast<std::uint32_t>(aPayload.size()));
  record += toLittleEndian32(recordChecksum(aSegmentNumber, aOffset, aPayload));
  record += aPayload;
  return record;
}

ScannedRecords
scanRecords(std::uint64_t aSegmentNumber, std::string_view aBytes)
{
  ScannedRecords records;
  while (records.validBytes < aBytes.size()) {
    const auto payload = payloadAt(aSegmentNumber, aBytes, records.validBytes);
    if (!payload) {
      records.validAfterInvalid =
        containsRecordFrom(aSegmentNumber, aBytes, records.validBytes + 1);
      break;
    }
    records.payloads.push_back(*payload);
    records.validBytes += kHeaderBytes + payload->size();
  }
  return records;
}

} // namespace magnoliadrum
