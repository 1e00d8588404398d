#pragma once

#include "placement/placement.h"

#include <cassert>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Builds the values that the tests of this module need. */
struct PlacementFixture
{
  static Resources resources(std::int64_t aCpuMilli,
                             std::int64_t aMemoryMb,
                             std::int64_t aAccelerators = 0)
  {
    return takeValue(Resources::create(
      { .cpuMilli = aCpuMilli, .memoryMb = aMemoryMb, .accelerators = aAccelerators }));
  }

  static CatalogueEntry::Fields batch(const std::string& aName, std::int64_t aCpuMilli)
  {
    CatalogueEntry::Fields fields;
    fields.name = aName;
    fields.owner = "guild";
    fields.kind = EntryKind::eBatch;
    fields.workClass = WorkClass::eBatch;
    fields.resources = resources(aCpuMilli, aCpuMilli);
    fields.dataCentres = { "waco" };
    return fields;
  }

  static CatalogueEntry entry(CatalogueEntry::Fields aFields)
  {
    return takeValue(CatalogueEntry::create(std::move(aFields)));
  }

  static WorkerView worker(std::int64_t aSession,
                           const std::string& aDataCentre = "waco",
                           const Resources& aCapacity = resources(32000, 32000))
  {
    TargetDescription::Fields target;
    target.targetId = "worker-" + std::to_string(aSession);
    target.targetKind = TargetKind::eWorker;
    target.agentAddress = "127.0.0.1:1";
    target.dataCentre = aDataCentre;
    target.rack = "rack-" + std::to_string(aSession / 3);
    target.capacity = aCapacity;
    WorkerView view;
    view.session = aSession;
    view.target = takeValue(TargetDescription::create(std::move(target)));
    return view;
  }

  static TaskView task(const std::string& aEntry, int aNumber)
  {
    TaskView view;
    view.taskId = aEntry + "/" + std::to_string(aNumber);
    view.entryName = aEntry;
    return view;
  }

  template<typename T>
  static std::vector<T> decisionsOfType(const std::vector<PlacementDecision>& aDecisions)
  {
    std::vector<T> result;
    for (const PlacementDecision& decision : aDecisions) {
      if (const T* found = std::get_if<T>(&decision)) {
        result.push_back(*found);
      }
    }
    return result;
  }
};

} // namespace magnoliadrum
