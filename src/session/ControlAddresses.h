#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * The addresses (IP:port) at which a process looks for the control leader, in turn: first those
 * that the last leader named, then those of the settings. Both may be out of date, since any VM of
 * the control group may be replaced while the process runs, so neither replaces the other.
 */
class ControlAddresses
{
public:
  /** Replaces the addresses of the settings. */
  void setConfigured(std::vector<std::string> aAddresses);

  /** Replaces the addresses that a leader has named. */
  void setLearned(std::vector<std::string> aAddresses);

  /** Returns the next address to try. Precondition: there is one. */
  std::string takeNext();

  /** A leader has answered, so a new round begins. */
  void onLeaderFound() { mTriedCount = 0; }

  /** Whether each address was tried since a leader last answered or the last new round. */
  bool hasTriedAll() const { return mTriedCount >= mCandidates.size(); }

  /** Begins a new round, after the settings were read again. */
  void beginRound() { mTriedCount = 0; }

  bool isEmpty() const { return mCandidates.empty(); }
  const std::vector<std::string>& configured() const { return mConfigured; }

private:
  void rebuild();

  std::vector<std::string> mConfigured;
  std::vector<std::string> mLearned;
  /** Learned and configured addresses without duplicates. */
  std::vector<std::string> mCandidates;
  std::size_t mNext = 0;
  std::size_t mTriedCount = 0;
};

} // namespace magnoliadrum
