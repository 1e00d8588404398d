#include "storage/MemoryFileOperations_test.h"
#include "storage/RecordFormat.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

using namespace magnoliadrum;

namespace {

LogEntry
entry(std::int64_t aIndex, std::int64_t aTerm)
{
  const std::string data("\x00\xff", 2);
  return valueOf(
    LogEntry::create({ .index = aIndex, .term = aTerm, .data = data + std::string(20, 'x') }));
}

HardState
hardState(std::int64_t aTerm)
{
  return valueOf(HardState::create({ .term = aTerm, .votedFor = "r" + std::to_string(aTerm) }));
}

/** The expected content of a log. */
struct ExpectedLog
{
  HardState state;
  std::int64_t compactedIndex = 0;
  std::int64_t lastIndex = 0;
  std::map<std::int64_t, LogEntry> entries;

  void append(const std::optional<HardState>& aState, const std::vector<LogEntry>& aEntries)
  {
    state = aState.value_or(state);
    for (const LogEntry& item : aEntries) {
      entries.erase(entries.lower_bound(item.index()), entries.end());
      entries[item.index()] = item;
      lastIndex = item.index();
    }
  }

  bool matches(const StoredLog& aStored) const
  {
    std::map<std::int64_t, LogEntry> stored;
    for (const LogEntry& item : aStored.entries) {
      stored[item.index()] = item;
    }
    stored.erase(stored.begin(), stored.upper_bound(compactedIndex));
    return aStored.hardState == state && stored == entries &&
           aStored.baseIndex + std::ssize(aStored.entries) == lastIndex;
  }
};

constexpr std::int64_t kSmallSegmentBytes = 300;
constexpr int kWorkloadSteps = 24;

/** Runs one step of the workload on the expected log and, unless it is null, on the store. */
Result<Done>
runWorkloadStep(int aStep, LogStore* aStore, ExpectedLog& aExpected)
{
  const std::int64_t nextIndex = aExpected.lastIndex + 1;
  if (aStep == 20) {
    aExpected = { .state = aExpected.state, .compactedIndex = 40, .lastIndex = 40, .entries = {} };
    return aStore == nullptr ? Done{} : aStore->reset(40, 5);
  }
  if (aStep % 9 == 8) {
    aExpected.compactedIndex = aExpected.lastIndex - 2;
    aExpected.entries.erase(aExpected.entries.begin(),
                            aExpected.entries.upper_bound(aExpected.compactedIndex));
    return aStore == nullptr ? Done{} : aStore->compact(aExpected.compactedIndex);
  }
  const std::int64_t term = aStep / 4 + 1;
  const std::optional<HardState> state =
    aStep % 4 == 0 ? std::optional(hardState(term)) : std::nullopt;
  std::vector<LogEntry> entries = { entry(nextIndex, term), entry(nextIndex + 1, term) };
  if (aStep % 7 == 6) {
    // Replaces a conflicting suffix.
    entries = { entry(nextIndex - 2, term) };
  }
  aExpected.append(state, entries);
  return aStore == nullptr ? Done{} : aStore->append(state, entries);
}

/**
 * Guards against lost or partly stored data after a failed file change and a crash. Sets
 * aReachedEnd to whether the workload completed without a failure.
 */
void
testFailureAtChange(int aChange, UnsyncedBytes aUnsynced, bool& aReachedEnd)
{
  MemoryFileOperations files;
  ExpectedLog beforeStep;
  ExpectedLog afterStep;
  files.failAtChange(aChange);
  aReachedEnd = false;
  const auto opened = LogStore::open(files, kTestFolder, kSmallSegmentBytes);
  if (isOk(opened)) {
    LogStore& store = *valueOf(opened);
    aReachedEnd = true;
    for (int step = 0; step < kWorkloadSteps && aReachedEnd; step++) {
      beforeStep = afterStep;
      aReachedEnd = isOk(runWorkloadStep(step, &store, afterStep));
    }
    if (!aReachedEnd) {
      const int changesAtFailure = files.changeCount();
      BOOST_TEST(!isOk(store.append(hardState(99), {})));
      BOOST_TEST(!isOk(store.reset(99, 9)));
      BOOST_TEST(files.changeCount() == changesAtFailure, "the store wrote after a failure");
    }
  }
  files.crash(aUnsynced);
  const auto reopened = LogStore::open(files, kTestFolder, kSmallSegmentBytes);
  BOOST_REQUIRE_MESSAGE(isOk(reopened), errorText(reopened));
  const StoredLog stored = valueOf(reopened)->takeLoaded();
  BOOST_TEST((afterStep.matches(stored) || (!aReachedEnd && beforeStep.matches(stored))));
}

std::vector<LogEntry>
loadEntries(MemoryFileOperations& aFiles)
{
  const auto store = LogStore::open(aFiles, kTestFolder);
  BOOST_REQUIRE_MESSAGE(isOk(store), errorText(store));
  return valueOf(store)->takeLoaded().entries;
}

/** Writes three records of one entry each to one segment; returns the file size after each. */
std::vector<std::size_t>
writeThreeRecords(MemoryFileOperations& aFiles)
{
  const auto store = LogStore::open(aFiles, kTestFolder);
  std::vector<std::size_t> recordEnds;
  for (std::int64_t index = 1; index <= 3; index++) {
    BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { entry(index, 1) })));
    recordEnds.push_back(aFiles.content(aFiles.lastPath()).size());
  }
  return recordEnds;
}

} // namespace

BOOST_AUTO_TEST_CASE(log_survives_a_failure_of_every_file_change)
{
  for (const UnsyncedBytes unsynced : kAllUnsyncedBytes) {
    bool reachedEnd = false;
    int change = 1;
    for (; !reachedEnd; change++) {
      BOOST_TEST_CONTEXT("change " << change << ", unsynced " << static_cast<int>(unsynced))
      {
        testFailureAtChange(change, unsynced, reachedEnd);
      }
    }
    BOOST_TEST(change > 60, "the workload made only " << change << " changes");
  }
}

// Guards against lost entries when reopening the store fails while it removes a torn tail.
BOOST_AUTO_TEST_CASE(log_survives_a_failure_of_every_file_change_during_a_restart)
{
  for (int change = 1; change < 12; change++) {
    MemoryFileOperations files;
    const std::vector<std::size_t> recordEnds = writeThreeRecords(files);
    files.content(files.lastPath()).resize(recordEnds.back() - 1);
    files.crash(UnsyncedBytes::eKept);
    files.failAtChange(change);
    LogStore::open(files, kTestFolder);
    files.crash(UnsyncedBytes::eHalf);
    BOOST_TEST(loadEntries(files).size() == 2u, "change " << change);
  }
}

// Guards against the loss of records that were written but not synced when the process was killed:
// the next process reads them and appends to the log, so a later power loss must not remove them.
BOOST_AUTO_TEST_CASE(records_read_after_a_restart_survive_a_power_loss)
{
  MemoryFileOperations files;
  {
    const auto store = LogStore::open(files, kTestFolder);
    BOOST_REQUIRE(isOk(valueOf(store)->append(hardState(1), { entry(1, 1) })));
    constexpr int kSyncOfAppend = 2;
    files.failAtChange(kSyncOfAppend);
    BOOST_REQUIRE(!isOk(valueOf(store)->append(std::nullopt, { entry(2, 1) })));
  }
  files.failAtChange(0);
  {
    const auto store = LogStore::open(files, kTestFolder);
    BOOST_REQUIRE(valueOf(store)->takeLoaded().entries.size() == 2u);
    BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { entry(3, 1) })));
  }
  files.crash(UnsyncedBytes::eLost);
  BOOST_TEST(loadEntries(files).size() == 3u);
}

BOOST_AUTO_TEST_CASE(torn_tail_at_any_byte_is_removed)
{
  MemoryFileOperations original;
  const std::vector<std::size_t> recordEnds = writeThreeRecords(original);
  const std::string path = original.lastPath();
  const std::string intactContent = original.content(path);
  for (std::size_t size = 0; size <= intactContent.size(); size++) {
    for (const bool zeros : { false, true }) {
      MemoryFileOperations files;
      files.open(path);
      // A file system may extend the file with zeros before it writes the data.
      files.content(path) = intactContent.substr(0, size) + std::string(zeros ? 40 : 0, '\0');
      const auto complete =
        std::count_if(recordEnds.begin(), recordEnds.end(), [&](std::size_t aRecordEnd) {
          return aRecordEnd <= size;
        });
      BOOST_TEST(std::ssize(loadEntries(files)) == complete, "size " << size);
      const auto store = LogStore::open(files, kTestFolder);
      BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { entry(complete + 1, 7) })));
      BOOST_TEST(std::ssize(loadEntries(files)) == complete + 1, "size " << size);
    }
  }
}

// Guards against a start with a gap in the log and against changed data that is accepted as valid.
BOOST_AUTO_TEST_CASE(changed_byte_at_any_position_is_detected)
{
  MemoryFileOperations original;
  const std::vector<std::size_t> recordEnds = writeThreeRecords(original);
  const std::string path = original.lastPath();
  const std::string intactContent = original.content(path);
  for (std::size_t position = 0; position < intactContent.size(); position++) {
    for (const bool laterSegment : { false, true }) {
      MemoryFileOperations files;
      files.open(path);
      files.content(path) = intactContent;
      if (laterSegment) {
        BOOST_REQUIRE(isOk(LogStore::open(files, kTestFolder)));
      }
      files.content(path)[position] ^= 0x10;
      const auto store = LogStore::open(files, kTestFolder);
      if (position >= recordEnds[1] && !laterSegment) {
        // A corrupt last record cannot be distinguished from a torn one.
        BOOST_REQUIRE(isOk(store));
        BOOST_TEST(valueOf(store)->takeLoaded().entries.size() == 2u);
        continue;
      }
      BOOST_REQUIRE_MESSAGE(!isOk(store), "byte " << position);
      BOOST_TEST((errorOf(store).code() == ErrorCode::eCorrupt));
      BOOST_TEST(errorOf(store).peer() == path);
    }
  }
}

// Guards against a torn tail that is reported as corruption because its data contains a record.
BOOST_AUTO_TEST_CASE(record_inside_the_data_of_a_torn_record_is_ignored)
{
  MemoryFileOperations files;
  const auto store = LogStore::open(files, kTestFolder);
  const std::string data = encodeRecord(1, 0, "payload") + std::string(10, 'x');
  const LogEntry large = valueOf(LogEntry::create({ .index = 1, .term = 1, .data = data }));
  BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { large })));
  std::string& content = files.content(files.lastPath());
  content.resize(content.size() - 5);
  BOOST_TEST(loadEntries(files).empty());
}

BOOST_AUTO_TEST_CASE(missing_segment_is_reported_as_corruption)
{
  MemoryFileOperations files;
  for (int start = 0; start < 3; start++) {
    BOOST_REQUIRE(isOk(LogStore::open(files, kTestFolder)));
  }
  files.remove(joinPath(kTestFolder, "log-00000000000000000002"));
  const auto store = LogStore::open(files, kTestFolder);
  BOOST_REQUIRE(!isOk(store));
  BOOST_TEST((errorOf(store).code() == ErrorCode::eCorrupt));
}

BOOST_AUTO_TEST_CASE(log_and_identity_are_restored_from_files_on_disk)
{
  const std::filesystem::path root =
    std::filesystem::temp_directory_path() / ("storage_test." + std::to_string(getpid()));
  const std::string folder = (root / "a" / "b").string();
  PosixFileOperations files;
  {
    const auto identity = IdentityFile::create(files, folder);
    BOOST_REQUIRE_MESSAGE(isOk(identity), errorText(identity));
    const auto log = LogStore::open(files, folder, kSmallSegmentBytes);
    ExpectedLog expected;
    for (int step = 0; step < kWorkloadSteps; step++) {
      BOOST_REQUIRE(isOk(runWorkloadStep(step, valueOf(log).get(), expected)));
    }
    const auto reopened = LogStore::open(files, folder);
    BOOST_REQUIRE_MESSAGE(isOk(reopened), errorText(reopened));
    BOOST_TEST(expected.matches(valueOf(reopened)->takeLoaded()));
    BOOST_TEST((valueOf(IdentityFile::load(files, folder)) == valueOf(identity)));
  }
  std::filesystem::remove_all(root);
}
