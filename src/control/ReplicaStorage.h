#pragma once

#include "consensus/consensus.h"
#include "control/Replicator.h"
#include "storage/storage.h"

#include <memory>
#include <string>

namespace magnoliadrum {

/** The data folder of a replica, with its identity, log and snapshots. */
class ReplicaStorage
{
public:
  /**
   * Opens a data folder. Creates an identity in a folder that has none, unless aStart is eExisting.
   * Errors: eNotFound (aStart is eExisting and there is no identity), eConflict (the folder is used
   * by another process), eCorrupt, eIo.
   */
  static Result<std::unique_ptr<ReplicaStorage>> open(std::unique_ptr<FileOperations> aFiles,
                                                      const std::string& aFolder,
                                                      ReplicaStart aStart);

  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  const std::string& replicaId() const { return mReplicaId; }

  /** Moves out the state that was stored when the folder was opened. */
  ConsensusStart takeStoredState() { return std::move(mStoredState); }

  /** Stores the first configuration of a new group. Precondition: the log is empty. */
  Result<ConsensusStart> storeInitialConfiguration(const GroupConfiguration& aConfiguration);

  /** Stores and syncs the parts of the output that must be durable before its messages are sent. */
  Result<Done> store(const ConsensusOutput& aOutput);

  /**
   * Stores a snapshot of this replica's own state and compacts the log. The log keeps the
   * entries after the previous snapshot, which is used if the new one is damaged.
   */
  Result<Done> saveSnapshot(const ConsensusSnapshot& aSnapshot);

private:
  explicit ReplicaStorage(std::unique_ptr<FileOperations> aFiles);

  Result<Done> openIdentity(const std::string& aFolder, ReplicaStart aStart);
  Result<Done> openStores(const std::string& aFolder);
  Result<Done> reconcileLogAndSnapshot(StoredLog aLog, const std::string& aFolder);
  Result<Done> writeSnapshot(const ConsensusSnapshot& aSnapshot);

  std::unique_ptr<FileOperations> mFiles;
  std::unique_ptr<FolderLock> mLock;
  std::unique_ptr<LogStore> mLog;
  std::unique_ptr<SnapshotStore> mSnapshots;
  std::string mReplicaId;
  ConsensusStart mStoredState;
};

} // namespace magnoliadrum
