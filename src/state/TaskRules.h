#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliadrum {

/** Whether a state is final: published, cancelled, failed, impossible or outcome-unknown. */
bool
isTerminal(TaskState aState);

/** Whether a task in this state is held by an agent's session: placed, running or completed. */
bool
isHeld(TaskState aState);

/** Whether the task is an instance of a standing entry; its id is 'ENTRY/#N'. */
bool
isStandingTask(const TaskRecord& aTask);

/** Returns the id of a batch run, 'ENTRY/RUNKEY'. */
std::string
batchTaskId(std::string_view aEntryName, std::string_view aRunKey);

/** Returns the id of an instance of a standing entry, 'ENTRY/#N' with N from 1. */
std::string
standingTaskId(std::string_view aEntryName, std::int64_t aNumber);

/** Whether a run key is valid. A key that starts with '#' would give the id of a standing task. */
bool
isRunKey(std::string_view aRunKey);

/** Whether the entry lists the data centre as allowed. */
bool
allowsDataCentre(const CatalogueEntry& aEntry, const std::string& aDataCentre);

} // namespace magnoliadrum
