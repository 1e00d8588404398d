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

/** What a log must hold. */
struct ExpectedLog
{
  HardState state;
  std::int64_t compacted = 0;
  std::int64_t last = 0;
  std::map<std::int64_t, LogEntry> entries;

  void append(const std::optional<HardState>& aState, const std::vector<LogEntry>& aEntries)
  {
    state = aState.value_or(state);
    for (const LogEntry& item : aEntries) {
      entries.erase(entries.lower_bound(item.index()), entries.end());
      entries[item.index()] = item;
      last = item.index();
    }
  }

  bool matches(const StoredLog& aStored) const
  {
    std::map<std::int64_t, LogEntry> stored;
    for (const LogEntry& item : aStored.entries) {
      stored[item.index()] = item;
    }
    stored.erase(stored.begin(), stored.upper_bound(compacted));
    return aStored.hardState == state && stored == entries &&
           aStored.baseIndex + std::ssize(aStored.entries) == last;
  }
};

constexpr std::int64_t kSmallSegmentBytes = 300;
constexpr int kLogSteps = 24;

/** Runs one step of the workload on a store, or only on the expectation when there is no store. */
Result<Done>
logStep(int aStep, LogStore* aStore, ExpectedLog& aExpected)
{
  const std::int64_t next = aExpected.last + 1;
  if (aStep == 20) {
    aExpected = { .state = aExpected.state, .compacted = 40, .last = 40, .entries = {} };
    return aStore == nullptr ? Done{} : aStore->reset(40, 5);
  }
  if (aStep % 9 == 8) {
    aExpected.compacted = aExpected.last - 2;
    aExpected.entries.erase(aExpected.entries.begin(),
                            aExpected.entries.upper_bound(aExpected.compacted));
    return aStore == nullptr ? Done{} : aStore->compact(aExpected.compacted);
  }
  const std::int64_t term = aStep / 4 + 1;
  const std::optional<HardState> state =
    aStep % 4 == 0 ? std::optional(hardState(term)) : std::nullopt;
  std::vector<LogEntry> entries = { entry(next, term), entry(next + 1, term) };
  if (aStep % 7 == 6) {
    // Replaces a conflicting suffix.
    entries = { entry(next - 2, term) };
  }
  aExpected.append(state, entries);
  return aStore == nullptr ? Done{} : aStore->append(state, entries);
}

/** Guards against data that is lost or half there after a failure at any call, and a crash. */
void
failLogAt(int aCall, Unsynced aUnsynced, bool& aReachedEnd)
{
  MemoryFileOperations files;
  ExpectedLog before;
  ExpectedLog after;
  files.failAt(aCall);
  aReachedEnd = false;
  const auto opened = LogStore::open(files, kFolder, kSmallSegmentBytes);
  if (isOk(opened)) {
    LogStore& store = *valueOf(opened);
    aReachedEnd = true;
    for (int step = 0; step < kLogSteps && aReachedEnd; step++) {
      before = after;
      aReachedEnd = isOk(logStep(step, &store, after));
    }
    if (!aReachedEnd) {
      const int calls = files.changes();
      BOOST_TEST(!isOk(store.append(hardState(99), {})));
      BOOST_TEST(!isOk(store.reset(99, 9)));
      BOOST_TEST(files.changes() == calls, "the store wrote after a failure");
    }
  }
  files.crash(aUnsynced);
  const auto reopened = LogStore::open(files, kFolder, kSmallSegmentBytes);
  BOOST_REQUIRE_MESSAGE(isOk(reopened), textOf(reopened));
  const StoredLog stored = valueOf(reopened)->takeLoaded();
  BOOST_TEST((after.matches(stored) || (!aReachedEnd && before.matches(stored))));
}

std::vector<LogEntry>
loadedEntries(MemoryFileOperations& aFiles)
{
  const auto store = LogStore::open(aFiles, kFolder);
  BOOST_REQUIRE_MESSAGE(isOk(store), textOf(store));
  return valueOf(store)->takeLoaded().entries;
}

/** A log of one segment with three records of one entry each, and the size after each record. */
std::vector<std::size_t>
writeThreeRecords(MemoryFileOperations& aFiles)
{
  const auto store = LogStore::open(aFiles, kFolder);
  std::vector<std::size_t> sizes;
  for (std::int64_t index = 1; index <= 3; index++) {
    BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { entry(index, 1) })));
    sizes.push_back(aFiles.content(aFiles.lastPath()).size());
  }
  return sizes;
}

} // namespace

BOOST_AUTO_TEST_CASE(log_survives_a_failure_of_every_call)
{
  for (const Unsynced unsynced : kUnsynced) {
    bool reachedEnd = false;
    int call = 1;
    for (; !reachedEnd; call++) {
      BOOST_TEST_CONTEXT("call " << call << ", unsynced " << static_cast<int>(unsynced))
      {
        failLogAt(call, unsynced, reachedEnd);
      }
    }
    BOOST_TEST(call > 60, "the workload made only " << call << " calls");
  }
}

// Guards against a failure while the store is opened again, when it removes a torn tail.
BOOST_AUTO_TEST_CASE(log_survives_a_failure_of_every_call_of_a_second_start)
{
  for (int call = 1; call < 12; call++) {
    MemoryFileOperations files;
    const std::vector<std::size_t> sizes = writeThreeRecords(files);
    files.content(files.lastPath()).resize(sizes.back() - 1);
    files.crash(Unsynced::eKept);
    files.failAt(call);
    LogStore::open(files, kFolder);
    files.crash(Unsynced::eHalf);
    BOOST_TEST(loadedEntries(files).size() == 2u, "call " << call);
  }
}

// A process that is killed between a write and its sync leaves bytes that its successor reads and
// builds on; a loss of power after that must not take them away.
BOOST_AUTO_TEST_CASE(what_a_successor_has_read_survives_a_loss_of_power)
{
  MemoryFileOperations files;
  {
    const auto store = LogStore::open(files, kFolder);
    BOOST_REQUIRE(isOk(valueOf(store)->append(hardState(1), { entry(1, 1) })));
    constexpr int kSyncOfTheAppend = 2;
    files.failAt(kSyncOfTheAppend);
    BOOST_REQUIRE(!isOk(valueOf(store)->append(std::nullopt, { entry(2, 1) })));
  }
  files.failAt(0);
  {
    const auto store = LogStore::open(files, kFolder);
    BOOST_REQUIRE(valueOf(store)->takeLoaded().entries.size() == 2u);
    BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { entry(3, 1) })));
  }
  files.crash(Unsynced::eLost);
  BOOST_TEST(loadedEntries(files).size() == 3u);
}

BOOST_AUTO_TEST_CASE(torn_tail_is_removed_at_every_byte)
{
  MemoryFileOperations original;
  const std::vector<std::size_t> sizes = writeThreeRecords(original);
  const std::string path = original.lastPath();
  const std::string whole = original.content(path);
  for (std::size_t size = 0; size <= whole.size(); size++) {
    for (const bool zeros : { false, true }) {
      MemoryFileOperations files;
      files.open(path);
      // A file system may also extend the file before it writes the bytes.
      files.content(path) = whole.substr(0, size) + std::string(zeros ? 40 : 0, '\0');
      const auto complete =
        std::count_if(sizes.begin(), sizes.end(), [&](std::size_t aSize) { return aSize <= size; });
      BOOST_TEST(std::ssize(loadedEntries(files)) == complete, "size " << size);
      const auto store = LogStore::open(files, kFolder);
      BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { entry(complete + 1, 7) })));
      BOOST_TEST(std::ssize(loadedEntries(files)) == complete + 1, "size " << size);
    }
  }
}

// Guards against a start with a gap in the log, and against changed data that is taken for valid.
BOOST_AUTO_TEST_CASE(changed_byte_is_detected_everywhere)
{
  MemoryFileOperations original;
  const std::vector<std::size_t> sizes = writeThreeRecords(original);
  const std::string path = original.lastPath();
  const std::string whole = original.content(path);
  for (std::size_t position = 0; position < whole.size(); position++) {
    for (const bool laterSegment : { false, true }) {
      MemoryFileOperations files;
      files.open(path);
      files.content(path) = whole;
      if (laterSegment) {
        BOOST_REQUIRE(isOk(LogStore::open(files, kFolder)));
      }
      files.content(path)[position] ^= 0x10;
      const auto store = LogStore::open(files, kFolder);
      if (position >= sizes[1] && !laterSegment) {
        // The last record cannot be told from a torn one.
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
BOOST_AUTO_TEST_CASE(record_inside_the_data_of_a_torn_record_is_not_taken_for_one)
{
  MemoryFileOperations files;
  const auto store = LogStore::open(files, kFolder);
  const std::string data = encodeRecord(1, 0, "payload") + std::string(10, 'x');
  const LogEntry large = valueOf(LogEntry::create({ .index = 1, .term = 1, .data = data }));
  BOOST_REQUIRE(isOk(valueOf(store)->append(std::nullopt, { large })));
  std::string& content = files.content(files.lastPath());
  content.resize(content.size() - 5);
  BOOST_TEST(loadedEntries(files).empty());
}

BOOST_AUTO_TEST_CASE(missing_segment_is_corruption)
{
  MemoryFileOperations files;
  for (int start = 0; start < 3; start++) {
    BOOST_REQUIRE(isOk(LogStore::open(files, kFolder)));
  }
  files.remove(joinPath(kFolder, "log-00000000000000000002"));
  const auto store = LogStore::open(files, kFolder);
  BOOST_REQUIRE(!isOk(store));
  BOOST_TEST((errorOf(store).code() == ErrorCode::eCorrupt));
}

BOOST_AUTO_TEST_CASE(files_of_the_operating_system_hold_what_was_stored)
{
  const std::filesystem::path root =
    std::filesystem::temp_directory_path() / ("storage_test." + std::to_string(getpid()));
  const std::string folder = (root / "a" / "b").string();
  PosixFileOperations files;
  {
    const auto identity = IdentityFile::create(files, folder);
    BOOST_REQUIRE_MESSAGE(isOk(identity), textOf(identity));
    const auto log = LogStore::open(files, folder, kSmallSegmentBytes);
    ExpectedLog expected;
    for (int step = 0; step < kLogSteps; step++) {
      BOOST_REQUIRE(isOk(logStep(step, valueOf(log).get(), expected)));
    }
    const auto reopened = LogStore::open(files, folder);
    BOOST_REQUIRE_MESSAGE(isOk(reopened), textOf(reopened));
    BOOST_TEST(expected.matches(valueOf(reopened)->takeLoaded()));
    BOOST_TEST((valueOf(IdentityFile::load(files, folder)) == valueOf(identity)));
  }
  std::filesystem::remove_all(root);
}
