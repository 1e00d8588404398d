#include "testbench/FrameSplitter.h"

#include <cstdint>

namespace magnoliadrum {

namespace {

// Frame layout of RFC 6455, section 5.2.
constexpr std::size_t kShortHeader = 2;
constexpr std::size_t kMaskBytes = 4;
constexpr unsigned kMaskBit = 0x80;
constexpr unsigned kLengthBits = 0x7f;
constexpr unsigned kLength16 = 126;
constexpr unsigned kLength64 = 127;

} // namespace

std::size_t
FrameSplitter::nextPiece() const
{
  if (!mHandshakeDone) {
    const std::size_t end = mBuffer.find("\r\n\r\n");
    return end == std::string::npos ? 0 : end + 4;
  }
  if (mBuffer.size() < kShortHeader) {
    return 0;
  }
  const unsigned second = static_cast<unsigned char>(mBuffer[1]);
  const unsigned shortLength = second & kLengthBits;
  const std::size_t lengthBytes = shortLength == kLength16 ? 2 : shortLength == kLength64 ? 8 : 0;
  const std::size_t header =
    kShortHeader + lengthBytes + ((second & kMaskBit) != 0 ? kMaskBytes : 0);
  if (mBuffer.size() < header) {
    return 0;
  }
  std::uint64_t length = lengthBytes == 0 ? shortLength : 0;
  for (std::size_t index = 0; index < lengthBytes; index++) {
    length = (length << 8U) | static_cast<unsigned char>(mBuffer[kShortHeader + index]);
  }
  const std::size_t whole = header + length;
  return mBuffer.size() < whole ? 0 : whole;
}

std::vector<std::string>
FrameSplitter::add(std::string_view aBytes)
{
  mBuffer.append(aBytes);
  std::vector<std::string> pieces;
  for (std::size_t size = nextPiece(); size > 0; size = nextPiece()) {
    pieces.push_back(mBuffer.substr(0, size));
    mBuffer.erase(0, size);
    mHandshakeDone = true;
  }
  return pieces;
}

} // namespace magnoliadrum
