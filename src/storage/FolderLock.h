#pragma once

#include "core/core.h"

#include <memory>
#include <string>

namespace magnoliadrum {

/**
 * Exclusive lock that keeps a second process from using a data folder.
 *
 * The kernel releases it when the process ends.
 */
class FolderLock
{
public:
  /** Acquires the lock without waiting. Errors: eConflict (another process holds it), eIo. */
  static Result<std::unique_ptr<FolderLock>> acquire(const std::string& aFolder);

  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;
  ~FolderLock();

private:
  explicit FolderLock(int aDescriptor);

  int mDescriptor;
};

} // namespace magnoliadrum
