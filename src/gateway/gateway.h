#pragma once

/**
 * Module gateway: the process on the entry VMs. Takes callers' and operators' requests over HTTP,
 * routes callers' requests to the agents of executors and passes operators' requests on to control.
 */

#include "gateway/GatewayProcess.h"
