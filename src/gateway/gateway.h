#pragma once

/**
 * Module gateway: the process on the entry VMs. It accepts HTTP requests from callers and
 * operators, routes callers' requests to the agents of executors and forwards operators' requests
 * to control.
 */

#include "gateway/GatewayProcess.h"
