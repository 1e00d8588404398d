#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliadrum {

/** Handle of an open file, valid only for the FileOperations object that returned it. */
enum class FileHandle : int
{
};

/**
 * Interface through which the stores access files; tests replace it to make any operation fail.
 *
 * Operations fail with eIo, with eNoSpace when the disk is full; some fail with eNotFound when a
 * path does not exist.
 */
class FileOperations
{
public:
  virtual ~FileOperations() = default;

  /** Creates a folder and its missing parents. */
  virtual Result<Done> createFolder(const std::string& aPath) = 0;

  /** Returns the sorted names of the files and folders in a folder. */
  virtual Result<std::vector<std::string>> list(const std::string& aFolder) = 0;

  /** Returns the content of a file. Fails with eNotFound when the file does not exist. */
  virtual Result<std::string> read(const std::string& aPath) = 0;

  /** Opens a file for appending and creates it if it does not exist. */
  virtual Result<FileHandle> open(const std::string& aPath) = 0;

  /** Appends all bytes to the file. After an error, part of them may have been written. */
  virtual Result<Done> append(FileHandle aFile, std::string_view aBytes) = 0;

  /** Blocks until the content of the file is durable. */
  virtual Result<Done> sync(FileHandle aFile) = 0;

  /** Sets the size of the file. */
  virtual Result<Done> truncate(FileHandle aFile, std::int64_t aSize) = 0;
  virtual void close(FileHandle aFile) = 0;

  /** Renames a file and atomically replaces any file at aTo. Durable only after syncFolder(). */
  virtual Result<Done> rename(const std::string& aFrom, const std::string& aTo) = 0;

  virtual Result<Done> remove(const std::string& aPath) = 0;

  /** Blocks until the creations, renames and removals in the folder are durable. */
  virtual Result<Done> syncFolder(const std::string& aFolder) = 0;
};

/** Implements FileOperations with system calls. */
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

std::string
joinPath(const std::string& aFolder, const std::string& aName);

/**
 * Writes a file so that after a crash it holds either its old or its new content.
 *
 * Writes and syncs a temporary file, renames it and syncs the folder.
 */
Result<Done>
writeFileAtomically(FileOperations& aOperations,
                    const std::string& aFolder,
                    const std::string& aName,
                    std::string_view aBytes);

/** Extension of the temporary files that writeFileAtomically() creates. */
inline constexpr const char* kTemporaryExtension = ".tmp";

} // namespace magnoliadrum
