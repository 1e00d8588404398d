#include "platform/HostName.h"

#include <algorithm>
#include <cctype>

namespace magnoliadrum::platform {

std::string
lowerCaseHost(std::string aHost)
{
  std::transform(aHost.begin(), aHost.end(), aHost.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aHost;
}

} // namespace magnoliadrum::platform
