#pragma once

/** Module faults: named points in the programs at which tests inject a fault. */

#include "faults/FaultPoint.h"
#include "faults/FaultPointFile.h"
