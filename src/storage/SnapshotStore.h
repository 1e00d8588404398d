#pragma once

#include "generated/generated.h"
#include "storage/FileOperations.h"

#include <memory>
#include <optional>

namespace magnoliadrum {

/** Snapshot of the replicated state after the entry lastIndex was applied. */
struct StoredSnapshot
{
  std::int64_t lastIndex = 0;
  std::int64_t lastTerm = 0;
  GroupConfiguration configuration;
  std::string data;

  friend bool operator==(const StoredSnapshot&, const StoredSnapshot&) = default;
};

/** Stores the latest snapshot of a replica and the one before it. */
class SnapshotStore
{
public:
  /** Opens the store and removes leftover temporary files. Errors: eIo. */
  static Result<std::unique_ptr<SnapshotStore>> open(FileOperations& aOperations,
                                                     std::string aFolder);

  SnapshotStore(const SnapshotStore&) = delete;
  SnapshotStore& operator=(const SnapshotStore&) = delete;

  /**
   * Loads the latest valid snapshot and renames the corrupt ones after it. Returns nothing when no
   * snapshot is stored. The caller must check that the log has no gap after the snapshot. Errors:
   * eCorrupt (no stored snapshot is valid; no file is renamed), eIo.
   */
  Result<std::optional<StoredSnapshot>> load();

  /**
   * Stores a snapshot durably and removes all older ones except the one before it. After an error
   * the store writes nothing more, and every later call returns that error.
   */
  Result<Done> save(const StoredSnapshot& aSnapshot);

  /** Last index of the snapshot before the latest one; 0 when there is none. */
  std::int64_t previousIndex() const;

private:
  SnapshotStore(FileOperations& aOperations, std::string aFolder);

  /** Renames all but the first aCount snapshot files, so that open() ignores them from then on. */
  Result<Done> renameCorruptAfter(std::size_t aCount);
  Result<StoredSnapshot> readFile(const std::string& aName);
  Result<Done> saveAndPrune(const StoredSnapshot& aSnapshot);

  FileOperations& mOperations;
  std::string mFolder;
  /** Names of the snapshot files, ordered by index. */
  std::vector<std::string> mFileNames;
  /** Error of a failed save(); all later calls of save() return it. */
  std::optional<Error> mFailure;
};

} // namespace magnoliadrum
