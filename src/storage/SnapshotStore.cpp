#include "storage/SnapshotStore.h"

#include "storage/RecordFormat.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace magnoliadrum {

namespace {

const char* const kPrefix = "snapshot-";
const char* const kStep = "snapshot.load";
const char* const kCorruptExtension = ".corrupt";
constexpr int kIndexDigits = 20;
constexpr std::size_t kKeptSnapshots = 2;

// File: marker, checksum of all that follows, length of the description, description (CBOR), data.
constexpr std::string_view kMarker = "MDS1";
constexpr std::size_t kChecksumOffset = 4;
constexpr std::size_t kLengthOffset = 8;
constexpr std::size_t kHeaderBytes = 12;

std::string
nameFor(std::int64_t aIndex)
{
  std::ostringstream name;
  name << kPrefix << std::setw(kIndexDigits) << std::setfill('0') << aIndex;
  return name.str();
}

bool
isSnapshotName(const std::string& aName)
{
  const std::string prefix(kPrefix);
  return aName.starts_with(prefix) && aName.size() == prefix.size() + kIndexDigits &&
         aName.find_first_not_of("0123456789", prefix.size()) == std::string::npos;
}

std::string
encodeSnapshot(const StoredSnapshot& aSnapshot)
{
  const nlohmann::json description = { { "lastIndex", aSnapshot.lastIndex },
                                       { "lastTerm", aSnapshot.lastTerm },
                                       { "configuration", aSnapshot.configuration.toJson() } };
  std::string cbor;
  nlohmann::json::to_cbor(description, cbor);
  const std::string length = toBytes32(static_cast<std::uint32_t>(cbor.size()));
  std::string bytes(kMarker);
  bytes += toBytes32(crc32c({ length, cbor, aSnapshot.data }));
  bytes += length;
  bytes += cbor;
  bytes += aSnapshot.data;
  return bytes;
}

Error
corrupt(const std::string& aPath, const std::string& aDetail)
{
  return Error::create(ErrorCode::eCorrupt, kStep, aPath, aDetail);
}

Result<StoredSnapshot>
decodeSnapshot(std::string_view aBytes, const std::string& aPath)
{
  if (aBytes.size() < kHeaderBytes || aBytes.substr(0, kMarker.size()) != kMarker) {
    return corrupt(aPath, "the file is no snapshot");
  }
  const std::string_view content = aBytes.substr(kLengthOffset);
  if (readBytes32(aBytes, kChecksumOffset) != crc32c({ content })) {
    return corrupt(aPath, "the checksum does not match");
  }
  const std::size_t length = readBytes32(aBytes, kLengthOffset);
  if (length > aBytes.size() - kHeaderBytes) {
    return corrupt(aPath, "the description is cut off");
  }
  const auto json = nlohmann::json::from_cbor(aBytes.substr(kHeaderBytes, length), true, false);
  const bool complete = json.is_object() && json.contains("lastIndex") &&
                        json["lastIndex"].is_number_integer() && json.contains("lastTerm") &&
                        json["lastTerm"].is_number_integer() && json.contains("configuration");
  if (!complete) {
    return corrupt(aPath, "the description cannot be decoded");
  }
  Result<GroupConfiguration> configuration =
    GroupConfiguration::fromJson(json["configuration"], kStep, aPath);
  if (!isOk(configuration)) {
    return corrupt(aPath, errorOf(configuration).detail());
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
    if (isSnapshotName(name)) {
      store->mNames.push_back(name);
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
  std::optional<Error> failure;
  for (std::size_t count = mNames.size(); count > 0; count--) {
    Result<StoredSnapshot> snapshot = read(mNames[count - 1]);
    if (isOk(snapshot)) {
      const Result<Done> setAside = setAsideAfter(count);
      if (!isOk(setAside)) {
        return errorOf(setAside);
      }
      return std::optional<StoredSnapshot>(takeValue(std::move(snapshot)));
    }
    if (errorOf(snapshot).code() != ErrorCode::eCorrupt) {
      return errorOf(snapshot);
    }
    failure = failure ? failure : errorOf(snapshot);
  }
  if (failure) {
    return *failure;
  }
  return std::optional<StoredSnapshot>();
}

Result<Done>
SnapshotStore::setAsideAfter(std::size_t aCount)
{
  while (mNames.size() > aCount) {
    const std::string path = joinPath(mFolder, mNames.back());
    Result<Done> renamed = mOperations.rename(path, path + kCorruptExtension);
    if (!isOk(renamed)) {
      return renamed;
    }
    mNames.pop_back();
  }
  return Done{};
}

Result<StoredSnapshot>
SnapshotStore::read(const std::string& aName)
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
  const std::string name = nameFor(aSnapshot.lastIndex);
  Result<Done> written = writeFileAtomically(mOperations, mFolder, name, encodeSnapshot(aSnapshot));
  if (!isOk(written)) {
    return written;
  }
  if (mNames.empty() || mNames.back() != name) {
    mNames.push_back(name);
  }
  if (mNames.size() <= kKeptSnapshots) {
    return Done{};
  }
  while (mNames.size() > kKeptSnapshots) {
    Result<Done> removed = mOperations.remove(joinPath(mFolder, mNames.front()));
    if (!isOk(removed)) {
      return removed;
    }
    mNames.erase(mNames.begin());
  }
  return mOperations.syncFolder(mFolder);
}

std::int64_t
SnapshotStore::previousIndex() const
{
  if (mNames.size() < kKeptSnapshots) {
    return 0;
  }
  return std::stoll(mNames[mNames.size() - kKeptSnapshots].substr(std::string(kPrefix).size()));
}

} // namespace magnoliadrum
