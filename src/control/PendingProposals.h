#pragma once

#include "control/Replicator.h"

#include <map>

namespace magnoliadrum {

/** The proposals of this replica that are in its log and whose outcome is not known yet. */
class PendingProposals
{
public:
  /** A callback with its result, to be called when no other work is under way. */
  struct Settled
  {
    ProposalCallback callback;
    ProposalResult result;
  };

  void add(std::int64_t aIndex, std::int64_t aTerm, ProposalCallback aCallback);

  /** An entry was applied. Returns the proposals at its index; those of another term failed. */
  std::vector<Settled> applied(std::int64_t aIndex, std::int64_t aTerm);

  /** A snapshot replaced the entries up to aIndex, so their outcome can no longer be known. */
  std::vector<Settled> replacedUpTo(std::int64_t aIndex);

  /**
   * Tells whether this replica leads. A proposal of a former leader may still be committed by the
   * next one, so it waits until aDeadline before it is given up as unknown.
   */
  void setLeads(bool aLeads, Deadline aDeadline);

  /** Returns the proposals that are given up. */
  std::vector<Settled> expired(MonotonicTime aNow);

  std::size_t size() const { return mProposals.size(); }

private:
  struct Proposal
  {
    std::int64_t term = 0;
    ProposalCallback callback;
  };

  std::vector<Settled> failUpTo(std::int64_t aIndex, const char* aDetail);

  /** By index. A truncated entry leaves its proposal behind, so there may be several of one index.
   */
  std::multimap<std::int64_t, Proposal> mProposals;
  bool mIsLeader = false;
  Deadline mDeadline;
};

} // namespace magnoliadrum
