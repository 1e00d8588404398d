#pragma once

#include "generated/MessagesTypes.h"

#include <map>
#include <string>

namespace magnoliadrum {

/** A process's copy of the committed catalogue. Its version never decreases. */
class CatalogueCopy
{
public:
  /**
   * Applies a complete or an incremental update. Returns false and leaves the copy unchanged when
   * the update has an older term, is not newer than a loaded copy, or is incremental and does not
   * start at the version of a loaded copy.
   */
  bool apply(const CatalogueUpdate& aUpdate);

  /** Version of the whole catalogue; 0 before the first update. */
  std::int64_t version() const { return mVersion; }

  /** Whether an update has been applied. */
  bool isLoaded() const { return mLoaded; }

  /** Returns the entry, or null when it does not exist or is deleted. */
  const CatalogueEntry* findEntry(const std::string& aName) const;

  /** Returns the quota of an owner, or null when it has none. */
  const OwnerQuota* findQuota(const std::string& aOwner) const;

  /** All records by name, including those of deleted entries and quotas. */
  const std::map<std::string, CatalogueRecord>& records() const { return mRecords; }

private:
  std::map<std::string, CatalogueRecord> mRecords;
  std::int64_t mVersion = 0;
  std::int64_t mTerm = 0;
  bool mLoaded = false;
};

} // namespace magnoliadrum
