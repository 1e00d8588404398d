#pragma once

#include "storage/FileOperations.h"

#include <optional>

namespace magnoliadrum {

/** The file that holds the identity of the replica which owns a data folder. */
class IdentityFile
{
public:
  /** Returns the replica's id, or nothing when the folder has no identity. Errors: eCorrupt, eIo.
   */
  static Result<std::optional<std::string>> load(FileOperations& aOperations,
                                                 const std::string& aFolder);

  /**
   * Creates a random id and stores it durably. Errors: eConflict (the folder has one, or holds
   * other files, whose owner is then unknown), eIo.
   */
  static Result<std::string> create(FileOperations& aOperations, const std::string& aFolder);
};

} // namespace magnoliadrum
