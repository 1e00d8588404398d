#pragma once

#include "control/SessionService.h"
#include "placement/placement.h"
#include "state/state.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Feeds the placement policy with what has changed since its last round.
 *
 * The policy lives as long as one leadership; its first round gets the whole state.
 */
class PlacementRound
{
public:
  PlacementRound(const PolicySettings& aSettings, std::uint64_t aSeed);

  void startTerm();
  void endTerm() { mPolicy.reset(); }

  void noteTask(const std::string& aTaskId) { mTasks.insert(aTaskId); }
  void noteSession(std::int64_t aSession) { mSessions.insert(aSession); }
  void noteRecord(const std::string& aRecordName) { mRecords.insert(aRecordName); }
  void noteObservation(ServiceObservation aObservation);

  /** Returns the decisions of a round. Precondition: a term has started. */
  std::vector<PlacementDecision> decide(const ControlState& aState,
                                        const std::map<std::int64_t, LiveSession>& aLive,
                                        MonotonicTime aNow);

private:
  PlacementView completeView(const ControlState& aState,
                             const std::map<std::int64_t, LiveSession>& aLive) const;
  PlacementView changesView(const ControlState& aState,
                            const std::map<std::int64_t, LiveSession>& aLive) const;

  PolicySettings mSettings;
  std::uint64_t mSeed;
  std::unique_ptr<PlacementPolicy> mPolicy;
  bool mFirst = true;
  std::set<std::string> mTasks;
  std::set<std::int64_t> mSessions;
  std::set<std::string> mRecords;
  std::vector<ServiceObservation> mObservations;
};

} // namespace magnoliadrum
