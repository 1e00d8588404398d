#pragma once

#include "cli/GatewayClient.h"

#include <ostream>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Exit statuses of magnoliadrumctl. */
enum class ExitStatus
{
  eSuccess = 0,
  eFailure = 1,    /**< The operation was refused or its result is not known. */
  eUsage = 2,      /**< The words of the call are wrong. */
  eNotInForce = 3, /**< The change is accepted but was not in force everywhere in time. */
  eWarnings = 4    /**< A check found no errors, but warnings. */
};

/** Flags that several commands share. */
struct CommandOptions
{
  bool mWait = false;
  std::int64_t mWaitMs = 10000;
  /** Version that the record must have; -1 takes the current one. */
  std::int64_t mExpectedVersion = -1;
  /** text, json or html. */
  std::string mFormat = "text";
  std::string mPayload;
  /** What a catalogue is compared with: a version number, in-force, or a file; empty for nothing.
   */
  std::string mAgainst;
};

/** One operator command against the gateways. */
class CommandLine
{
public:
  CommandLine(GatewayClient& aClient,
              CommandOptions aOptions,
              std::ostream& aOut,
              std::ostream& aErr);

  /** Runs a command such as { "apply", "entry.json" }. */
  ExitStatus run(const std::vector<std::string>& aWords);

  /** Lists the commands with an example each. */
  static std::string usage();

private:
  ExitStatus apply(const std::string& aFileName);
  ExitStatus applyRecord(const nlohmann::json& aContent);
  ExitStatus remove(const std::string& aRecordName);
  ExitStatus submitChange(const std::string& aRecordName, nlohmann::json aChange);
  ExitStatus waitInForce(std::int64_t aCatalogueVersion);
  ExitStatus showTasks(const std::string& aQuery);
  ExitStatus showStatus();
  ExitStatus showEvacuations(const std::string& aMethod, const nlohmann::json& aBody);
  ExitStatus changeMember(const std::string& aOperation,
                          const std::string& aReplicaId,
                          const std::string& aAddress);
  /** Whether a member has that address; an error when there is no such member. */
  Result<bool> hasMemberAt(const std::string& aReplicaId, const std::string& aAddress);
  ExitStatus replaceMember(const std::string& aOldId,
                           const std::string& aNewId,
                           const std::string& aAddress);
  ExitStatus report(const std::string& aEntryName);
  ExitStatus runJobs(const std::vector<std::string>& aWords);
  ExitStatus sendFile(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aFileName,
                      const std::string& aField,
                      nlohmann::json aBody);
  ExitStatus printAnswer(const std::string& aMethod,
                         const std::string& aPath,
                         const nlohmann::json& aBody = nullptr);
  ExitStatus fail(const Error& aError);
  ExitStatus fail(const GatewayAnswer& aAnswer);
  Result<std::int64_t> currentVersion(const std::string& aRecordName);

  GatewayClient& mClient;
  CommandOptions mOptions;
  std::ostream& mOut;
  std::ostream& mErr;
};

} // namespace magnoliadrum
