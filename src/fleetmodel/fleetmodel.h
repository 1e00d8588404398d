#pragma once

/**
 * Module fleetmodel: for tests only. Workers of the platform in virtual time behind real relays and
 * a real control service, with the faults that the users' bench cannot play. Depends on control and
 * relay.
 */

#include "fleetmodel/FleetModel.h"
#include "fleetmodel/ModelWorker.h"
