#pragma once

/**
 * Module state: the replicated state machine of the control group.
 *
 * Offers ControlState, the typed outcomes of its commands, and the rules about entries and tasks
 * that other modules need. It has no clock, no I/O and no random numbers.
 */

#include "state/ControlState.h"
#include "state/EntryRules.h"
#include "state/Outcome.h"
#include "state/TaskRules.h"
