#pragma once

#include <string>

namespace magnoliadrum {

/**
 * Returns an IP address in 127.0.0.0/8 for one VM of a test or demo, aNumber from 1 to 254.
 *
 * The address depends on the process id, so tests that run at once use different ones, and it is
 * not the address from which the system sends by default, so no outgoing connection can hold one of
 * its ports.
 */
std::string
loopbackHost(int aNumber);

} // namespace magnoliadrum
