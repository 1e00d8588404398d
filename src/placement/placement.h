#pragma once

/**
 * Module placement: decides where tasks run and which tasks are evicted or throttled.
 *
 * PlacementPolicy turns PlacementView values into PlacementDecision values. It opens no sockets,
 * reads no clock and draws random numbers only from the engine passed to its constructor. Depends
 * on core and generated.
 */

#include "placement/PlacementDecision.h"
#include "placement/PlacementPolicy.h"
#include "placement/PlacementView.h"
