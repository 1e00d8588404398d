#pragma once

/**
 * Module agent: the process on a target's VM.
 *
 * AdmissionGate makes the last check of a request and TaskTable keeps the tasks of a worker; both
 * are pure, time and events come in and decisions go out. AgentService connects them to control, to
 * the gateways and, through ExecutorAdapter or WorkerAdapter, to the target.
 */

#include "agent/AdmissionGate.h"
#include "agent/AgentService.h"
#include "agent/TaskTable.h"
