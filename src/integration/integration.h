#pragma once

/**
 * Module integration: whole deployments of real processes on loopback, for the demo, the
 * integration tests and the fault matrix. Only tests and tools start processes; the programs of the
 * system never do.
 */

#include "integration/ChildProcess.h"
#include "integration/Deployment.h"
#include "integration/DeploymentShape.h"
