#pragma once

#include "core/core.h"

#include <memory>
#include <string>

namespace magnoliadrum {

/** Keeps a second process out of a data folder. The kernel frees it when the process ends. */
class FolderLock
{
public:
  /** Errors: eConflict (another process holds the folder), eIo. */
  static Result<std::unique_ptr<FolderLock>> acquire(const std::string& aFolder);

  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;
  ~FolderLock();

private:
  explicit FolderLock(int aDescriptor);

  int mDescriptor;
};

} // namespace magnoliadrum
