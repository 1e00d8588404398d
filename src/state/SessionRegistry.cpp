#include "state/SessionRegistry.h"

#include "state/BuildValue.h"

#include <utility>

namespace magnoliadrum {

SessionRegistry
SessionRegistry::fromSnapshot(const StateSnapshot& aSnapshot)
{
  SessionRegistry registry;
  registry.mNextSession = aSnapshot.nextSession();
  registry.mDraining.insert(aSnapshot.draining().begin(), aSnapshot.draining().end());
  registry.mEvacuated.insert(aSnapshot.evacuated().begin(), aSnapshot.evacuated().end());
  for (const SessionRecord& record : aSnapshot.sessions()) {
    registry.insert(record);
  }
  return registry;
}

void
SessionRegistry::writeTo(StateSnapshot::Fields& aSnapshot) const
{
  aSnapshot.nextSession = mNextSession;
  aSnapshot.draining.assign(mDraining.begin(), mDraining.end());
  aSnapshot.evacuated.assign(mEvacuated.begin(), mEvacuated.end());
  for (const auto& [number, record] : mSessions) {
    aSnapshot.sessions.push_back(record);
  }
}

std::optional<Error>
SessionRegistry::findAdmissionFault(const AdmitSession& aCommand) const
{
  if (aCommand.processKind() == ProcessKind::eGateway ||
      aCommand.processKind() == ProcessKind::eRelay) {
    return std::nullopt;
  }
  if (aCommand.processKind() != ProcessKind::eAgent || !aCommand.target()) {
    return Error::create(ErrorCode::eInvalid,
                         "session.admit",
                         aCommand.processId(),
                         "only gateways, relays and agents with a target hold sessions");
  }
  const SessionRecord* holder = findByTarget(aCommand.target()->targetId());
  if (holder != nullptr && holder->processId() != aCommand.processId()) {
    return Error::create(ErrorCode::eConflict,
                         "session.admit",
                         aCommand.processId(),
                         "target " + aCommand.target()->targetId() + " is registered by " +
                           holder->processId());
  }
  return std::nullopt;
}

Outcome
SessionRegistry::admit(const AdmitSession& aCommand)
{
  if (std::optional<Error> fault = findAdmissionFault(aCommand)) {
    return *fault;
  }
  const SessionRecord* older = findByProcess(aCommand.processId());
  if (older != nullptr && older->incarnation() == aCommand.incarnation()) {
    SessionAdmitted resent;
    resent.mRecord = *older;
    return resent;
  }
  SessionAdmitted admitted;
  admitted.mCreated = true;
  if (older != nullptr) {
    admitted.mEndedSession = older->session();
    end(admitted.mEndedSession);
  }
  admitted.mRecord = buildValue<SessionRecord>(
    { .session = mNextSession++,
      .processId = aCommand.processId(),
      .processKind = aCommand.processKind(),
      .incarnation = aCommand.incarnation(),
      .target = aCommand.target(),
      .draining = aCommand.target() && mDraining.contains(aCommand.target()->targetId()) });
  insert(admitted.mRecord);
  return admitted;
}

void
SessionRegistry::insert(SessionRecord aRecord)
{
  const std::int64_t number = aRecord.session();
  mByProcess.insert_or_assign(aRecord.processId(), number);
  if (aRecord.target()) {
    mByTarget.insert_or_assign(aRecord.target()->targetId(), number);
  }
  mSessions.insert_or_assign(number, std::move(aRecord));
}

bool
SessionRegistry::end(std::int64_t aSession)
{
  const auto position = mSessions.find(aSession);
  if (position == mSessions.end()) {
    return false;
  }
  mByProcess.erase(position->second.processId());
  if (position->second.target()) {
    mByTarget.erase(position->second.target()->targetId());
  }
  mSessions.erase(position);
  return true;
}

Outcome
SessionRegistry::drain(const DrainTarget& aCommand)
{
  const SessionRecord* holder = findByTarget(aCommand.targetId());
  if (aCommand.draining() && holder == nullptr && !mDraining.contains(aCommand.targetId())) {
    return Error::create(ErrorCode::eNotFound,
                         "target.drain",
                         aCommand.targetId(),
                         "no agent has registered this target");
  }
  if (aCommand.draining()) {
    mDraining.insert(aCommand.targetId());
  } else {
    mDraining.erase(aCommand.targetId());
  }
  if (holder != nullptr) {
    SessionRecord::Fields fields = holder->fields();
    fields.draining = aCommand.draining();
    insert(buildValue<SessionRecord>(std::move(fields)));
  }
  return TargetDrained{ aCommand.targetId(), aCommand.draining() };
}

EvacuationSet
SessionRegistry::apply(const SetEvacuation& aCommand)
{
  const bool isChanged = aCommand.evacuated() ? mEvacuated.insert(aCommand.dataCentre()).second
                                              : mEvacuated.erase(aCommand.dataCentre()) > 0;
  return { aCommand.dataCentre(), aCommand.evacuated(), isChanged };
}

bool
SessionRegistry::isInEvacuated(const SessionRecord& aSession) const
{
  return aSession.target() && mEvacuated.contains(aSession.target()->dataCentre());
}

bool
SessionRegistry::isClosed(const SessionRecord& aSession) const
{
  return aSession.draining() || isInEvacuated(aSession);
}

const SessionRecord*
SessionRegistry::find(std::int64_t aSession) const
{
  const auto position = mSessions.find(aSession);
  return position != mSessions.end() ? &position->second : nullptr;
}

const SessionRecord*
SessionRegistry::findByProcess(const std::string& aProcessId) const
{
  const auto position = mByProcess.find(aProcessId);
  return position != mByProcess.end() ? find(position->second) : nullptr;
}

const SessionRecord*
SessionRegistry::findByTarget(const std::string& aTargetId) const
{
  const auto position = mByTarget.find(aTargetId);
  return position != mByTarget.end() ? find(position->second) : nullptr;
}

} // namespace magnoliadrum
