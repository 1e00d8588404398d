#pragma once

/**
 * Module relay: the process beside a worker of the platform. It carries the control leader's orders
 * to the worker and reports what the worker says. Depends on core, generated and observability.
 */

#include "relay/WorkerClient.h"
#include "relay/WorkerRelay.h"
