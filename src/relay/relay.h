#pragma once

/**
 * Module relay: the process that runs on the VM of each worker of the platform. It forwards the
 * control leader's orders to the worker and reports the worker's state and its answers to the
 * leader. Depends on core, generated and observability.
 */

#include "relay/OrderQueue.h"
#include "relay/StartedRuns.h"
#include "relay/WorkerClient.h"
#include "relay/WorkerRelay.h"
