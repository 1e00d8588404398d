#include "state/PlacementCheck.h"

#include "state/TaskRules.h"

#include <cstdint>

namespace magnoliadrum {

namespace {

/** Sum of declared resources. It may exceed the bounds of a Resources value. */
class ResourceSum
{
public:
  void add(const Resources& aAmount)
  {
    mCpuMilli += aAmount.cpuMilli();
    mMemoryMb += aAmount.memoryMb();
    mAccelerators += aAmount.accelerators();
  }

  bool fitsInto(const Resources& aCapacity) const
  {
    return mCpuMilli <= aCapacity.cpuMilli() && mMemoryMb <= aCapacity.memoryMb() &&
           mAccelerators <= aCapacity.accelerators();
  }

private:
  std::int64_t mCpuMilli = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;
};

ResourceSum
declaredResources(const TaskIndex& aTasks, const Catalogue& aCatalogue, std::int64_t aSession)
{
  ResourceSum sum;
  for (const std::string& taskId : aTasks.heldBy(aSession)) {
    const CatalogueEntry* entry = aCatalogue.findEntry(aTasks.find(taskId)->entryName());
    if (entry != nullptr) {
      sum.add(entry->resources());
    }
  }
  return sum;
}

} // namespace

std::optional<std::string>
findPlacementFault(const TaskIndex& aTasks,
                   const Catalogue& aCatalogue,
                   const CatalogueEntry* aEntry,
                   const SessionRecord* aSession)
{
  if (aEntry == nullptr) {
    return "the entry does not exist";
  }
  if (aSession == nullptr || !aSession->target() ||
      aSession->target()->targetKind() != TargetKind::eWorker) {
    return "the session is not the open session of a worker";
  }
  if (aSession->draining()) {
    return "the target is draining";
  }
  if (!allowsDataCentre(*aEntry, aSession->target()->dataCentre())) {
    return "data centre " + aSession->target()->dataCentre() + " is not allowed";
  }
  ResourceSum sum = declaredResources(aTasks, aCatalogue, aSession->session());
  sum.add(aEntry->resources());
  if (!sum.fitsInto(aSession->target()->capacity())) {
    return "the declared resources do not fit the target";
  }
  return std::nullopt;
}

} // namespace magnoliadrum
