#pragma once

/**
 * Module routing: classes that decide about requests, without access to sockets or a clock.
 *
 * Time is passed in as MonotonicTime and randomness as a seeded RandomEngine, so that a test can
 * reproduce every decision. Depends on core and generated.
 */

#include "routing/AttemptTracker.h"
#include "routing/ClockOffset.h"
#include "routing/OutlierDetector.h"
#include "routing/RequestLimiter.h"
#include "routing/RequestQueue.h"
#include "routing/ResponseTimeEstimator.h"
#include "routing/RetryBudget.h"
#include "routing/TargetLoad.h"
#include "routing/TargetSelector.h"
