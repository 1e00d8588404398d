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
 * Runs the rounds of the placement policy with the changes since the previous round.
 *
 * Each leadership has a policy of its own, whose first round gets the complete state.
 */
class PlacementDriver
{
public:
  PlacementDriver(const PolicySettings& aSettings, std::uint64_t aSeed);

  void startTerm();
  void endTerm() { mPolicy.reset(); }

  void markTaskChanged(const std::string& aTaskId) { mChangedTasks.insert(aTaskId); }
  void markSessionChanged(std::int64_t aSession) { mChangedSessions.insert(aSession); }
  void markRecordChanged(const std::string& aRecordName) { mChangedRecords.insert(aRecordName); }
  void addObservation(ServiceObservation aObservation);

  /** Runs a round and returns its decisions. Precondition: a term has started. */
  std::vector<PlacementDecision> decide(const ControlState& aState,
                                        const std::map<std::int64_t, LiveSession>& aLiveSessions,
                                        MonotonicTime aNow);

private:
  PlacementView buildFullView(const ControlState& aState,
                              const std::map<std::int64_t, LiveSession>& aLiveSessions) const;
  PlacementView buildDeltaView(const ControlState& aState,
                               const std::map<std::int64_t, LiveSession>& aLiveSessions) const;

  PolicySettings mSettings;
  std::uint64_t mSeed;
  std::unique_ptr<PlacementPolicy> mPolicy;
  bool mIsFirstRound = true;
  std::set<std::string> mChangedTasks;
  std::set<std::int64_t> mChangedSessions;
  std::set<std::string> mChangedRecords;
  std::vector<ServiceObservation> mObservations;
};

} // namespace magnoliadrum
