#pragma once

#include "storage/FileOperations.h"

#include <optional>

namespace magnoliadrum {

/** Reads and creates the file with the id of the replica that owns a data folder. */
class IdentityFile
{
public:
  /** Returns the replica id, or nothing when the file does not exist. Errors: eCorrupt, eIo. */
  static Result<std::optional<std::string>> load(FileOperations& aOperations,
                                                 const std::string& aFolder);

  /**
   * Creates a random replica id and stores it durably. Errors: eConflict (the folder already has an
   * identity, or contains other files, whose owner would be unknown), eIo.
   */
  static Result<std::string> create(FileOperations& aOperations, const std::string& aFolder);
};

} // namespace magnoliadrum
