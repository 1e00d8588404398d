#pragma once

/**
 * Module jobs: jobs of several steps, their queues, and the scheduling of their tasks.
 *
 * JobRegistry belongs to the replicated state machine. JobScheduler and InterferenceGuard make
 * decisions from the state of the jobs and workers that is passed to them. Nothing in this module
 * uses a socket or reads a clock. Depends on core, generated and placement/ResourceAmount.
 */

#include "jobs/CancelledIds.h"
#include "jobs/CrashAttribution.h"
#include "jobs/InterferenceForecast.h"
#include "jobs/InterferenceGuard.h"
#include "jobs/Job.h"
#include "jobs/JobRegistry.h"
#include "jobs/JobRules.h"
#include "jobs/JobScheduler.h"
#include "jobs/JobSelector.h"
#include "jobs/PoolLoad.h"
#include "jobs/ProgressMeter.h"
#include "jobs/RoomPlanner.h"
#include "jobs/RunTimeModel.h"
#include "jobs/StandingAdmission.h"
#include "jobs/StandingWaitMeter.h"
#include "jobs/StragglerPlanner.h"
#include "jobs/TaskId.h"
#include "jobs/TrialPlanner.h"
#include "jobs/WorkerCandidate.h"
#include "jobs/WorkerReliability.h"
