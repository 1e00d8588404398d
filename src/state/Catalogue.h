#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/** The replicated catalogue and the stored answers to recent changes. */
class Catalogue
{
public:
  /** Maximum number of stored answers. A resent change receives its stored answer. */
  static constexpr std::size_t kMaxStoredAnswers = 20000;

  static Catalogue fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  /** Applies a change, or returns the stored answer if the change id was applied before. */
  ChangeAnswer apply(const CatalogueChange& aChange);

  /**
   * Returns the faults that apply() would report for the current state, each as "PATH: WHAT".
   * A leader uses it to refuse an invalid change without appending a log entry.
   */
  std::vector<std::string> findFaults(const CatalogueChange& aChange) const;

  /** Returns the stored answer to a change id; null when there is none. */
  const ChangeAnswer* findAnswer(const std::string& aChangeId) const;

  std::int64_t version() const { return mVersion; }

  /** All records by name, including deleted ones. */
  const std::map<std::string, CatalogueRecord>& records() const { return mRecords; }

  /** Returns the record of a name, also if it is deleted; null if the name never existed. */
  const CatalogueRecord* findRecord(const std::string& aRecordName) const;

  /** Returns an existing entry; null when there is none. */
  const CatalogueEntry* findEntry(const std::string& aName) const;

  /** Returns an owner's quota; null when there is none. */
  const OwnerQuota* findQuota(const std::string& aOwner) const;

  /** Returns the records that changed after aVersion, ordered by catalogue version. */
  std::vector<CatalogueRecord> changedSince(std::int64_t aVersion) const;

private:
  ChangeAnswer applyNewChange(const CatalogueChange& aChange);
  void storeAnswer(const ChangeAnswer& aAnswer);

  std::int64_t mVersion = 0;
  std::map<std::string, CatalogueRecord> mRecords;
  /** Record names by the catalogue version of their last change. */
  std::map<std::int64_t, std::string> mByVersion;
  std::unordered_map<std::string, ChangeAnswer> mAnswers;
  std::deque<std::string> mAnswerOrder;
};

} // namespace magnoliadrum
