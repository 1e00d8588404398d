#include "transport/LoopbackHost.h"

#include <cassert>
#include <unistd.h>

namespace magnoliadrum {

std::string
loopbackHost(int aNumber)
{
  constexpr int kLargestNumber = 254;
  assert(aNumber >= 1 && aNumber <= kLargestNumber);
  constexpr int kOctet = 250;
  const int process = static_cast<int>(getpid());
  return "127." + std::to_string(1 + process % kOctet) + "." +
         std::to_string(1 + process / kOctet % kOctet) + "." + std::to_string(aNumber);
}

} // namespace magnoliadrum
