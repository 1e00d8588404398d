#include "storage/LogStore.h"

#include "storage/RecordFormat.h"

#include <algorithm>
#include <cassert>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace magnoliadrum {

namespace {

const char* const kSegmentPrefix = "log-";
const char* const kLoadStep = "log.load";
constexpr int kSegmentNumberDigits = 20;
constexpr std::int64_t kFormatVersion = 1;
constexpr std::int64_t kUnknownTerm = -1;

Error
corruptionError(const std::string& aPath, const std::string& aDetail)
{
  return Error::create(ErrorCode::eCorrupt, kLoadStep, aPath, aDetail);
}

std::optional<std::uint64_t>
parseSegmentNumber(const std::string& aName)
{
  const std::string prefix(kSegmentPrefix);
  const bool matches = aName.starts_with(prefix) &&
                       aName.size() == prefix.size() + kSegmentNumberDigits &&
                       aName.find_first_not_of("0123456789", prefix.size()) == std::string::npos;
  if (!matches) {
    return std::nullopt;
  }
  return std::stoull(aName.substr(prefix.size()));
}

std::string
encodePayload(const std::optional<HardState>& aHardState, const std::vector<LogEntry>& aEntries)
{
  nlohmann::json record = nlohmann::json::object();
  if (aHardState) {
    record["hardState"] = aHardState->toJson();
  }
  nlohmann::json entries = nlohmann::json::array();
  for (const LogEntry& entry : aEntries) {
    entries.push_back(entry.toJson());
  }
  record["entries"] = std::move(entries);
  std::string bytes;
  nlohmann::json::to_cbor(record, bytes);
  return bytes;
}

bool
isInteger(const nlohmann::json& aObject, const char* aName)
{
  return aObject.contains(aName) && aObject[aName].is_number_integer();
}

bool
isValidHeader(const nlohmann::json& aObject)
{
  return isInteger(aObject, "format") && aObject["format"] == kFormatVersion &&
         isInteger(aObject, "baseIndex") && isInteger(aObject, "baseTerm") &&
         aObject.contains("reset") && aObject["reset"].is_boolean();
}

} // namespace

LogStore::LogStore(FileOperations& aOperations, std::string aFolder, std::int64_t aSegmentBytes)
  : mOperations(aOperations)
  , mFolder(std::move(aFolder))
  , mSegmentBytes(aSegmentBytes)
{
}

LogStore::~LogStore()
{
  if (mFile) {
    mOperations.close(*mFile);
  }
}

std::string
LogStore::segmentPath(std::uint64_t aNumber) const
{
  std::ostringstream name;
  name << kSegmentPrefix << std::setw(kSegmentNumberDigits) << std::setfill('0') << aNumber;
  return joinPath(mFolder, name.str());
}

Result<std::unique_ptr<LogStore>>
LogStore::open(FileOperations& aOperations, std::string aFolder, std::int64_t aSegmentBytes)
{
  std::unique_ptr<LogStore> store(new LogStore(aOperations, std::move(aFolder), aSegmentBytes));
  const Result<Done> loaded = store->load();
  if (!isOk(loaded)) {
    return errorOf(loaded);
  }
  return store;
}

Result<Done>
LogStore::load()
{
  Result<Done> created = mOperations.createFolder(mFolder);
  if (!isOk(created)) {
    return created;
  }
  const Result<std::vector<std::string>> names = mOperations.list(mFolder);
  if (!isOk(names)) {
    return errorOf(names);
  }
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : valueOf(names)) {
    const std::optional<std::uint64_t> number = parseSegmentNumber(name);
    if (number) {
      numbers.push_back(*number);
    }
  }
  for (const std::uint64_t number : numbers) {
    if (!mSegments.empty() && number != mSegments.back().number + 1) {
      return corruptionError(segmentPath(number), "the preceding segment is missing");
    }
    Result<Done> loaded = loadSegment(number, number == numbers.back());
    if (!isOk(loaded)) {
      return loaded;
    }
  }
  mLoaded.hardState = mHardState;
  // Each start opens a new segment, so that no segment is appended to after it has been read.
  return startSegment(false);
}

Result<Done>
LogStore::loadSegment(std::uint64_t aNumber, bool aIsLast)
{
  const std::string path = segmentPath(aNumber);
  const Result<std::string> bytes = mOperations.read(path);
  if (!isOk(bytes)) {
    return errorOf(bytes);
  }
  const ScannedRecords records = scanRecords(aNumber, valueOf(bytes));
  const bool isIntact = records.validBytes == valueOf(bytes).size() && !records.payloads.empty();
  if (!isIntact && (!aIsLast || records.validAfterInvalid)) {
    return corruptionError(path,
                           "invalid record at byte " + std::to_string(records.validBytes) +
                             " before the end of the log");
  }
  mSegments.push_back({ .number = aNumber });
  bool isHeader = true;
  for (const std::string_view payload : records.payloads) {
    Result<Done> loaded = loadRecord(payload, isHeader, path);
    if (!isOk(loaded)) {
      return loaded;
    }
    isHeader = false;
  }
  if (isIntact) {
    // The process may have been killed between a write and its sync. The records read here are
    // treated as durable, so they are synced before anything is written after them.
    return aIsLast ? syncSegment(path) : Result<Done>(Done{});
  }
  mLoaded.tornBytes = static_cast<std::int64_t>(valueOf(bytes).size() - records.validBytes);
  if (records.payloads.empty()) {
    // A crash while the segment was being created left it without a valid record.
    mSegments.pop_back();
    Result<Done> removed = mOperations.remove(path);
    return isOk(removed) ? mOperations.syncFolder(mFolder) : removed;
  }
  return removeTornTail(path, static_cast<std::int64_t>(records.validBytes));
}

Result<Done>
LogStore::syncSegment(const std::string& aPath)
{
  const Result<FileHandle> file = mOperations.open(aPath);
  if (!isOk(file)) {
    return errorOf(file);
  }
  const Result<Done> synced = mOperations.sync(valueOf(file));
  mOperations.close(valueOf(file));
  return isOk(synced) ? mOperations.syncFolder(mFolder) : synced;
}

Result<Done>
LogStore::removeTornTail(const std::string& aPath, std::int64_t aValidBytes)
{
  const Result<FileHandle> file = mOperations.open(aPath);
  if (!isOk(file)) {
    return errorOf(file);
  }
  Result<Done> result = mOperations.truncate(valueOf(file), aValidBytes);
  if (isOk(result)) {
    result = mOperations.sync(valueOf(file));
  }
  mOperations.close(valueOf(file));
  return result;
}

Result<Done>
LogStore::loadRecord(std::string_view aPayload, bool aIsHeader, const std::string& aPath)
{
  const nlohmann::json record = nlohmann::json::from_cbor(aPayload, true, false);
  if (!record.is_object() || (aIsHeader && !isValidHeader(record))) {
    return corruptionError(aPath, "a record with a valid checksum cannot be decoded");
  }
  std::vector<std::string> decodeErrors;
  if (record.contains("hardState")) {
    mHardState = HardState::read(record["hardState"], "hardState", decodeErrors);
  }
  if (aIsHeader && (record["reset"].get<bool>() || mSegments.size() == 1)) {
    mLoaded.entries.clear();
    mLoaded.baseIndex = record["baseIndex"].get<std::int64_t>();
    mLoaded.baseTerm = record["baseTerm"].get<std::int64_t>();
    mLastIndex = mLoaded.baseIndex;
    mLastTerm = mLoaded.baseTerm;
  }
  for (const nlohmann::json& json : record.value("entries", nlohmann::json::array())) {
    LogEntry entry = LogEntry::read(json, "entry", decodeErrors);
    if (!decodeErrors.empty()) {
      break;
    }
    Result<Done> loaded = loadEntry(std::move(entry), aPath);
    if (!isOk(loaded)) {
      return loaded;
    }
  }
  if (!decodeErrors.empty()) {
    return corruptionError(aPath, decodeErrors.front());
  }
  return Done{};
}

Result<Done>
LogStore::loadEntry(LogEntry aEntry, const std::string& aPath)
{
  const std::int64_t index = aEntry.index();
  if (index > mLastIndex + 1) {
    return corruptionError(aPath, "entry " + std::to_string(mLastIndex + 1) + " is missing");
  }
  if (index <= mLoaded.baseIndex) {
    // The entry replaced entries of an earlier segment that compact() has removed since, so the log
    // starts at this entry.
    mLoaded.entries.clear();
    mLoaded.baseIndex = index - 1;
    mLoaded.baseTerm = kUnknownTerm;
  }
  mLoaded.entries.resize(static_cast<std::size_t>(index - 1 - mLoaded.baseIndex));
  mLastIndex = index;
  mLastTerm = aEntry.term();
  mSegments.back().highestIndex = std::max(mSegments.back().highestIndex, index);
  mLoaded.entries.push_back(std::move(aEntry));
  return Done{};
}

Result<Done>
LogStore::startSegment(bool aReset)
{
  if (mFile) {
    mOperations.close(*mFile);
    mFile.reset();
  }
  const std::uint64_t number = mSegments.empty() ? 1 : mSegments.back().number + 1;
  const Result<FileHandle> file = mOperations.open(segmentPath(number));
  if (!isOk(file)) {
    return errorOf(file);
  }
  mFile = valueOf(file);
  mFileBytes = 0;
  mSegments.push_back({ .number = number });
  const nlohmann::json header = { { "format", kFormatVersion },
                                  { "hardState", mHardState.toJson() },
                                  { "baseIndex", mLastIndex },
                                  { "baseTerm", mLastTerm },
                                  { "reset", aReset } };
  std::string bytes;
  nlohmann::json::to_cbor(header, bytes);
  Result<Done> written = writeRecord(bytes);
  return isOk(written) ? mOperations.syncFolder(mFolder) : written;
}

Result<Done>
LogStore::writeRecord(const std::string& aPayload)
{
  const std::string record =
    encodeRecord(mSegments.back().number, static_cast<std::uint64_t>(mFileBytes), aPayload);
  Result<Done> written = mOperations.append(*mFile, record);
  if (!isOk(written)) {
    return written;
  }
  mFileBytes += static_cast<std::int64_t>(record.size());
  return mOperations.sync(*mFile);
}

Result<Done>
LogStore::append(const std::optional<HardState>& aHardState, const std::vector<LogEntry>& aEntries)
{
  if (mFailure) {
    return *mFailure;
  }
  if (!aHardState && aEntries.empty()) {
    return Done{};
  }
  if (mFileBytes >= mSegmentBytes) {
    Result<Done> started = rememberFailure(startSegment(false));
    if (!isOk(started)) {
      return started;
    }
  }
  assert(aEntries.empty() || aEntries.front().index() <= mLastIndex + 1);
  Result<Done> written = rememberFailure(writeRecord(encodePayload(aHardState, aEntries)));
  if (!isOk(written)) {
    return written;
  }
  mHardState = aHardState.value_or(mHardState);
  if (!aEntries.empty()) {
    Segment& segment = mSegments.back();
    mLastIndex = aEntries.back().index();
    mLastTerm = aEntries.back().term();
    segment.highestIndex = std::max(segment.highestIndex, mLastIndex);
  }
  return Done{};
}

Result<Done>
LogStore::reset(std::int64_t aIndex, std::int64_t aTerm)
{
  if (mFailure) {
    return *mFailure;
  }
  mLastIndex = aIndex;
  mLastTerm = aTerm;
  Result<Done> started = rememberFailure(startSegment(true));
  while (isOk(started) && mSegments.size() > 1) {
    started = rememberFailure(removeOldestSegment());
  }
  return started;
}

Result<Done>
LogStore::compact(std::int64_t aIndex)
{
  if (mFailure) {
    return *mFailure;
  }
  Result<Done> result = Done{};
  while (isOk(result) && mSegments.size() > 1 && mSegments.front().highestIndex <= aIndex) {
    result = rememberFailure(removeOldestSegment());
  }
  return result;
}

Result<Done>
LogStore::removeOldestSegment()
{
  Result<Done> removed = mOperations.remove(segmentPath(mSegments.front().number));
  if (!isOk(removed)) {
    return removed;
  }
  mSegments.pop_front();
  // A loss of power may undo each removal that is not synced independently of the others. If only
  // an older segment came back, the log would have a gap.
  return mOperations.syncFolder(mFolder);
}

Result<Done>
LogStore::rememberFailure(Result<Done> aResult)
{
  if (!isOk(aResult)) {
    mFailure = errorOf(aResult);
  }
  return aResult;
}

} // namespace magnoliadrum
