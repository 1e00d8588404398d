#pragma once

#include <cstddef>
#include <string_view>

namespace magnoliadrum {

/** Finds the end of a request's header in bytes that arrive piece by piece, and counts its lines.
 */
class HttpHeaderScanner
{
public:
  /** Reads the next bytes; bytes behind the header are ignored. */
  void read(std::string_view aBytes);

  /** Number of lines so far, with the request line. */
  std::size_t lines() const { return mLines; }
  /** Number of bytes of the header so far. */
  std::size_t bytes() const { return mBytes; }
  /** Whether the empty line behind the header has arrived. */
  bool isComplete() const { return mIsComplete; }

private:
  std::size_t mLines = 0;
  std::size_t mBytes = 0;
  bool mIsLineEmpty = true;
  bool mIsComplete = false;
};

} // namespace magnoliadrum
