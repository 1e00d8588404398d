#include "control/PendingProposals.h"

#include <limits>
#include <utility>

namespace magnoliadrum {

namespace {
const char* const kStep = "log.propose";
} // namespace

void
PendingProposals::add(std::int64_t aIndex, std::int64_t aTerm, ProposalCallback aCallback)
{
  mProposals.emplace(aIndex, Proposal{ .term = aTerm, .callback = std::move(aCallback) });
}

std::vector<PendingProposals::CompletedProposal>
PendingProposals::onEntryApplied(std::int64_t aIndex, std::int64_t aTerm)
{
  std::vector<CompletedProposal> completed;
  const auto [first, last] = mProposals.equal_range(aIndex);
  for (auto position = first; position != last; ++position) {
    Proposal& proposal = position->second;
    if (proposal.term == aTerm) {
      completed.push_back({ std::move(proposal.callback), aIndex });
      continue;
    }
    const Error error = Error::create(ErrorCode::eNotLeader,
                                      kStep,
                                      "local",
                                      "an entry of another leader was committed at this index");
    completed.push_back({ std::move(proposal.callback), ProposalFailure{ error, false } });
  }
  mProposals.erase(first, last);
  return completed;
}

std::vector<PendingProposals::CompletedProposal>
PendingProposals::onSnapshotInstalled(std::int64_t aIndex)
{
  return failUpTo(aIndex, "the entry was replaced by the leader's snapshot");
}

void
PendingProposals::setLeader(bool aIsLeader, Deadline aDeadline)
{
  if (mIsLeader && !aIsLeader) {
    mDeadline = aDeadline;
  }
  mIsLeader = aIsLeader;
}

std::vector<PendingProposals::CompletedProposal>
PendingProposals::takeExpired(MonotonicTime aNow)
{
  if (mIsLeader || aNow < mDeadline) {
    return {};
  }
  return failUpTo(std::numeric_limits<std::int64_t>::max(),
                  "the leadership was lost before the entry was committed");
}

std::vector<PendingProposals::CompletedProposal>
PendingProposals::failUpTo(std::int64_t aIndex, const char* aDetail)
{
  std::vector<CompletedProposal> completed;
  const auto end = mProposals.upper_bound(aIndex);
  for (auto position = mProposals.begin(); position != end; ++position) {
    const Error error = Error::create(ErrorCode::eUnavailable, kStep, "local", aDetail);
    completed.push_back({ std::move(position->second.callback), ProposalFailure{ error, true } });
  }
  mProposals.erase(mProposals.begin(), end);
  return completed;
}

} // namespace magnoliadrum
