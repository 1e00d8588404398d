#include "storage/FolderLock.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace magnoliadrum {

Result<std::unique_ptr<FolderLock>>
FolderLock::acquire(const std::string& aFolder)
{
  const int descriptor = ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return Error::create(
      ErrorCode::eIo, "folder.lock", aFolder, std::generic_category().message(errno));
  }
  std::unique_ptr<FolderLock> lock(new FolderLock(descriptor));
  if (::flock(descriptor, LOCK_EX | LOCK_NB) == 0) {
    return lock;
  }
  if (errno == EWOULDBLOCK) {
    return Error::create(
      ErrorCode::eConflict, "folder.lock", aFolder, "another process uses the folder");
  }
  return Error::create(
    ErrorCode::eIo, "folder.lock", aFolder, std::generic_category().message(errno));
}

FolderLock::FolderLock(int aDescriptor)
  : mDescriptor(aDescriptor)
{
}

FolderLock::~FolderLock()
{
  ::close(mDescriptor);
}

} // namespace magnoliadrum
