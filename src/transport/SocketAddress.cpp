#include "transport/SocketAddress.h"

#include <arpa/inet.h>
#include <array>
#include <event2/util.h>
#include <netinet/in.h>

namespace magnoliadrum {

namespace {

struct HostAndPort
{
  std::string mHost;
  int mPort = 0;
};

HostAndPort
split(const sockaddr* aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress->sa_family == AF_INET6) {
    const auto* address = reinterpret_cast<const sockaddr_in6*>(aAddress);
    evutil_inet_ntop(AF_INET6, &address->sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(address->sin6_port) };
  }
  const auto* address = reinterpret_cast<const sockaddr_in*>(aAddress);
  evutil_inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
  return { text.data(), ntohs(address->sin_port) };
}

} // namespace

Result<SocketAddress>
SocketAddress::parse(const std::string& aText)
{
  SocketAddress address;
  address.mLength = sizeof(address.mStorage);
  auto* storage = reinterpret_cast<sockaddr*>(&address.mStorage);
  const int failed = evutil_parse_sockaddr_port(aText.c_str(), storage, &address.mLength);
  if (failed != 0) {
    return Error::create(ErrorCode::eInvalid, "parse address", aText, "expected IP:port");
  }
  const HostAndPort parts = split(address.data());
  if (parts.mPort == 0) {
    return Error::create(ErrorCode::eInvalid, "parse address", aText, "port is missing");
  }
  address.mHost = parts.mHost;
  address.mPort = parts.mPort;
  return address;
}

std::string
SocketAddress::format(const sockaddr* aAddress)
{
  const HostAndPort parts = split(aAddress);
  const std::string port = std::to_string(parts.mPort);
  if (aAddress->sa_family == AF_INET6) {
    return "[" + parts.mHost + "]:" + port;
  }
  return parts.mHost + ":" + port;
}

SocketAddress
SocketAddress::withPort(int aPort) const
{
  SocketAddress address = *this;
  address.mPort = aPort;
  const in_port_t port = htons(static_cast<in_port_t>(aPort));
  if (mStorage.ss_family == AF_INET6) {
    reinterpret_cast<sockaddr_in6*>(&address.mStorage)->sin6_port = port;
  } else {
    reinterpret_cast<sockaddr_in*>(&address.mStorage)->sin_port = port;
  }
  return address;
}

std::string
hostOfAddress(const std::string& aAddress)
{
  const Result<SocketAddress> address = SocketAddress::parse(aAddress);
  return isOk(address) ? valueOf(address).host() : "";
}

int
portOfAddress(const std::string& aAddress)
{
  const Result<SocketAddress> address = SocketAddress::parse(aAddress);
  return isOk(address) ? valueOf(address).port() : 0;
}

} // namespace magnoliadrum
