#pragma once

/**
 * Module routing: the decisions about requests, as classes without sockets and without a clock.
 *
 * Time is passed in as MonotonicTime and randomness as a seeded RandomEngine, so every decision can
 * be repeated in a test. Depends on core and generated.
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
