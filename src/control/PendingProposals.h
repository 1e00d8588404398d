#pragma once

#include "control/Replicator.h"

#include <map>

namespace magnoliadrum {

/** The proposals that this replica has appended to its log and whose outcome is still unknown. */
class PendingProposals
{
public:
  /** The callback of a completed proposal and its result, to be called when no other work is in
   * progress. */
  struct CompletedProposal
  {
    ProposalCallback callback;
    ProposalResult result;
  };

  void add(std::int64_t aIndex, std::int64_t aTerm, ProposalCallback aCallback);

  /** Returns the proposals at the index of an applied entry. Those of another term have failed. */
  std::vector<CompletedProposal> onEntryApplied(std::int64_t aIndex, std::int64_t aTerm);

  /** Returns the proposals up to aIndex, which fail with an unknown outcome: a snapshot replaced
   * their entries, so their outcome can no longer be determined. */
  std::vector<CompletedProposal> onSnapshotInstalled(std::int64_t aIndex);

  /**
   * Sets whether this replica is the leader. The next leader may still commit the proposals of a
   * former leader, so they fail with an unknown outcome only after aDeadline.
   */
  void setLeader(bool aIsLeader, Deadline aDeadline);

  /** Returns the proposals that fail because the deadline after a lost leadership has passed. */
  std::vector<CompletedProposal> takeExpired(MonotonicTime aNow);

  std::size_t size() const { return mProposals.size(); }

private:
  struct Proposal
  {
    std::int64_t term = 0;
    ProposalCallback callback;
  };

  std::vector<CompletedProposal> failUpTo(std::int64_t aIndex, const char* aDetail);

  /** By log index. The proposal of a truncated entry stays, so an index may have several. */
  std::multimap<std::int64_t, Proposal> mProposals;
  bool mIsLeader = false;
  Deadline mDeadline;
};

} // namespace magnoliadrum
