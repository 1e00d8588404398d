#pragma once

/**
 * Module jobs: jobs of several steps, their queues, and the decisions where their tasks run.
 *
 * JobRegistry is the part of the replicated state machine; JobScheduler and DisturbanceGuard decide
 * from views of the jobs and workers. Nothing here has a socket or reads a clock. Depends on core
 * and generated.
 */

#include "jobs/DisturbanceGuard.h"
#include "jobs/Job.h"
#include "jobs/JobRegistry.h"
#include "jobs/JobRules.h"
#include "jobs/JobScheduler.h"
#include "jobs/TaskId.h"
