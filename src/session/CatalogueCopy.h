#pragma once

#include "generated/MessagesTypes.h"

#include <map>
#include <string>

namespace magnoliadrum {

/** A process's copy of the committed catalogue. Its version never goes back. */
class CatalogueCopy
{
public:
  /**
   * Applies an update. Returns false, and changes nothing, when it comes from an older term, does
   * not follow the version of this copy, or is not newer.
   */
  bool apply(const CatalogueUpdate& aUpdate);

  /** Version of the whole catalogue; 0 before the first update. */
  std::int64_t version() const { return mVersion; }

  /** Whether an update was ever applied. */
  bool isLoaded() const { return mLoaded; }

  /** Returns an entry that exists, or null. */
  const CatalogueEntry* findEntry(const std::string& aName) const;

  /** Returns the quota of an owner, or null. */
  const OwnerQuota* findQuota(const std::string& aOwner) const;

  /** All records, deleted ones included, by name. */
  const std::map<std::string, CatalogueRecord>& records() const { return mRecords; }

private:
  std::map<std::string, CatalogueRecord> mRecords;
  std::int64_t mVersion = 0;
  std::int64_t mTerm = 0;
  bool mLoaded = false;
};

} // namespace magnoliadrum
