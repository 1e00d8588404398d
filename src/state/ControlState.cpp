#include "state/ControlState.h"

#include "state/BuildValue.h"

#include <cassert>
#include <utility>
#include <variant>

namespace magnoliadrum {

namespace {

template<typename... Types>
Outcome
toOutcome(std::variant<Types...> aResult)
{
  return std::visit([](auto& aValue) { return Outcome(std::move(aValue)); }, aResult);
}

} // namespace

Result<ControlState>
ControlState::decodeSnapshot(std::string_view aBytes, const std::string& aPeer)
{
  Result<SnapshotContent> decoded = decodeSnapshotContent(aBytes, "snapshot.decode", aPeer);
  if (!isOk(decoded)) {
    return errorOf(decoded);
  }
  const StateSnapshot& snapshot = std::get<StateSnapshot>(valueOf(decoded));
  ControlState state;
  state.mAppliedIndex = snapshot.appliedIndex();
  state.mCatalogue = Catalogue::fromSnapshot(snapshot);
  state.mSessions = SessionRegistry::fromSnapshot(snapshot);
  state.mTasks = TaskRegistry::fromSnapshot(snapshot);
  state.mIntents = IntentRegistry::fromSnapshot(snapshot);
  state.mServiceLevel = ServiceLevelHistory::fromSnapshot(snapshot);
  state.mJobs = JobRegistry::fromSnapshot(snapshot);
  state.mLearnedFigures = snapshot.learnedFigures();
  return state;
}

std::string
ControlState::encodeSnapshot() const
{
  StateSnapshot::Fields fields;
  fields.appliedIndex = mAppliedIndex;
  mCatalogue.writeTo(fields);
  mSessions.writeTo(fields);
  mTasks.writeTo(fields);
  mIntents.writeTo(fields);
  mServiceLevel.writeTo(fields);
  mJobs.writeTo(fields);
  fields.learnedFigures = mLearnedFigures;
  return encodeSnapshotContent(buildValue<StateSnapshot>(std::move(fields)));
}

Outcome
ControlState::apply(std::int64_t aIndex, const Command& aCommand)
{
  assert(aIndex > mAppliedIndex);
  mAppliedIndex = aIndex;
  return std::visit([this](const auto& aBody) { return applyCommand(aBody); }, aCommand);
}

Outcome
ControlState::applyCommand(const ApplyChange& aCommand)
{
  const std::int64_t before = mCatalogue.version();
  ChangeAnswer answer = mCatalogue.apply(aCommand.change());
  if (mCatalogue.version() != before) {
    mTasks.applyEntryChange(aCommand.change().recordName(), mCatalogue, mSessions);
  }
  return answer;
}

Outcome
ControlState::applyCommand(const AdmitSession& aCommand)
{
  Outcome outcome = mSessions.admit(aCommand);
  SessionAdmitted* admitted = std::get_if<SessionAdmitted>(&outcome);
  if (admitted == nullptr || !admitted->mCreated) {
    return outcome;
  }
  if (admitted->mRecord.target()) {
    admitted->mStrays =
      mTasks.adopt(admitted->mEndedSession, admitted->mRecord, aCommand.running(), mCatalogue);
  }
  return outcome;
}

Outcome
ControlState::applyCommand(const ExpireSession& aCommand)
{
  const bool wasOpen = mSessions.end(aCommand.session());
  if (wasOpen) {
    mTasks.endSession(aCommand.session(), aCommand.reason());
  }
  return SessionEnded{ aCommand.session(), wasOpen };
}

Outcome
ControlState::applyCommand(const DrainTarget& aCommand)
{
  return mSessions.drain(aCommand);
}

Outcome
ControlState::applyCommand(const CreateTask& aCommand)
{
  return mTasks.create(aCommand, mCatalogue);
}

Outcome
ControlState::applyCommand(const CancelTask& aCommand)
{
  return mTasks.cancel(aCommand);
}

Outcome
ControlState::applyCommand(const PlaceTask& aCommand)
{
  return mTasks.place(aCommand, mCatalogue, mSessions);
}

Outcome
ControlState::applyCommand(const MoveTask& aCommand)
{
  return mTasks.move(aCommand, mCatalogue);
}

Outcome
ControlState::applyCommand(const RequestStop& aCommand)
{
  return mTasks.requestStop(aCommand);
}

Outcome
ControlState::applyCommand(const OpenIntent& aCommand)
{
  return mIntents.open(aCommand);
}

Outcome
ControlState::applyCommand(const SettleIntent& aCommand)
{
  return mIntents.settle(aCommand);
}

Outcome
ControlState::applyCommand(const RecordServiceLevel& aCommand)
{
  return mServiceLevel.record(aCommand);
}

Outcome
ControlState::applyCommand(const SetQueueCatalogue& aCommand)
{
  return mJobs.apply(aCommand);
}

Outcome
ControlState::applyCommand(const SubmitJob& aCommand)
{
  return toOutcome(mJobs.apply(aCommand));
}

Outcome
ControlState::applyCommand(const CancelJob& aCommand)
{
  return toOutcome(mJobs.apply(aCommand));
}

Outcome
ControlState::applyCommand(const StartRuns& aCommand)
{
  return mJobs.apply(aCommand);
}

Outcome
ControlState::applyCommand(const EndRuns& aCommand)
{
  return mJobs.apply(aCommand);
}

Outcome
ControlState::applyCommand(const ExplainLapses& aCommand)
{
  return mJobs.apply(aCommand);
}

Outcome
ControlState::applyCommand(const SaveLearnedFigures& aCommand)
{
  mLearnedFigures = aCommand.figures();
  return LearnedFiguresSaved{};
}

Outcome
ControlState::applyCommand(const SetEvacuation& aCommand)
{
  return mSessions.apply(aCommand);
}

} // namespace magnoliadrum
