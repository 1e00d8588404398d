#pragma once

/**
 * Module agent: the process that runs beside a target on the target's VM.
 *
 * AdmissionGate makes the final check of a request, and TaskTable tracks the tasks of a worker.
 * Neither performs I/O or reads the clock: events and the time are passed in, decisions come out.
 * AgentService connects them to control, to the gateways and, through ExecutorAdapter or
 * WorkerAdapter, to the target.
 */

#include "agent/AdmissionGate.h"
#include "agent/AgentService.h"
#include "agent/TaskTable.h"
