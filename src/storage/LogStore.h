#pragma once

#include "generated/generated.h"
#include "storage/FileOperations.h"

#include <deque>
#include <memory>
#include <optional>

namespace magnoliadrum {

/** The content of a LogStore when it was opened. */
struct StoredLog
{
  HardState hardState;
  /** Index and term of the entry before the first one. The term is -1 when it is not known. */
  std::int64_t baseIndex = 0;
  std::int64_t baseTerm = 0;
  /** Entries with consecutive indexes. */
  std::vector<LogEntry> entries;
  /** Size of the torn tail that was removed; 0 if there was none. */
  std::int64_t tornBytes = 0;
};

/**
 * The durable log of one replica: append-only segment files with one checksummed record per
 * append().
 *
 * An appended entry whose index is already stored replaces that entry and all later ones. Each
 * append() writes a single record, so after a crash either all of it is stored or none.
 */
class LogStore
{
public:
  static constexpr std::int64_t kDefaultSegmentBytes = std::int64_t{ 16 } << 20;

  /**
   * Opens the store and removes a torn tail: an invalid record in the last segment that no valid
   * record follows. Errors: eCorrupt (any other invalid record, or a missing segment or entry),
   * eIo.
   */
  static Result<std::unique_ptr<LogStore>> open(FileOperations& aOperations,
                                                std::string aFolder,
                                                std::int64_t aSegmentBytes = kDefaultSegmentBytes);

  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;
  ~LogStore();

  /** Returns the content found by open() and moves it out of the store; call it only once. */
  StoredLog takeLoaded() { return std::move(mLoaded); }

  /**
   * Stores a hard state and entries durably. The entries must have consecutive indexes, and the
   * first must follow or replace a stored entry. After an error the store writes nothing more, and
   * every later call returns that error.
   */
  Result<Done> append(const std::optional<HardState>& aHardState,
                      const std::vector<LogEntry>& aEntries);

  /**
   * Removes all entries after a snapshot has replaced them. aIndex and aTerm are those of the last
   * entry that the snapshot covers.
   */
  Result<Done> reset(std::int64_t aIndex, std::int64_t aTerm);

  /**
   * Removes segments from the oldest on while they contain no entry with an index above aIndex. The
   * newest segment is always kept.
   */
  Result<Done> compact(std::int64_t aIndex);

  std::int64_t lastIndex() const { return mLastIndex; }

  /** Number of segment files. */
  std::size_t segments() const { return mSegments.size(); }

private:
  struct Segment
  {
    std::uint64_t number = 0;
    /** Highest index of an entry in the segment; 0 if it has none. */
    std::int64_t highestIndex = 0;
  };

  LogStore(FileOperations& aOperations, std::string aFolder, std::int64_t aSegmentBytes);

  Result<Done> load();
  Result<Done> loadSegment(std::uint64_t aNumber, bool aIsLast);
  Result<Done> loadRecord(std::string_view aPayload, bool aIsHeader, const std::string& aPath);
  Result<Done> loadEntry(LogEntry aEntry, const std::string& aPath);
  Result<Done> syncSegment(const std::string& aPath);
  Result<Done> removeTornTail(const std::string& aPath, std::int64_t aValidBytes);
  Result<Done> startSegment(bool aReset);
  Result<Done> writeRecord(const std::string& aPayload);
  /** Removes the oldest segment durably. */
  Result<Done> removeOldestSegment();
  /** Stores an error in mFailure and returns the result unchanged. */
  Result<Done> rememberFailure(Result<Done> aResult);
  std::string segmentPath(std::uint64_t aNumber) const;

  FileOperations& mOperations;
  const std::string mFolder;
  const std::int64_t mSegmentBytes;
  StoredLog mLoaded;
  std::deque<Segment> mSegments;
  std::optional<FileHandle> mFile;
  /** Size of the newest segment, to which mFile is open. */
  std::int64_t mFileBytes = 0;
  HardState mHardState;
  std::int64_t mLastIndex = 0;
  std::int64_t mLastTerm = 0;
  /** First error after open(); all later calls return it. */
  std::optional<Error> mFailure;
};

} // namespace magnoliadrum
