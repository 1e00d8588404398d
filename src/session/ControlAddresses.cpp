#include "session/ControlAddresses.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace magnoliadrum {

void
ControlAddresses::setConfigured(std::vector<std::string> aAddresses)
{
  if (aAddresses != mConfigured) {
    mConfigured = std::move(aAddresses);
    rebuild();
  }
}

void
ControlAddresses::setLearned(std::vector<std::string> aAddresses)
{
  if (aAddresses != mLearned) {
    mLearned = std::move(aAddresses);
    rebuild();
  }
}

void
ControlAddresses::rebuild()
{
  mCandidates.clear();
  for (const std::vector<std::string>* source : { &mLearned, &mConfigured }) {
    for (const std::string& address : *source) {
      if (std::find(mCandidates.begin(), mCandidates.end(), address) == mCandidates.end()) {
        mCandidates.push_back(address);
      }
    }
  }
  mNext = 0;
  mTriedCount = 0;
}

std::string
ControlAddresses::takeNext()
{
  assert(!mCandidates.empty());
  mTriedCount++;
  return mCandidates[mNext++ % mCandidates.size()];
}

} // namespace magnoliadrum
