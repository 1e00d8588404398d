#include "state/Catalogue.h"

#include "state/BuildValue.h"
#include "state/EntryRules.h"

#include <utility>

namespace magnoliadrum {

namespace {

bool
exists(const CatalogueRecord* aRecord)
{
  return aRecord != nullptr && (aRecord->entry() || aRecord->quota());
}

/**
 * Whether the expected version of a change matches the record. A deleted record matches 0, as a
 * record that does not exist, and its own version, for a sender that has read the deletion.
 */
bool
versionMatches(const CatalogueRecord* aRecord, std::int64_t aExpected)
{
  if (aRecord == nullptr) {
    return aExpected == 0;
  }
  return aExpected == aRecord->version() || (!exists(aRecord) && aExpected == 0);
}

} // namespace

Catalogue
Catalogue::fromSnapshot(const StateSnapshot& aSnapshot)
{
  Catalogue catalogue;
  catalogue.mVersion = aSnapshot.catalogueVersion();
  for (const CatalogueRecord& record : aSnapshot.records()) {
    catalogue.mRecords.emplace(record.recordName(), record);
    catalogue.mByVersion.emplace(record.catalogueVersion(), record.recordName());
  }
  for (const ChangeAnswer& answer : aSnapshot.answers()) {
    catalogue.storeAnswer(answer);
  }
  return catalogue;
}

void
Catalogue::writeTo(StateSnapshot::Fields& aSnapshot) const
{
  aSnapshot.catalogueVersion = mVersion;
  for (const auto& [name, record] : mRecords) {
    aSnapshot.records.push_back(record);
  }
  for (const std::string& changeId : mAnswerOrder) {
    aSnapshot.answers.push_back(mAnswers.at(changeId));
  }
}

ChangeAnswer
Catalogue::apply(const CatalogueChange& aChange)
{
  if (const ChangeAnswer* answer = findAnswer(aChange.changeId())) {
    return *answer;
  }
  ChangeAnswer answer = applyNewChange(aChange);
  storeAnswer(answer);
  return answer;
}

std::vector<std::string>
Catalogue::findFaults(const CatalogueChange& aChange) const
{
  std::vector<std::string> faults = findChangeFaults(aChange);
  const CatalogueRecord* record = findRecord(aChange.recordName());
  if (!aChange.entry() && !aChange.quota() && !exists(record)) {
    faults.emplace_back("recordName: does not exist, so it cannot be deleted");
  }
  // The ids and states of existing tasks depend on the kind. To change it, delete the entry first.
  if (aChange.entry() && record != nullptr && record->entry() &&
      record->entry()->kind() != aChange.entry()->kind()) {
    faults.push_back(std::string("entry.kind: cannot change from '") +
                     toText(record->entry()->kind()) + "'");
  }
  return faults;
}

ChangeAnswer
Catalogue::applyNewChange(const CatalogueChange& aChange)
{
  const CatalogueRecord* record = findRecord(aChange.recordName());
  const std::int64_t current = record != nullptr ? record->version() : 0;
  ChangeAnswer::Fields answer{ .changeId = aChange.changeId(),
                               .outcome = ChangeOutcome::eInvalid,
                               .version = current,
                               .catalogueVersion = mVersion };
  if (!versionMatches(record, aChange.expectedVersion())) {
    answer.outcome = ChangeOutcome::eConflict;
    return buildValue<ChangeAnswer>(std::move(answer));
  }
  answer.faults = findFaults(aChange);
  if (!answer.faults.empty()) {
    return buildValue<ChangeAnswer>(std::move(answer));
  }
  if (record != nullptr) {
    mByVersion.erase(record->catalogueVersion());
  }
  mVersion++;
  answer.outcome = ChangeOutcome::eAccepted;
  answer.version = current + 1;
  answer.catalogueVersion = mVersion;
  mRecords.insert_or_assign(aChange.recordName(),
                            buildValue<CatalogueRecord>({ .recordName = aChange.recordName(),
                                                          .version = answer.version,
                                                          .catalogueVersion = mVersion,
                                                          .entry = aChange.entry(),
                                                          .quota = aChange.quota() }));
  mByVersion.emplace(mVersion, aChange.recordName());
  return buildValue<ChangeAnswer>(std::move(answer));
}

void
Catalogue::storeAnswer(const ChangeAnswer& aAnswer)
{
  mAnswers.emplace(aAnswer.changeId(), aAnswer);
  mAnswerOrder.push_back(aAnswer.changeId());
  if (mAnswerOrder.size() > kMaxStoredAnswers) {
    mAnswers.erase(mAnswerOrder.front());
    mAnswerOrder.pop_front();
  }
}

const ChangeAnswer*
Catalogue::findAnswer(const std::string& aChangeId) const
{
  const auto position = mAnswers.find(aChangeId);
  return position != mAnswers.end() ? &position->second : nullptr;
}

const CatalogueRecord*
Catalogue::findRecord(const std::string& aRecordName) const
{
  const auto position = mRecords.find(aRecordName);
  return position != mRecords.end() ? &position->second : nullptr;
}

const CatalogueEntry*
Catalogue::findEntry(const std::string& aName) const
{
  const CatalogueRecord* record = findRecord(aName);
  return record != nullptr && record->entry() ? &*record->entry() : nullptr;
}

const OwnerQuota*
Catalogue::findQuota(const std::string& aOwner) const
{
  const CatalogueRecord* record = findRecord(std::string(kQuotaPrefix) + aOwner);
  return record != nullptr && record->quota() ? &*record->quota() : nullptr;
}

std::vector<CatalogueRecord>
Catalogue::changedSince(std::int64_t aVersion) const
{
  std::vector<CatalogueRecord> changed;
  for (auto position = mByVersion.upper_bound(aVersion); position != mByVersion.end(); position++) {
    changed.push_back(mRecords.at(position->second));
  }
  return changed;
}

} // namespace magnoliadrum
