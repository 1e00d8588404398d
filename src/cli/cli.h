#pragma once

/** Module cli: the operators' command line, magnoliadrumctl. */

#include "cli/CommandLine.h"
#include "cli/GatewayClient.h"
