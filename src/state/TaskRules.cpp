#include "state/TaskRules.h"

#include <algorithm>

namespace magnoliadrum {

bool
isTerminal(TaskState aState)
{
  switch (aState) {
    case TaskState::ePublished:
    case TaskState::eCancelled:
    case TaskState::eFailed:
    case TaskState::eImpossible:
    case TaskState::eOutcomeUnknown:
      return true;
    default:
      return false;
  }
}

bool
isHeld(TaskState aState)
{
  return aState == TaskState::ePlaced || aState == TaskState::eRunning ||
         aState == TaskState::eCompleted;
}

bool
isStandingTask(const TaskRecord& aTask)
{
  const std::size_t keyStart = aTask.entryName().size() + 1;
  return aTask.taskId().size() > keyStart && aTask.taskId()[keyStart] == '#';
}

std::string
batchTaskId(std::string_view aEntryName, std::string_view aRunKey)
{
  return std::string(aEntryName) + "/" + std::string(aRunKey);
}

std::string
standingTaskId(std::string_view aEntryName, std::int64_t aNumber)
{
  return std::string(aEntryName) + "/#" + std::to_string(aNumber);
}

bool
isRunKey(std::string_view aRunKey)
{
  return !aRunKey.empty() && aRunKey.front() != '#';
}

bool
allowsDataCentre(const CatalogueEntry& aEntry, const std::string& aDataCentre)
{
  const std::vector<std::string>& allowed = aEntry.dataCentres();
  return std::find(allowed.begin(), allowed.end(), aDataCentre) != allowed.end();
}

} // namespace magnoliadrum
