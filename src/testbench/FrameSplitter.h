#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace magnoliadrum {

/** Splits one direction of a WebSocket connection into its opening handshake and its frames,
 * unchanged. */
class FrameSplitter
{
public:
  /** Adds bytes and returns the pieces that are whole now. */
  std::vector<std::string> add(std::string_view aBytes);

private:
  /** Size of the piece at the start of the buffer, or 0 when it is not whole yet. */
  std::size_t nextPiece() const;

  std::string mBuffer;
  bool mHandshakeDone = false;
};

} // namespace magnoliadrum
