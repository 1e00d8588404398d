#pragma once

#include "core/core.h"

#include <string>
#include <sys/socket.h>

namespace magnoliadrum {

/** An IP address with a port. */
class SocketAddress
{
public:
  /** Reads "IP:port" or "[IPv6]:port". Names are not looked up. */
  static Result<SocketAddress> parse(const std::string& aText);

  /** Returns the text form of an address that the system reported. */
  static std::string format(const sockaddr* aAddress);

  /** The same IP address with another port. */
  SocketAddress withPort(int aPort) const;

  const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&mStorage); }
  int length() const { return mLength; }

  /** The IP address without the port. */
  const std::string& host() const { return mHost; }
  int port() const { return mPort; }

private:
  SocketAddress() = default;

  sockaddr_storage mStorage{};
  int mLength = 0;
  std::string mHost;
  int mPort = 0;
};

/** Returns the host of "IP:port", or an empty text when aAddress is malformed. */
std::string
hostOfAddress(const std::string& aAddress);

/** Returns the port of "IP:port", or 0 when aAddress is malformed. */
int
portOfAddress(const std::string& aAddress);

} // namespace magnoliadrum
