#pragma once

#include "generated/generated.h"
#include "storage/FileOperations.h"

#include <memory>
#include <optional>

namespace magnoliadrum {

/** A snapshot of the replicated state after lastIndex. */
struct StoredSnapshot
{
  std::int64_t lastIndex = 0;
  std::int64_t lastTerm = 0;
  GroupConfiguration configuration;
  std::string data;

  friend bool operator==(const StoredSnapshot&, const StoredSnapshot&) = default;
};

/** The snapshots of a replica: the latest one and the one before it. */
class SnapshotStore
{
public:
  /** Opens the store and removes temporary files. Errors: eIo. */
  static Result<std::unique_ptr<SnapshotStore>> open(FileOperations& aOperations,
                                                     std::string aFolder);

  SnapshotStore(const SnapshotStore&) = delete;
  SnapshotStore& operator=(const SnapshotStore&) = delete;

  /**
   * Loads the latest snapshot whose checksum holds, and renames corrupt later ones; nothing when no
   * snapshot is stored. The caller must check that the log reaches back to the snapshot. Errors:
   * eCorrupt (no stored snapshot is valid; all files stay), eIo.
   */
  Result<std::optional<StoredSnapshot>> load();

  /**
   * Stores a snapshot durably and removes all but the one before it. After an error nothing more is
   * written and every call returns that error.
   */
  Result<Done> save(const StoredSnapshot& aSnapshot);

  /** Last index of the snapshot before the latest; 0 when there is none. */
  std::int64_t previousIndex() const;

private:
  SnapshotStore(FileOperations& aOperations, std::string aFolder);

  /** Renames all but the first aCount files, so that they are no longer taken for snapshots. */
  Result<Done> renameCorruptAfter(std::size_t aCount);
  Result<StoredSnapshot> readFile(const std::string& aName);
  Result<Done> saveAndPrune(const StoredSnapshot& aSnapshot);

  FileOperations& mOperations;
  std::string mFolder;
  /** File names in the order of their indexes. */
  std::vector<std::string> mFileNames;
  std::optional<Error> mFailure;
};

} // namespace magnoliadrum
