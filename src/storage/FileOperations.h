#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliadrum {

/** An open file; only the FileOperations that returned it can use it. */
enum class FileHandle : int
{
};

/** The file operations of the stores, so that tests can make any of them fail. Errors are eIo. */
class FileOperations
{
public:
  virtual ~FileOperations() = default;

  /** Creates a folder and its parents unless they exist. */
  virtual Result<Done> createFolder(const std::string& aPath) = 0;

  /** Returns the names in a folder, sorted. */
  virtual Result<std::vector<std::string>> list(const std::string& aFolder) = 0;

  /** Returns the content of a file; eNotFound when there is none. */
  virtual Result<std::string> read(const std::string& aPath) = 0;

  /** Opens a file for appending and creates it if needed. */
  virtual Result<FileHandle> open(const std::string& aPath) = 0;

  /** Writes all bytes at the end of the file. After an error a part may be written. */
  virtual Result<Done> append(FileHandle aFile, std::string_view aBytes) = 0;

  /** Returns when the content is durable. */
  virtual Result<Done> sync(FileHandle aFile) = 0;

  virtual Result<Done> truncate(FileHandle aFile, std::int64_t aSize) = 0;
  virtual void close(FileHandle aFile) = 0;

  /** Replaces aTo atomically; durable only after syncFolder(). */
  virtual Result<Done> rename(const std::string& aFrom, const std::string& aTo) = 0;

  virtual Result<Done> remove(const std::string& aPath) = 0;

  /** Returns when created, renamed and removed names in the folder are durable. */
  virtual Result<Done> syncFolder(const std::string& aFolder) = 0;
};

/** The file operations of the operating system. */
class PosixFileOperations : public FileOperations
{
public:
  Result<Done> createFolder(const std::string& aPath) override;
  Result<std::vector<std::string>> list(const std::string& aFolder) override;
  Result<std::string> read(const std::string& aPath) override;
  Result<FileHandle> open(const std::string& aPath) override;
  Result<Done> append(FileHandle aFile, std::string_view aBytes) override;
  Result<Done> sync(FileHandle aFile) override;
  Result<Done> truncate(FileHandle aFile, std::int64_t aSize) override;
  void close(FileHandle aFile) override;
  Result<Done> rename(const std::string& aFrom, const std::string& aTo) override;
  Result<Done> remove(const std::string& aPath) override;
  Result<Done> syncFolder(const std::string& aFolder) override;
};

/** Joins a folder and a name. */
std::string
joinPath(const std::string& aFolder, const std::string& aName);

/**
 * Writes a file so that after a crash it holds either its old or its new content: to a temporary
 * file that is synced and renamed; then the folder is synced.
 */
Result<Done>
writeFileAtomically(FileOperations& aOperations,
                    const std::string& aFolder,
                    const std::string& aName,
                    std::string_view aBytes);

/** Name extension of the temporary files of writeFileAtomically(). */
inline constexpr const char* kTemporaryExtension = ".tmp";

} // namespace magnoliadrum
