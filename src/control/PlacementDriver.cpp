#include "control/PlacementDriver.h"

#include <cassert>
#include <optional>
#include <random>
#include <utility>

namespace magnoliadrum {

namespace {

using LiveSessions = std::map<std::int64_t, LiveSession>;

std::string
hostOf(const TargetDescription& aTarget)
{
  return aTarget.agentAddress().substr(0, aTarget.agentAddress().rfind(':'));
}

/** Names of service entries by the IP address of their executors' agents. */
using ServicesByHost = std::map<std::string, std::set<std::string>>;

ServicesByHost
groupServicesByHost(const SessionRegistry& aSessions)
{
  ServicesByHost services;
  for (const auto& [number, record] : aSessions.all()) {
    if (record.target() && record.target()->targetKind() == TargetKind::eExecutor) {
      services[hostOf(*record.target())].insert(record.target()->entryName());
    }
  }
  return services;
}

std::optional<WorkerView>
buildWorkerView(std::int64_t aSession,
                const ControlState& aState,
                const LiveSessions& aLiveSessions,
                const ServicesByHost& aServices)
{
  const SessionRecord* record = aState.sessions().find(aSession);
  const bool isWorker =
    record != nullptr && record->target() && record->target()->targetKind() == TargetKind::eWorker;
  if (!isWorker) {
    return std::nullopt;
  }
  WorkerView view;
  view.session = aSession;
  view.target = *record->target();
  view.draining = aState.sessions().isClosed(*record);
  // Agents with the same IP address run on the same VM.
  const auto services = aServices.find(hostOf(*record->target()));
  if (services != aServices.end()) {
    view.services.assign(services->second.begin(), services->second.end());
  }
  const auto live = aLiveSessions.find(aSession);
  if (live != aLiveSessions.end()) {
    view.draining = view.draining || live->second.mLeaving;
    view.usage = live->second.mUsage;
    view.usageAt = live->second.mUsageAt;
  }
  return view;
}

void
addRecord(const std::string& aRecordName, const ControlState& aState, PlacementView& aView)
{
  const CatalogueRecord* record = aState.catalogue().findRecord(aRecordName);
  if (record == nullptr) {
    return;
  }
  if (record->entry()) {
    aView.entries.push_back(*record->entry());
  } else if (record->quota()) {
    aView.quotas.push_back(*record->quota());
  } else if (aRecordName.starts_with(kQuotaPrefix)) {
    aView.removedQuotas.push_back(aRecordName.substr(kQuotaPrefix.size()));
  } else {
    aView.removedEntries.push_back(aRecordName);
  }
}

} // namespace

PlacementDriver::PlacementDriver(const PolicySettings& aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mSeed(aSeed)
{
}

void
PlacementDriver::startTerm()
{
  PlacementOptions options;
  options.settings = mSettings;
  mPolicy = std::make_unique<PlacementPolicy>(options, std::mt19937_64(mSeed));
  mIsFirstRound = true;
  mChangedTasks.clear();
  mChangedSessions.clear();
  mChangedRecords.clear();
  mObservations.clear();
}

void
PlacementDriver::addObservation(ServiceObservation aObservation)
{
  mObservations.push_back(std::move(aObservation));
}

std::vector<PlacementDecision>
PlacementDriver::decide(const ControlState& aState,
                        const LiveSessions& aLiveSessions,
                        MonotonicTime aNow)
{
  assert(mPolicy != nullptr);
  PlacementView view =
    mIsFirstRound ? buildFullView(aState, aLiveSessions) : buildDeltaView(aState, aLiveSessions);
  view.services = std::exchange(mObservations, {});
  mIsFirstRound = false;
  mChangedTasks.clear();
  mChangedSessions.clear();
  mChangedRecords.clear();
  return mPolicy->decide(view, aNow);
}

PlacementView
PlacementDriver::buildFullView(const ControlState& aState, const LiveSessions& aLiveSessions) const
{
  PlacementView view;
  view.complete = true;
  for (const auto& [name, record] : aState.catalogue().records()) {
    if (record.entry() || record.quota()) {
      addRecord(name, aState, view);
    }
  }
  const ServicesByHost services = groupServicesByHost(aState.sessions());
  for (const auto& [number, record] : aState.sessions().all()) {
    if (std::optional<WorkerView> worker =
          buildWorkerView(number, aState, aLiveSessions, services)) {
      view.workers.push_back(std::move(*worker));
    }
  }
  for (const auto& [taskId, task] : aState.tasks().all()) {
    if (!isTerminal(task.state())) {
      view.tasks.push_back(TaskView::fromRecord(task));
    }
  }
  return view;
}

PlacementView
PlacementDriver::buildDeltaView(const ControlState& aState, const LiveSessions& aLiveSessions) const
{
  PlacementView view;
  view.complete = false;
  for (const std::string& name : mChangedRecords) {
    addRecord(name, aState, view);
  }
  const ServicesByHost services = groupServicesByHost(aState.sessions());
  for (const std::int64_t session : mChangedSessions) {
    if (std::optional<WorkerView> worker =
          buildWorkerView(session, aState, aLiveSessions, services)) {
      view.workers.push_back(std::move(*worker));
    } else {
      view.removedSessions.push_back(session);
    }
  }
  for (const std::string& taskId : mChangedTasks) {
    const TaskRecord* task = aState.tasks().find(taskId);
    if (task != nullptr) {
      view.tasks.push_back(TaskView::fromRecord(*task));
    } else {
      view.removedTasks.push_back(taskId);
    }
  }
  return view;
}

} // namespace magnoliadrum
