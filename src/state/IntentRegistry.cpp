#include "state/IntentRegistry.h"

#include "state/BuildValue.h"

#include <utility>

namespace magnoliadrum {

namespace {

std::size_t
answerBytes(const IntentRecord& aRecord)
{
  if (!aRecord.answer()) {
    return 0;
  }
  std::size_t bytes = aRecord.answer()->body().size();
  for (const HttpHeader& header : aRecord.answer()->headers()) {
    bytes += header.name().size() + header.value().size();
  }
  return bytes;
}

bool
isRemovable(IntentOutcome aOutcome)
{
  return aOutcome == IntentOutcome::eDone || aOutcome == IntentOutcome::eNotRun;
}

bool
isValidTransition(IntentOutcome aCurrent, IntentOutcome aNext)
{
  if (aCurrent == IntentOutcome::eOpen) {
    return aNext != IntentOutcome::eOpen;
  }
  // The attempt that holds the key may learn later that a request of unknown outcome was done.
  return aCurrent == IntentOutcome::eUnknown && aNext == IntentOutcome::eDone;
}

} // namespace

IntentRegistry
IntentRegistry::fromSnapshot(const StateSnapshot& aSnapshot)
{
  IntentRegistry registry;
  for (const IntentRecord& record : aSnapshot.intents()) {
    registry.put({ record.entryName(), record.key() }, record);
  }
  for (const IntentName& name : aSnapshot.settled()) {
    registry.markRemovable({ name.entryName(), name.key() });
  }
  return registry;
}

void
IntentRegistry::writeTo(StateSnapshot::Fields& aSnapshot) const
{
  for (const auto& [name, entry] : mIntents) {
    aSnapshot.intents.push_back(entry.mRecord);
  }
  for (const auto& [number, name] : mRemovable) {
    aSnapshot.settled.push_back(
      buildValue<IntentName>({ .entryName = name.first, .key = name.second }));
  }
}

Outcome
IntentRegistry::open(const OpenIntent& aCommand)
{
  const IntentRecord& wanted = aCommand.intent();
  const Name name{ wanted.entryName(), wanted.key() };
  const IntentRecord* current = find(wanted.entryName(), wanted.key());
  const bool sameAttempt = current != nullptr && current->attempt() == wanted.attempt();
  const bool isFree = current == nullptr || current->outcome() == IntentOutcome::eNotRun;
  // A not-run record stays until another attempt takes the key. Otherwise a late resend of the
  // settled attempt would open the key again.
  if (isFree && !sameAttempt) {
    IntentRecord::Fields fields = wanted.fields();
    fields.outcome = IntentOutcome::eOpen;
    fields.answer.reset();
    IntentRecord record = buildValue<IntentRecord>(std::move(fields));
    put(name, record);
    return IntentAnswer{ true, true, std::move(record) };
  }
  if (current->requestDigest() != wanted.requestDigest()) {
    return IntentAnswer{ false, false, *current };
  }
  const bool granted = sameAttempt && current->outcome() == IntentOutcome::eOpen;
  return IntentAnswer{ granted, true, *current };
}

Outcome
IntentRegistry::settle(const SettleIntent& aCommand)
{
  const IntentRecord* current = find(aCommand.entryName(), aCommand.key());
  if (current == nullptr || current->attempt() != aCommand.attempt()) {
    return Error::create(ErrorCode::eConflict,
                         "intent.settle",
                         aCommand.entryName() + "/" + aCommand.key(),
                         "attempt " + aCommand.attempt() + " does not hold the key");
  }
  if (!isValidTransition(current->outcome(), aCommand.outcome())) {
    return IntentAnswer{ false, true, *current };
  }
  IntentRecord::Fields fields = current->fields();
  fields.outcome = aCommand.outcome();
  if (aCommand.outcome() == IntentOutcome::eDone) {
    fields.answer = aCommand.answer();
  }
  IntentRecord record = buildValue<IntentRecord>(std::move(fields));
  const Name name{ aCommand.entryName(), aCommand.key() };
  put(name, record);
  if (isRemovable(record.outcome())) {
    markRemovable(name);
  }
  return IntentAnswer{ false, true, std::move(record) };
}

void
IntentRegistry::put(const Name& aName, IntentRecord aRecord)
{
  erase(aName);
  mAnswerBytes += answerBytes(aRecord);
  mIntents.emplace(aName, Entry{ std::move(aRecord), 0 });
}

void
IntentRegistry::erase(const Name& aName)
{
  const auto position = mIntents.find(aName);
  if (position == mIntents.end()) {
    return;
  }
  mAnswerBytes -= answerBytes(position->second.mRecord);
  mRemovable.erase(position->second.mRemovalNumber);
  mIntents.erase(position);
}

void
IntentRegistry::markRemovable(const Name& aName)
{
  const auto position = mIntents.find(aName);
  if (position == mIntents.end()) {
    return;
  }
  position->second.mRemovalNumber = mNextRemovalNumber++;
  mRemovable.emplace(position->second.mRemovalNumber, aName);
  while (mRemovable.size() > 1 &&
         (mRemovable.size() > kMaxRemovableIntents || mAnswerBytes > kMaxStoredAnswerBytes)) {
    const Name oldest = mRemovable.begin()->second;
    erase(oldest);
  }
}

const IntentRecord*
IntentRegistry::find(const std::string& aEntryName, const std::string& aKey) const
{
  const auto position = mIntents.find({ aEntryName, aKey });
  return position != mIntents.end() ? &position->second.mRecord : nullptr;
}

} // namespace magnoliadrum
