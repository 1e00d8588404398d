#pragma once

#include "cli/CommandLine.h"
#include "state/CatalogueCheck.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace magnoliadrum {

/** What a check of a catalogue has found. */
struct CatalogueReport
{
  std::vector<CatalogueFinding> findings;
  std::vector<CatalogueDifference> differences;

  /** eFailure with errors, eWarnings with warnings and no errors, otherwise eSuccess. */
  ExitStatus exitStatus() const;
  std::string toText() const;
  nlohmann::json toJson() const;
};

/** The contents of a catalogue file: queues and pools, or entries and quotas. */
using CatalogueContent = std::variant<QueueCatalogue, CatalogueRecords>;

/** The content of a catalogue file, or the errors by path when it cannot be read. */
using CatalogueReading = std::variant<CatalogueContent, std::vector<CatalogueFinding>>;

/**
 * Reads the text of a catalogue file: queues and pools in the project's format or the platform's,
 * or entries and quotas.
 */
CatalogueReading
readCatalogue(const std::string& aText);

/** The command 'catalogue check'. Works offline unless it compares with the version in force. */
class CatalogueCommand
{
public:
  CatalogueCommand(GatewayClient& aClient,
                   const CommandOptions& aOptions,
                   std::ostream& aOut,
                   std::ostream& aErr);

  ExitStatus check(const std::string& aFileName);

private:
  /** What the file is compared with, and the targets that are registered there. */
  struct Base
  {
    CatalogueContent content;
    std::vector<TargetDescription> targets;
  };

  Result<Base> readBase(bool aIsQueues);
  Result<Base> fetchQueues();
  Result<Base> fetchRecords();
  Result<nlohmann::json> fetch(const std::string& aPath);
  /** Fails when --against names another version than the one in force. */
  Result<Done> checkVersion(std::int64_t aInForce) const;

  GatewayClient& mClient;
  const CommandOptions& mOptions;
  std::ostream& mOut;
  std::ostream& mErr;
};

} // namespace magnoliadrum
