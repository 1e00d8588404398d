#pragma once

/**
 * Module placement: decisions about tasks.
 *
 * Offers PlacementPolicy, which turns PlacementView values into PlacementDecision values. It opens
 * no sockets, reads no clock and draws random numbers only from the engine that it is created with.
 * Depends on core and generated.
 */

#include "placement/PlacementDecision.h"
#include "placement/PlacementPolicy.h"
#include "placement/PlacementView.h"
