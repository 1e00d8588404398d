#include "transport/HttpHeaderScanner.h"

namespace magnoliadrum {

void
HttpHeaderScanner::read(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    if (mIsComplete) {
      return;
    }
    mBytes++;
    if (byte == '\n') {
      // Empty lines before the request line belong to no header.
      mIsComplete = mIsLineEmpty && mLines > 0;
      mLines += mIsLineEmpty ? 0 : 1;
      mIsLineEmpty = true;
    } else if (byte != '\r') {
      mIsLineEmpty = false;
    }
  }
}

} // namespace magnoliadrum
