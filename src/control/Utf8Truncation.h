#pragma once

#include <string>

namespace magnoliadrum {

/** Returns the longest prefix of a UTF-8 text that has at most aMaxBytes and whole characters. */
inline std::string
truncateUtf8(const std::string& aText, std::size_t aMaxBytes)
{
  if (aText.size() <= aMaxBytes) {
    return aText;
  }
  constexpr unsigned kContinuationMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  std::size_t length = aMaxBytes;
  while (length > 0 &&
         (static_cast<unsigned char>(aText[length]) & kContinuationMask) == kContinuation) {
    length--;
  }
  return aText.substr(0, length);
}

} // namespace magnoliadrum
