#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/** The replicated catalogue with the answers to recent changes. */
class Catalogue
{
public:
  /** Answers that are kept, so that a resend of a change gets the first answer. */
  static constexpr std::size_t kMaxStoredAnswers = 20000;

  static Catalogue fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  /** Applies a change, or returns the stored answer when its id is known. */
  ChangeAnswer apply(const CatalogueChange& aChange);

  /**
   * Returns the faults that apply() would answer now, each as "PATH: WHAT". Lets a leader refuse
   * an invalid change without a log entry.
   */
  std::vector<std::string> findFaults(const CatalogueChange& aChange) const;

  /** Returns the stored answer to a change id; null when there is none. */
  const ChangeAnswer* findAnswer(const std::string& aChangeId) const;

  std::int64_t version() const { return mVersion; }

  /** All records by name, with the deleted ones. */
  const std::map<std::string, CatalogueRecord>& records() const { return mRecords; }

  /** Returns the record of an existing or deleted name; null when there never was one. */
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
