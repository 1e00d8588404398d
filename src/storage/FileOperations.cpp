#include "storage/FileOperations.h"

#include "faults/faults.h"
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <system_error>
#include <unistd.h>

namespace magnoliadrum {

namespace {

constexpr mode_t kFileMode = 0640;
constexpr std::size_t kReadChunkBytes = std::size_t{ 1 } << 18;

ErrorCode
codeOf(int aErrorNumber)
{
  switch (aErrorNumber) {
    case ENOENT:
      return ErrorCode::eNotFound;
    case ENOSPC:
    case EDQUOT:
      return ErrorCode::eNoSpace;
    default:
      return ErrorCode::eIo;
  }
}

Error
systemError(const char* aStep, const std::string& aFile)
{
  const int errorNumber = errno;
  return Error::create(
    codeOf(errorNumber), aStep, aFile, std::generic_category().message(errorNumber));
}

Error
folderError(const char* aStep, const std::string& aFolder, const std::error_code& aCode)
{
  const ErrorCode code =
    aCode == std::errc::no_space_on_device ? ErrorCode::eNoSpace : ErrorCode::eIo;
  return Error::create(code, aStep, aFolder, aCode.message());
}

std::string
describeHandle(FileHandle aFile)
{
  return "descriptor " + std::to_string(static_cast<int>(aFile));
}

/** Closes a descriptor at the end of a scope. */
class DescriptorCloser
{
public:
  explicit DescriptorCloser(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  DescriptorCloser(const DescriptorCloser&) = delete;
  DescriptorCloser& operator=(const DescriptorCloser&) = delete;
  ~DescriptorCloser() { ::close(mDescriptor); }

private:
  int mDescriptor;
};

} // namespace

Result<Done>
PosixFileOperations::createFolder(const std::string& aPath)
{
  std::error_code code;
  const std::filesystem::path path = std::filesystem::absolute(aPath, code);
  if (code) {
    return folderError("file.createFolder", aPath, code);
  }
  std::filesystem::path current;
  for (const auto& part : path) {
    const std::filesystem::path parent = current;
    current /= part;
    // An existing folder was not created by this process if its parent is not writable.
    const bool isPreexisting = std::filesystem::is_directory(current, code) &&
                               (parent.empty() || ::access(parent.c_str(), W_OK) != 0);
    if (isPreexisting) {
      continue;
    }
    const bool created = std::filesystem::create_directory(current, code);
    if (code) {
      return folderError("file.createFolder", current.string(), code);
    }
    if (!created) {
      continue;
    }
    Result<Done> synced = syncFolder(parent.string());
    if (!isOk(synced)) {
      return synced;
    }
  }
  return Done{};
}

Result<std::vector<std::string>>
PosixFileOperations::list(const std::string& aFolder)
{
  std::error_code code;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator position(aFolder, code), end; !code && position != end;
       position.increment(code)) {
    names.push_back(position->path().filename().string());
  }
  if (code) {
    return folderError("file.list", aFolder, code);
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::string>
PosixFileOperations::read(const std::string& aPath)
{
  const int descriptor = ::open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return systemError("file.read", aPath);
  }
  const DescriptorCloser closer(descriptor);
  std::string bytes;
  for (;;) {
    const std::size_t before = bytes.size();
    bytes.resize(before + kReadChunkBytes);
    const ssize_t count = ::read(descriptor, bytes.data() + before, kReadChunkBytes);
    if (count < 0 && errno != EINTR) {
      return systemError("file.read", aPath);
    }
    bytes.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0) {
      return bytes;
    }
  }
}

Result<FileHandle>
PosixFileOperations::open(const std::string& aPath)
{
  const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
  const int descriptor = ::open(aPath.c_str(), flags, kFileMode);
  if (descriptor < 0) {
    return systemError("file.open", aPath);
  }
  return FileHandle{ descriptor };
}

Result<Done>
PosixFileOperations::append(FileHandle aFile, std::string_view aBytes)
{
  faultPoint("file.append");
  while (!aBytes.empty()) {
    const ssize_t count = ::write(static_cast<int>(aFile), aBytes.data(), aBytes.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return systemError("file.append", describeHandle(aFile));
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return Done{};
}

Result<Done>
PosixFileOperations::sync(FileHandle aFile)
{
  faultPoint("file.sync");
  // Not retried after an error: the kernel may have dropped the dirty pages, so a second call could
  // succeed although the data is lost.
  if (::fdatasync(static_cast<int>(aFile)) != 0) {
    return systemError("file.sync", describeHandle(aFile));
  }
  faultPoint("file.synced");
  return Done{};
}

Result<Done>
PosixFileOperations::truncate(FileHandle aFile, std::int64_t aSize)
{
  if (::ftruncate(static_cast<int>(aFile), aSize) != 0) {
    return systemError("file.truncate", describeHandle(aFile));
  }
  return Done{};
}

void
PosixFileOperations::close(FileHandle aFile)
{
  ::close(static_cast<int>(aFile));
}

Result<Done>
PosixFileOperations::rename(const std::string& aFrom, const std::string& aTo)
{
  faultPoint("file.rename");
  if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
    return systemError("file.rename", aTo);
  }
  return Done{};
}

Result<Done>
PosixFileOperations::remove(const std::string& aPath)
{
  if (::unlink(aPath.c_str()) != 0) {
    return systemError("file.remove", aPath);
  }
  return Done{};
}

Result<Done>
PosixFileOperations::syncFolder(const std::string& aFolder)
{
  const int descriptor = ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return systemError("file.syncFolder", aFolder);
  }
  const DescriptorCloser closer(descriptor);
  if (::fsync(descriptor) != 0) {
    return systemError("file.syncFolder", aFolder);
  }
  return Done{};
}

std::string
joinPath(const std::string& aFolder, const std::string& aName)
{
  return aFolder + "/" + aName;
}

Result<Done>
writeFileAtomically(FileOperations& aOperations,
                    const std::string& aFolder,
                    const std::string& aName,
                    std::string_view aBytes)
{
  const std::string path = joinPath(aFolder, aName);
  const std::string temporary = path + kTemporaryExtension;
  const Result<FileHandle> file = aOperations.open(temporary);
  if (!isOk(file)) {
    return errorOf(file);
  }
  // A crash during an earlier attempt may have left a partly written temporary file.
  Result<Done> written = aOperations.truncate(valueOf(file), 0);
  if (isOk(written)) {
    written = aOperations.append(valueOf(file), aBytes);
  }
  if (isOk(written)) {
    written = aOperations.sync(valueOf(file));
  }
  aOperations.close(valueOf(file));
  if (isOk(written)) {
    written = aOperations.rename(temporary, path);
  }
  if (isOk(written)) {
    written = aOperations.syncFolder(aFolder);
  }
  return written;
}

} // namespace magnoliadrum
