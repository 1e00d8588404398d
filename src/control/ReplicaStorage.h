#pragma once

#include "consensus/consensus.h"
#include "control/Replicator.h"
#include "storage/storage.h"

#include <memory>
#include <string>

namespace magnoliadrum {

/** The data folder of one replica: its identity, its log and its snapshots. */
class ReplicaStorage
{
public:
  /**
   * Opens a data folder, or creates it unless aStart is eExisting. Errors: eNotFound (eExisting and
   * no identity), eConflict (used by another process), eCorrupt, eIo.
   */
  static Result<std::unique_ptr<ReplicaStorage>> open(std::unique_ptr<FileOperations> aFiles,
                                                      const std::string& aFolder,
                                                      ReplicaStart aStart);

  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  const std::string& replicaId() const { return mReplicaId; }

  /** Moves out what was stored when the folder was opened. */
  ConsensusStart takeStoredState() { return std::move(mStoredState); }

  /** Stores the first configuration of a new group. Precondition: nothing is stored. */
  Result<ConsensusStart> storeInitialConfiguration(const GroupConfiguration& aConfiguration);

  /** Stores and syncs what must be durable before the messages of the output are sent. */
  Result<Done> store(const ConsensusOutput& aOutput);

  /**
   * Stores a snapshot of the own state. The log is kept from the snapshot before it on, so that the
   * older one can replace a damaged one.
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
