#include "control/ReplicaStorage.h"

#include "observability/observability.h"

#include <utility>

namespace magnoliadrum {

namespace {

const char* const kLogFolder = "log";
const char* const kSnapshotFolder = "snapshots";

/** Term at an index of a stored log; empty when the log has no entry there, -1 when it is unknown.
 */
std::optional<std::int64_t>
termAt(const StoredLog& aLog, std::int64_t aIndex)
{
  if (aIndex == aLog.baseIndex) {
    return aLog.baseTerm;
  }
  const std::int64_t position = aIndex - aLog.baseIndex - 1;
  if (position < 0 || position >= std::ssize(aLog.entries)) {
    return std::nullopt;
  }
  return aLog.entries[static_cast<std::size_t>(position)].term();
}

} // namespace

ReplicaStorage::ReplicaStorage(std::unique_ptr<FileOperations> aFiles)
  : mFiles(std::move(aFiles))
{
}

Result<std::unique_ptr<ReplicaStorage>>
ReplicaStorage::open(std::unique_ptr<FileOperations> aFiles,
                     const std::string& aFolder,
                     ReplicaStart aStart)
{
  std::unique_ptr<ReplicaStorage> storage(new ReplicaStorage(std::move(aFiles)));
  Result<Done> opened = storage->openIdentity(aFolder, aStart);
  if (isOk(opened)) {
    opened = storage->openStores(aFolder);
  }
  if (!isOk(opened)) {
    return errorOf(opened);
  }
  return storage;
}

Result<Done>
ReplicaStorage::openIdentity(const std::string& aFolder, ReplicaStart aStart)
{
  const Result<Done> created = mFiles->createFolder(aFolder);
  if (!isOk(created)) {
    return errorOf(created);
  }
  auto lock = FolderLock::acquire(aFolder);
  if (!isOk(lock)) {
    return errorOf(lock);
  }
  mLock = takeValue(std::move(lock));
  const auto identity = IdentityFile::load(*mFiles, aFolder);
  if (!isOk(identity)) {
    return errorOf(identity);
  }
  if (!valueOf(identity) && aStart == ReplicaStart::eExisting) {
    return Error::create(
      ErrorCode::eNotFound,
      "replica.start",
      aFolder,
      "the data folder holds no identity; a new replica needs --bootstrap (first "
      "start of the group) or --join");
  }
  if (valueOf(identity)) {
    mReplicaId = *valueOf(identity);
  } else {
    auto newIdentity = IdentityFile::create(*mFiles, aFolder);
    if (!isOk(newIdentity)) {
      return errorOf(newIdentity);
    }
    mReplicaId = takeValue(std::move(newIdentity));
  }
  return Done{};
}

Result<Done>
ReplicaStorage::openStores(const std::string& aFolder)
{
  auto snapshots = SnapshotStore::open(*mFiles, joinPath(aFolder, kSnapshotFolder));
  if (!isOk(snapshots)) {
    return errorOf(snapshots);
  }
  mSnapshots = takeValue(std::move(snapshots));
  auto log = LogStore::open(*mFiles, joinPath(aFolder, kLogFolder));
  if (!isOk(log)) {
    return errorOf(log);
  }
  mLog = takeValue(std::move(log));
  StoredLog stored = mLog->takeLoaded();
  if (stored.tornBytes > 0) {
    logWarning("removed a torn record at the end of the log", { { "bytes", stored.tornBytes } });
  }
  return reconcileLogAndSnapshot(std::move(stored), aFolder);
}

Result<Done>
ReplicaStorage::reconcileLogAndSnapshot(StoredLog aLog, const std::string& aFolder)
{
  auto loaded = mSnapshots->load();
  if (!isOk(loaded)) {
    return errorOf(loaded);
  }
  std::optional<StoredSnapshot> snapshot = takeValue(std::move(loaded));
  const std::int64_t snapshotIndex = snapshot ? snapshot->lastIndex : 0;
  if (aLog.baseIndex > snapshotIndex) {
    return Error::create(ErrorCode::eCorrupt,
                         "replica.start",
                         aFolder,
                         "the log starts after index " + std::to_string(aLog.baseIndex) +
                           " but the latest valid snapshot ends at " +
                           std::to_string(snapshotIndex));
  }
  mStoredState.hardState = aLog.hardState;
  if (snapshot && termAt(aLog, snapshotIndex) != snapshot->lastTerm) {
    // The process crashed after it stored a snapshot of the leader and before it reset the log.
    aLog.entries.clear();
    Result<Done> done = mLog->reset(snapshotIndex, snapshot->lastTerm);
    if (!isOk(done)) {
      return done;
    }
  }
  for (LogEntry& entry : aLog.entries) {
    if (entry.index() > snapshotIndex) {
      mStoredState.entries.push_back(std::move(entry));
    }
  }
  if (snapshot) {
    mStoredState.snapshot = std::make_shared<const ConsensusSnapshot>(
      ConsensusSnapshot{ .lastIndex = snapshot->lastIndex,
                         .lastTerm = snapshot->lastTerm,
                         .configuration = std::move(snapshot->configuration),
                         .data = std::move(snapshot->data) });
  }
  return Done{};
}

Result<ConsensusStart>
ReplicaStorage::storeInitialConfiguration(const GroupConfiguration& aConfiguration)
{
  assert(mLog->lastIndex() == 0);
  const std::vector<LogEntry> entries = { makeChecked<LogEntry>(
    { .index = 1,
      .term = 0,
      .kind = LogEntryKind::eConfiguration,
      .data = encodeConfiguration(aConfiguration) }) };
  const Result<Done> stored = mLog->append(std::nullopt, entries);
  if (!isOk(stored)) {
    return errorOf(stored);
  }
  return ConsensusStart{ .hardState = {}, .snapshot = nullptr, .entries = entries };
}

Result<Done>
ReplicaStorage::store(const ConsensusOutput& aOutput)
{
  if (aOutput.snapshot) {
    Result<Done> saved = writeSnapshot(*aOutput.snapshot);
    if (isOk(saved)) {
      saved = mLog->reset(aOutput.snapshot->lastIndex, aOutput.snapshot->lastTerm);
    }
    if (!isOk(saved)) {
      return saved;
    }
  }
  return mLog->append(aOutput.hardState, aOutput.entries);
}

Result<Done>
ReplicaStorage::saveSnapshot(const ConsensusSnapshot& aSnapshot)
{
  Result<Done> saved = writeSnapshot(aSnapshot);
  return isOk(saved) ? mLog->compact(mSnapshots->previousIndex()) : saved;
}

Result<Done>
ReplicaStorage::writeSnapshot(const ConsensusSnapshot& aSnapshot)
{
  return mSnapshots->save({ .lastIndex = aSnapshot.lastIndex,
                            .lastTerm = aSnapshot.lastTerm,
                            .configuration = aSnapshot.configuration,
                            .data = aSnapshot.data });
}

} // namespace magnoliadrum
