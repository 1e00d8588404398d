#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "jobs/JobRegistry.h"
#include "state/Catalogue.h"
#include "state/IntentRegistry.h"
#include "state/Outcome.h"
#include "state/ServiceLevelHistory.h"
#include "state/SessionRegistry.h"
#include "state/TaskRegistry.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace magnoliadrum {

/**
 * The replicated state machine of the control group.
 *
 * apply() is deterministic: it uses no clock, no random numbers and no I/O, so replicas that
 * apply the same commands hold the same state and give the same outcomes.
 */
class ControlState
{
public:
  ControlState() = default;

  /** Decodes a snapshot from encodeSnapshot(). An error names the step and aPeer. */
  static Result<ControlState> decodeSnapshot(std::string_view aBytes, const std::string& aPeer);

  /** Encodes the whole state as CBOR. Equal states have equal encodings. */
  std::string encodeSnapshot() const;

  /**
   * Applies the command at a log index and returns its outcome.
   *
   * Precondition: aIndex is higher than appliedIndex(). Indices may be skipped, because the log
   * also holds entries that are not commands.
   */
  Outcome apply(std::int64_t aIndex, const Command& aCommand);

  /** Log index of the last applied command; 0 when there is none. */
  std::int64_t appliedIndex() const { return mAppliedIndex; }

  const Catalogue& catalogue() const { return mCatalogue; }
  const SessionRegistry& sessions() const { return mSessions; }
  const TaskIndex& tasks() const { return mTasks.index(); }
  const IntentRegistry& intents() const { return mIntents; }
  const ServiceLevelHistory& serviceLevel() const { return mServiceLevel; }
  const JobRegistry& jobs() const { return mJobs; }
  /** What leaders have learned about tasks and images; empty until the first save. */
  const LearnedFigures& learnedFigures() const { return mLearnedFigures; }

  /**
   * Returns the ids of the tasks that changed since the last call. They are not part of the
   * replicated state.
   */
  std::set<std::string> takeChangedTasks() { return mTasks.takeChanged(); }

private:
  Outcome applyCommand(const ApplyChange& aCommand);
  Outcome applyCommand(const AdmitSession& aCommand);
  Outcome applyCommand(const ExpireSession& aCommand);
  Outcome applyCommand(const DrainTarget& aCommand);
  Outcome applyCommand(const CreateTask& aCommand);
  Outcome applyCommand(const CancelTask& aCommand);
  Outcome applyCommand(const PlaceTask& aCommand);
  Outcome applyCommand(const MoveTask& aCommand);
  Outcome applyCommand(const RequestStop& aCommand);
  Outcome applyCommand(const OpenIntent& aCommand);
  Outcome applyCommand(const SettleIntent& aCommand);
  Outcome applyCommand(const RecordServiceLevel& aCommand);
  Outcome applyCommand(const SetQueueCatalogue& aCommand);
  Outcome applyCommand(const SubmitJob& aCommand);
  Outcome applyCommand(const CancelJob& aCommand);
  Outcome applyCommand(const StartRuns& aCommand);
  Outcome applyCommand(const EndRuns& aCommand);
  Outcome applyCommand(const ExplainLapses& aCommand);
  Outcome applyCommand(const SaveLearnedFigures& aCommand);
  Outcome applyCommand(const SetEvacuation& aCommand);

  std::int64_t mAppliedIndex = 0;
  Catalogue mCatalogue;
  SessionRegistry mSessions;
  TaskRegistry mTasks;
  IntentRegistry mIntents;
  ServiceLevelHistory mServiceLevel;
  JobRegistry mJobs;
  LearnedFigures mLearnedFigures;
};

} // namespace magnoliadrum
