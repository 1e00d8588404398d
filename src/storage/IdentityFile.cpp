#include "storage/IdentityFile.h"

#include "storage/RecordFormat.h"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace magnoliadrum {

namespace {

const char* const kIdentityFileName = "identity.json";
const char* const kLoadStep = "identity.load";
constexpr int kRandomWords = 4;
constexpr int kHexDigitsPerWord = 8;

std::string
randomId()
{
  std::random_device device;
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (int word = 0; word < kRandomWords; word++) {
    text << std::setw(kHexDigitsPerWord) << device();
  }
  return text.str();
}

} // namespace

Result<std::optional<std::string>>
IdentityFile::load(FileOperations& aOperations, const std::string& aFolder)
{
  const std::string path = joinPath(aFolder, kIdentityFileName);
  const Result<std::string> bytes = aOperations.read(path);
  if (!isOk(bytes)) {
    if (errorOf(bytes).code() == ErrorCode::eNotFound) {
      return std::optional<std::string>();
    }
    return errorOf(bytes);
  }
  const nlohmann::json json = nlohmann::json::parse(valueOf(bytes), nullptr, false);
  const bool isWellFormed = json.is_object() && json.contains("replicaId") &&
                            json["replicaId"].is_string() && json.contains("checksum");
  if (!isWellFormed) {
    return Error::create(
      ErrorCode::eCorrupt, kLoadStep, path, "the identity file cannot be decoded");
  }
  std::string replicaId = json["replicaId"].get<std::string>();
  if (replicaId.empty() || json["checksum"] != crc32c({ replicaId })) {
    return Error::create(ErrorCode::eCorrupt, kLoadStep, path, "the checksum does not match");
  }
  return std::optional<std::string>(std::move(replicaId));
}

Result<std::string>
IdentityFile::create(FileOperations& aOperations, const std::string& aFolder)
{
  const Result<Done> created = aOperations.createFolder(aFolder);
  if (!isOk(created)) {
    return errorOf(created);
  }
  const Result<std::vector<std::string>> names = aOperations.list(aFolder);
  if (!isOk(names)) {
    return errorOf(names);
  }
  for (const std::string& name : valueOf(names)) {
    // A crash before the rename leaves only the temporary file. The folder lost+found may exist
    // when the data folder is the root of a file system.
    if (name != std::string(kIdentityFileName) + kTemporaryExtension && name != "lost+found") {
      return Error::create(
        ErrorCode::eConflict, "identity.create", aFolder, "the folder already contains " + name);
    }
  }
  const std::string replicaId = randomId();
  const nlohmann::json json = { { "replicaId", replicaId }, { "checksum", crc32c({ replicaId }) } };
  const Result<Done> written =
    writeFileAtomically(aOperations, aFolder, kIdentityFileName, json.dump() + "\n");
  if (!isOk(written)) {
    return errorOf(written);
  }
  return replicaId;
}

} // namespace magnoliadrum
