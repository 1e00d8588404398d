#include "session/CatalogueCopy.h"

namespace magnoliadrum {

namespace {
constexpr const char* kQuotaPrefix = "quota:";
} // namespace

bool
CatalogueCopy::apply(const CatalogueUpdate& aUpdate)
{
  if (aUpdate.term() < mTerm) {
    return false;
  }
  const bool isNewer = aUpdate.toVersion() > mVersion || !mLoaded;
  const bool isApplicable = aUpdate.complete() || (mLoaded && aUpdate.fromVersion() == mVersion);
  if (!isNewer || !isApplicable) {
    return false;
  }
  if (aUpdate.complete()) {
    mRecords.clear();
  }
  for (const CatalogueRecord& record : aUpdate.records()) {
    mRecords.insert_or_assign(record.recordName(), record);
  }
  mTerm = aUpdate.term();
  mVersion = aUpdate.toVersion();
  mLoaded = true;
  return true;
}

const CatalogueEntry*
CatalogueCopy::findEntry(const std::string& aName) const
{
  const auto position = mRecords.find(aName);
  if (position == mRecords.end() || !position->second.entry()) {
    return nullptr;
  }
  return &*position->second.entry();
}

const OwnerQuota*
CatalogueCopy::findQuota(const std::string& aOwner) const
{
  const auto position = mRecords.find(kQuotaPrefix + aOwner);
  if (position == mRecords.end() || !position->second.quota()) {
    return nullptr;
  }
  return &*position->second.quota();
}

} // namespace magnoliadrum
