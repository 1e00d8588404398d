#pragma once

#include "generated/generated.h"
#include "state/Outcome.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace magnoliadrum {

/**
 * The intents of non-repeatable requests by entry and idempotency key.
 *
 * A key belongs to the attempt that opened it until the attempt is settled as not run. Open and
 * unknown intents are kept until they are settled. Done and not-run intents are removable: the
 * oldest are removed when kMaxRemovableIntents or kMaxStoredAnswerBytes is exceeded, because a
 * snapshot holds all intents in memory. The most recent one always stays.
 */
class IntentRegistry
{
public:
  static constexpr std::size_t kMaxRemovableIntents = 100000;
  static constexpr std::size_t kMaxStoredAnswerBytes = std::size_t{ 64 } * 1024 * 1024;

  static IntentRegistry fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  /** Grants a key that is free or that the same attempt holds open; returns IntentAnswer. */
  Outcome open(const OpenIntent& aCommand);

  /** Records the outcome of the attempt that holds the key; returns IntentAnswer or an Error. */
  Outcome settle(const SettleIntent& aCommand);

  /** Returns the record under a key; null when there is none. */
  const IntentRecord* find(const std::string& aEntryName, const std::string& aKey) const;

  std::size_t size() const { return mIntents.size(); }

private:
  using Name = std::pair<std::string, std::string>;

  struct Entry
  {
    IntentRecord mRecord;
    /** Key in mRemovable; 0 if the intent is not removable. */
    std::int64_t mRemovalNumber = 0;
  };

  void put(const Name& aName, IntentRecord aRecord);
  void erase(const Name& aName);
  void markRemovable(const Name& aName);

  std::map<Name, Entry> mIntents;
  /** Removable intents in the order in which they were settled. */
  std::map<std::int64_t, Name> mRemovable;
  std::int64_t mNextRemovalNumber = 1;
  std::size_t mAnswerBytes = 0;
};

} // namespace magnoliadrum
