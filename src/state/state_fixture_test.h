#pragma once

#include "state/BuildValue.h"
#include "state/state.h"

#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum::fixture {

// The functions below build valid values, so that a test sets only the fields that it needs.

inline CatalogueEntry::Fields
batchEntry(const std::string& aName)
{
  return { .name = aName,
           .owner = "delta",
           .kind = EntryKind::eBatch,
           .workClass = WorkClass::eBatch,
           .resources = buildValue<Resources>({ .cpuMilli = 1000, .memoryMb = 100 }),
           .dataCentres = { "Tulcea", "Braila" },
           .limits = buildValue<EntryLimits>({ .maxAttempts = 2 }) };
}

inline CatalogueEntry::Fields
standingEntry(const std::string& aName, std::int64_t aReplicas)
{
  CatalogueEntry::Fields fields = batchEntry(aName);
  fields.kind = EntryKind::eStanding;
  fields.limits = buildValue<EntryLimits>({ .replicas = aReplicas });
  return fields;
}

inline CatalogueEntry::Fields
serviceEntry(const std::string& aName)
{
  return { .name = aName,
           .owner = "guild",
           .kind = EntryKind::eService,
           .workClass = WorkClass::eLatencyCritical,
           .dataCentres = { "Waco" } };
}

inline CatalogueChange
entryChange(const std::string& aChangeId,
            std::int64_t aExpectedVersion,
            const CatalogueEntry::Fields& aEntry)
{
  return buildValue<CatalogueChange>({ .changeId = aChangeId,
                                       .recordName = aEntry.name,
                                       .expectedVersion = aExpectedVersion,
                                       .entry = buildValue<CatalogueEntry>(aEntry) });
}

inline CatalogueChange
deletion(const std::string& aChangeId,
         std::int64_t aExpectedVersion,
         const std::string& aRecordName)
{
  return buildValue<CatalogueChange>(
    { .changeId = aChangeId, .recordName = aRecordName, .expectedVersion = aExpectedVersion });
}

inline AdmitSession
admitWorker(const std::string& aProcessId,
            const std::string& aIncarnation,
            std::vector<RunningTask> aRunning = {},
            const std::string& aDataCentre = "Tulcea")
{
  return buildValue<AdmitSession>(
    { .processId = aProcessId,
      .processKind = ProcessKind::eAgent,
      .incarnation = aIncarnation,
      .target = buildValue<TargetDescription>(
        { .targetId = aProcessId,
          .targetKind = TargetKind::eWorker,
          .agentAddress = "127.0.0.1:7000",
          .dataCentre = aDataCentre,
          .rack = "r1",
          .capacity = buildValue<Resources>({ .cpuMilli = 4000, .memoryMb = 1000 }) }),
      .running = std::move(aRunning) });
}

inline RunningTask
running(const std::string& aTaskId, std::int64_t aEpoch, TaskState aState = TaskState::eRunning)
{
  return buildValue<RunningTask>({ .taskId = aTaskId, .epoch = aEpoch, .state = aState });
}

inline MoveTask
report(const std::string& aTaskId,
       std::int64_t aEpoch,
       TaskState aState,
       const std::string& aCheckpoint = "")
{
  return buildValue<MoveTask>(
    { .taskId = aTaskId, .epoch = aEpoch, .state = aState, .checkpoint = aCheckpoint });
}

/** A ControlState that assigns consecutive log indices to the applied commands. */
class StateMachine
{
public:
  Outcome apply(const Command& aCommand)
  {
    return mState.apply(mState.appliedIndex() + 1, aCommand);
  }

  ChangeAnswer change(const CatalogueChange& aChange)
  {
    return std::get<ChangeAnswer>(apply(buildValue<ApplyChange>({ .change = aChange })));
  }

  /** Creates entry 'recon' and its run 'recon/night'. */
  void createRun()
  {
    change(entryChange("create-recon", 0, batchEntry("recon")));
    apply(buildValue<CreateTask>({ .taskId = "recon/night", .entryName = "recon" }));
  }

  std::int64_t admit(const AdmitSession& aCommand)
  {
    return std::get<SessionAdmitted>(apply(aCommand)).mRecord.session();
  }

  Outcome place(const std::string& aTaskId, std::int64_t aEpoch, std::int64_t aSession)
  {
    return apply(
      buildValue<PlaceTask>({ .taskId = aTaskId, .epoch = aEpoch, .session = aSession }));
  }

  Outcome expire(std::int64_t aSession)
  {
    return apply(buildValue<ExpireSession>({ .session = aSession, .reason = "lease is over" }));
  }

  const TaskRecord& task(const std::string& aTaskId) const { return *mState.tasks().find(aTaskId); }

  ControlState& state() { return mState; }

private:
  ControlState mState;
};

inline bool
applied(const Outcome& aOutcome)
{
  const TaskChanged* changed = std::get_if<TaskChanged>(&aOutcome);
  return changed != nullptr && changed->mApplied;
}

inline bool
isError(const Outcome& aOutcome, ErrorCode aCode)
{
  const Error* error = std::get_if<Error>(&aOutcome);
  return error != nullptr && error->code() == aCode;
}

} // namespace magnoliadrum::fixture
