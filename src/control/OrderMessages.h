#pragma once

#include "generated/generated.h"

#include <cstddef>
#include <vector>

namespace magnoliadrum {

/** Approximate size limit of the orders in one message, well below kMaxMessageBytes, so that one
 * worker's orders do not hold up those of others on the same loop for long. */
inline constexpr std::size_t kMaxOrderMessageBytes = std::size_t{ 512 } << 10U;

/**
 * Divides the orders for one worker into messages of bounded size. Each has the fence, the lease
 * and the acknowledgement of aOrders. Stops come first, then paces, then starts, as a stop may free
 * the capacity for a start. Returns one message when there are no orders.
 */
std::vector<WorkerOrders>
splitOrders(WorkerOrders::Fields aOrders);

} // namespace magnoliadrum
