#include "consensus/ReplicatedLog.h"

#include "consensus/GroupMembership.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>

namespace magnoliadrum {

std::int64_t
ReplicatedLog::lastIndex() const
{
  return mBaseIndex + static_cast<std::int64_t>(mEntries.size());
}

std::int64_t
ReplicatedLog::lastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().term();
}

std::optional<std::int64_t>
ReplicatedLog::termAt(std::int64_t aIndex) const
{
  if (aIndex == mBaseIndex) {
    return mBaseTerm;
  }
  if (aIndex < mBaseIndex || aIndex > lastIndex()) {
    return std::nullopt;
  }
  return at(aIndex).term();
}

const LogEntry&
ReplicatedLog::at(std::int64_t aIndex) const
{
  assert(aIndex > mBaseIndex && aIndex <= lastIndex());
  return mEntries[static_cast<std::size_t>(aIndex - mBaseIndex - 1)];
}

std::vector<LogEntry>
ReplicatedLog::slice(std::int64_t aFirst, std::size_t aMaxEntries, std::size_t aMaxBytes) const
{
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  for (std::int64_t index = aFirst; index <= lastIndex() && entries.size() < aMaxEntries; index++) {
    const LogEntry& entry = at(index);
    bytes += entry.data().size();
    if (!entries.empty() && bytes > aMaxBytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

std::vector<LogEntry>
ReplicatedLog::range(std::int64_t aFirst, std::int64_t aLast) const
{
  if (aFirst > aLast) {
    return {};
  }
  const std::size_t count = static_cast<std::size_t>(aLast - aFirst + 1);
  return slice(aFirst, count, std::numeric_limits<std::size_t>::max());
}

void
ReplicatedLog::append(LogEntry aEntry)
{
  assert(aEntry.index() == lastIndex() + 1);
  assert(aEntry.term() >= lastTerm());
  if (aEntry.kind() == LogEntryKind::eConfiguration) {
    Result<GroupConfiguration> configuration = decodeConfiguration(aEntry.data(), "local");
    assert(isOk(configuration));
    mConfigurations[aEntry.index()] = takeValue(std::move(configuration));
  }
  mDataBytes += aEntry.data().size();
  mEntries.push_back(std::move(aEntry));
}

void
ReplicatedLog::truncateFrom(std::int64_t aIndex)
{
  assert(aIndex > mBaseIndex);
  while (lastIndex() >= aIndex) {
    mDataBytes -= mEntries.back().data().size();
    mEntries.pop_back();
  }
  mConfigurations.erase(mConfigurations.lower_bound(aIndex), mConfigurations.end());
}

void
ReplicatedLog::compact(std::int64_t aIndex)
{
  if (aIndex <= mBaseIndex) {
    return;
  }
  const std::optional<std::int64_t> term = termAt(aIndex);
  assert(term.has_value());
  while (mBaseIndex < aIndex) {
    mDataBytes -= mEntries.front().data().size();
    mEntries.pop_front();
    mBaseIndex++;
  }
  mBaseTerm = *term;
  const auto inEffect = std::prev(mConfigurations.upper_bound(aIndex));
  mConfigurations.erase(mConfigurations.begin(), inEffect);
}

void
ReplicatedLog::reset(std::int64_t aIndex,
                     std::int64_t aTerm,
                     const GroupConfiguration& aConfiguration)
{
  mEntries.clear();
  mDataBytes = 0;
  mBaseIndex = aIndex;
  mBaseTerm = aTerm;
  mConfigurations = { { aIndex, aConfiguration } };
}

const GroupConfiguration&
ReplicatedLog::configuration() const
{
  return mConfigurations.rbegin()->second;
}

std::int64_t
ReplicatedLog::configurationIndex() const
{
  return mConfigurations.rbegin()->first;
}

const GroupConfiguration&
ReplicatedLog::configurationAt(std::int64_t aIndex) const
{
  const auto after = mConfigurations.upper_bound(aIndex);
  assert(after != mConfigurations.begin());
  return std::prev(after)->second;
}

std::int64_t
ReplicatedLog::conflictHint(std::int64_t aPreviousIndex,
                            std::int64_t aPreviousTerm,
                            std::int64_t aFloor) const
{
  if (aPreviousIndex > lastIndex()) {
    return lastIndex();
  }
  // The leader's entries up to aPreviousIndex have terms of at most aPreviousTerm, so entries of a
  // higher term cannot match. Otherwise the whole conflicting term is skipped, which bounds the
  // number of attempts by the number of terms.
  const std::int64_t conflicting = termAt(aPreviousIndex).value_or(0);
  const std::int64_t limit = std::min(conflicting - 1, aPreviousTerm);
  std::int64_t index = aPreviousIndex - 1;
  while (index > aFloor && index > mBaseIndex && at(index).term() > limit) {
    index--;
  }
  return std::max(index, aFloor);
}

} // namespace magnoliadrum
