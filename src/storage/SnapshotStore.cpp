#include "storage/SnapshotStore.h"

#include "storage/RecordFormat.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace magnoliadrum {

namespace {

const char* const kSnapshotPrefix = "snapshot-";
const char* const kLoadStep = "snapshot.load";
const char* const kCorruptExtension = ".corrupt";
constexpr int kIndexDigits = 20;
constexpr std::size_t kKeptSnapshots = 2;

// File format: magic number, checksum of everything after it, length of the metadata, metadata as
// CBOR, data.
constexpr std::string_view kMagic = "MDS1";
constexpr std::size_t kChecksumOffset = 4;
constexpr std::size_t kMetadataLengthOffset = 8;
constexpr std::size_t kHeaderBytes = 12;

std::string
snapshotFileName(std::int64_t aIndex)
{
  std::ostringstream name;
  name << kSnapshotPrefix << std::setw(kIndexDigits) << std::setfill('0') << aIndex;
  return name.str();
}

bool
isSnapshotFileName(const std::string& aName)
{
  const std::string prefix(kSnapshotPrefix);
  return aName.starts_with(prefix) && aName.size() == prefix.size() + kIndexDigits &&
         aName.find_first_not_of("0123456789", prefix.size()) == std::string::npos;
}

std::string
encodeSnapshot(const StoredSnapshot& aSnapshot)
{
  const nlohmann::json metadata = { { "lastIndex", aSnapshot.lastIndex },
                                    { "lastTerm", aSnapshot.lastTerm },
                                    { "configuration", aSnapshot.configuration.toJson() } };
  std::string cbor;
  nlohmann::json::to_cbor(metadata, cbor);
  const std::string length = toLittleEndian32(static_cast<std::uint32_t>(cbor.size()));
  std::string bytes(kMagic);
  bytes += toLittleEndian32(crc32c({ length, cbor, aSnapshot.data }));
  bytes += length;
  bytes += cbor;
  bytes += aSnapshot.data;
  return bytes;
}

Error
corruptionError(const std::string& aPath, const std::string& aDetail)
{
  return Error::create(ErrorCode::eCorrupt, kLoadStep, aPath, aDetail);
}

Result<StoredSnapshot>
decodeSnapshot(std::string_view aBytes, const std::string& aPath)
{
  if (aBytes.size() < kHeaderBytes || aBytes.substr(0, kMagic.size()) != kMagic) {
    return corruptionError(aPath, "the file is not a snapshot");
  }
  const std::string_view content = aBytes.substr(kMetadataLengthOffset);
  if (readLittleEndian32(aBytes, kChecksumOffset) != crc32c({ content })) {
    return corruptionError(aPath, "the checksum does not match");
  }
  const std::size_t length = readLittleEndian32(aBytes, kMetadataLengthOffset);
  if (length > aBytes.size() - kHeaderBytes) {
    return corruptionError(aPath, "the metadata is truncated");
  }
  const auto json = nlohmann::json::from_cbor(aBytes.substr(kHeaderBytes, length), true, false);
  const bool isWellFormed = json.is_object() && json.contains("lastIndex") &&
                            json["lastIndex"].is_number_integer() && json.contains("lastTerm") &&
                            json["lastTerm"].is_number_integer() && json.contains("configuration");
  if (!isWellFormed) {
    return corruptionError(aPath, "the metadata cannot be decoded");
  }
  Result<GroupConfiguration> configuration =
    GroupConfiguration::fromJson(json["configuration"], kLoadStep, aPath);
  if (!isOk(configuration)) {
    return corruptionError(aPath, errorOf(configuration).detail());
  }
  return StoredSnapshot{ .lastIndex = json["lastIndex"].get<std::int64_t>(),
                         .lastTerm = json["lastTerm"].get<std::int64_t>(),
                         .configuration = takeValue(std::move(configuration)),
                         .data = std::string(aBytes.substr(kHeaderBytes + length)) };
}

} // namespace

SnapshotStore::SnapshotStore(FileOperations& aOperations, std::string aFolder)
  : mOperations(aOperations)
  , mFolder(std::move(aFolder))
{
}

Result<std::unique_ptr<SnapshotStore>>
SnapshotStore::open(FileOperations& aOperations, std::string aFolder)
{
  const Result<Done> created = aOperations.createFolder(aFolder);
  if (!isOk(created)) {
    return errorOf(created);
  }
  const Result<std::vector<std::string>> names = aOperations.list(aFolder);
  if (!isOk(names)) {
    return errorOf(names);
  }
  std::unique_ptr<SnapshotStore> store(new SnapshotStore(aOperations, std::move(aFolder)));
  for (const std::string& name : valueOf(names)) {
    if (isSnapshotFileName(name)) {
      store->mFileNames.push_back(name);
      continue;
    }
    if (!name.ends_with(kTemporaryExtension)) {
      continue;
    }
    const Result<Done> removed = aOperations.remove(joinPath(store->mFolder, name));
    if (!isOk(removed)) {
      return errorOf(removed);
    }
  }
  return store;
}

Result<std::optional<StoredSnapshot>>
SnapshotStore::load()
{
  std::optional<Error> firstError;
  for (std::size_t count = mFileNames.size(); count > 0; count--) {
    Result<StoredSnapshot> snapshot = readFile(mFileNames[count - 1]);
    if (isOk(snapshot)) {
      const Result<Done> renamed = renameCorruptAfter(count);
      if (!isOk(renamed)) {
        return errorOf(renamed);
      }
      return std::optional<StoredSnapshot>(takeValue(std::move(snapshot)));
    }
    if (errorOf(snapshot).code() != ErrorCode::eCorrupt) {
      return errorOf(snapshot);
    }
    firstError = firstError ? firstError : errorOf(snapshot);
  }
  if (firstError) {
    return *firstError;
  }
  return std::optional<StoredSnapshot>();
}

Result<Done>
SnapshotStore::renameCorruptAfter(std::size_t aCount)
{
  while (mFileNames.size() > aCount) {
    const std::string path = joinPath(mFolder, mFileNames.back());
    Result<Done> renamed = mOperations.rename(path, path + kCorruptExtension);
    if (!isOk(renamed)) {
      return renamed;
    }
    mFileNames.pop_back();
  }
  return Done{};
}

Result<StoredSnapshot>
SnapshotStore::readFile(const std::string& aName)
{
  const std::string path = joinPath(mFolder, aName);
  const Result<std::string> bytes = mOperations.read(path);
  if (!isOk(bytes)) {
    return errorOf(bytes);
  }
  return decodeSnapshot(valueOf(bytes), path);
}

Result<Done>
SnapshotStore::save(const StoredSnapshot& aSnapshot)
{
  if (mFailure) {
    return *mFailure;
  }
  Result<Done> saved = saveAndPrune(aSnapshot);
  if (!isOk(saved)) {
    mFailure = errorOf(saved);
  }
  return saved;
}

Result<Done>
SnapshotStore::saveAndPrune(const StoredSnapshot& aSnapshot)
{
  const std::string name = snapshotFileName(aSnapshot.lastIndex);
  Result<Done> written = writeFileAtomically(mOperations, mFolder, name, encodeSnapshot(aSnapshot));
  if (!isOk(written)) {
    return written;
  }
  if (mFileNames.empty() || mFileNames.back() != name) {
    mFileNames.push_back(name);
  }
  if (mFileNames.size() <= kKeptSnapshots) {
    return Done{};
  }
  while (mFileNames.size() > kKeptSnapshots) {
    Result<Done> removed = mOperations.remove(joinPath(mFolder, mFileNames.front()));
    if (!isOk(removed)) {
      return removed;
    }
    mFileNames.erase(mFileNames.begin());
  }
  return mOperations.syncFolder(mFolder);
}

std::int64_t
SnapshotStore::previousIndex() const
{
  if (mFileNames.size() < kKeptSnapshots) {
    return 0;
  }
  return std::stoll(
    mFileNames[mFileNames.size() - kKeptSnapshots].substr(std::string(kSnapshotPrefix).size()));
}

} // namespace magnoliadrum
