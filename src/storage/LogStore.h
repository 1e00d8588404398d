#pragma once

#include "generated/generated.h"
#include "storage/FileOperations.h"

#include <deque>
#include <memory>
#include <optional>

namespace magnoliadrum {

/** What a LogStore holds. */
struct StoredLog
{
  HardState hardState;
  /** Index and term before the first entry. The term is -1 when it is not known. */
  std::int64_t baseIndex = 0;
  std::int64_t baseTerm = 0;
  /** Consecutive. */
  std::vector<LogEntry> entries;
  /** Size of a torn tail that was removed when the store was opened. */
  std::int64_t tornBytes = 0;
};

/**
 * The durable log of one replica: append-only segment files with one checksummed record per
 * append().
 *
 * An entry whose index is stored already replaces that entry and all after it. One append() is one
 * record, so after a crash it is there as a whole or not at all.
 */
class LogStore
{
public:
  static constexpr std::int64_t kDefaultSegmentBytes = std::int64_t{ 16 } << 20;

  /**
   * Opens the store and removes a torn tail: an invalid record at the end of the last segment, with
   * nothing valid after it. Errors: eCorrupt (an invalid record before valid ones, a missing
   * segment), eIo.
   */
  static Result<std::unique_ptr<LogStore>> open(FileOperations& aOperations,
                                                std::string aFolder,
                                                std::int64_t aSegmentBytes = kDefaultSegmentBytes);

  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;
  ~LogStore();

  /** Moves out what was stored when the store was opened. */
  StoredLog takeLoaded() { return std::move(mLoaded); }

  /**
   * Stores a hard state and entries and syncs them. The entries are consecutive and the first
   * follows or replaces a stored one. After an error nothing more is written and every call returns
   * it.
   */
  Result<Done> append(const std::optional<HardState>& aHardState,
                      const std::vector<LogEntry>& aEntries);

  /** Drops all entries and continues after aIndex, when a snapshot replaces the log. */
  Result<Done> reset(std::int64_t aIndex, std::int64_t aTerm);

  /** Removes the oldest segments as far as all their entries have at most the index aIndex. */
  Result<Done> compact(std::int64_t aIndex);

  std::int64_t lastIndex() const { return mLastIndex; }

  /** Number of segment files. */
  std::size_t segments() const { return mSegments.size(); }

private:
  struct Segment
  {
    std::uint64_t number = 0;
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
  Result<Done> removeOldestSegment();
  Result<Done> rememberFailure(Result<Done> aResult);
  std::string segmentPath(std::uint64_t aNumber) const;

  FileOperations& mOperations;
  const std::string mFolder;
  const std::int64_t mSegmentBytes;
  StoredLog mLoaded;
  std::deque<Segment> mSegments;
  std::optional<FileHandle> mFile;
  /** Size of the open segment. */
  std::int64_t mFileBytes = 0;
  HardState mHardState;
  std::int64_t mLastIndex = 0;
  std::int64_t mLastTerm = 0;
  std::optional<Error> mFailure;
};

} // namespace magnoliadrum
