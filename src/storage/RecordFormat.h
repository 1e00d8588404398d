#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliadrum {

/** CRC32C (Castagnoli) over the concatenation of the parts. */
std::uint32_t
crc32c(std::initializer_list<std::string_view> aParts);

/** Encodes an integer in little-endian byte order. */
std::string
toLittleEndian32(std::uint32_t aValue);
std::string
toLittleEndian64(std::uint64_t aValue);

/** Decodes a little-endian integer at an offset. Precondition: it lies within aBytes. */
std::uint32_t
readLittleEndian32(std::string_view aBytes, std::size_t aOffset);
std::uint64_t
readLittleEndian64(std::string_view aBytes, std::size_t aOffset);

/**
 * Encodes one record: magic number, length of the payload, checksum, payload.
 *
 * The checksum also covers the segment number and the offset of the record, so that a copy of a
 * record inside the payload of another one is not recognised as a record.
 */
std::string
encodeRecord(std::uint64_t aSegmentNumber, std::uint64_t aOffset, std::string_view aPayload);

/** The valid records at the start of a segment. */
struct ScannedRecords
{
  /** Views into the scanned bytes. */
  std::vector<std::string_view> payloads;
  /** Total size of these records; any bytes after them are torn or corrupt. */
  std::size_t validBytes = 0;
  /** Whether a valid record follows an invalid one. */
  bool validAfterInvalid = false;
};

/** Reads the records of a segment up to the first invalid one. */
ScannedRecords
scanRecords(std::uint64_t aSegmentNumber, std::string_view aBytes);

} // namespace magnoliadrum
