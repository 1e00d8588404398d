#include "cli/CommandLine.h"

#include "cli/CatalogueCommand.h"
#include "generated/MessagesTypes.h"
#include "report/report.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <fstream>
#include <iomanip>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr std::int64_t kPollMs = 100;

std::string
newChangeId()
{
  return boost::uuids::to_string(boost::uuids::random_generator()());
}

bool
hasWords(const std::vector<std::string>& aWords, const char* aCommand, std::size_t aArguments)
{
  return aWords.size() == aArguments + 1 && aWords[0] == aCommand;
}

Result<nlohmann::json>
readFile(const std::string& aFileName)
{
  std::ifstream file(aFileName);
  constexpr bool kThrow = false;
  nlohmann::json content = file ? nlohmann::json::parse(file, nullptr, kThrow) : nlohmann::json();
  if (!file.is_open() || content.is_discarded()) {
    return Error::create(
      ErrorCode::eInvalid, "read file", aFileName, "cannot be opened or is not JSON");
  }
  return content;
}

} // namespace

CommandLine::CommandLine(GatewayClient& aClient,
                         CommandOptions aOptions,
                         std::ostream& aOut,
                         std::ostream& aErr)
  : mClient(aClient)
  , mOptions(std::move(aOptions))
  , mOut(aOut)
  , mErr(aErr)
{
}

std::string
CommandLine::usage()
{
  return "magnoliadrumctl --gateways=IP:PORT[,IP:PORT...] COMMAND\n"
         "  apply FILE                  create or change the entries or quotas in a JSON file; "
         "--wait, "
         "--expected-version\n"
         "  delete RECORD               delete an entry, or a quota as quota:OWNER; --wait\n"
         "  show RECORD                 one record\n"
         "  list                        all records\n"
         "  submit ENTRY RUNKEY         submit a run of a batch entry; --payload\n"
         "  tasks [ENTRY]               tasks with their states\n"
         "  task TASK                   one task\n"
         "  cancel TASK                 cancel a task\n"
         "  drain TARGET                give a target no new work and move its tasks away\n"
         "  undrain TARGET              end a drain\n"
         "  evacuate DATA-CENTRE        let nothing start in a data centre and move work out of "
         "it\n"
         "  take-back DATA-CENTRE       end an evacuation\n"
         "  evacuations                 evacuated data centres and what is left there\n"
         "  status                      control group and sessions\n"
         "  members                     replicas of the control group\n"
         "  add REPLICA ADDRESS         add a replica as a non-voter\n"
         "  promote REPLICA             make a caught-up replica a voter\n"
         "  remove REPLICA              remove a replica\n"
         "  replace OLD NEW ADDRESS     add, promote once caught up, then remove the old replica\n"
         "  report [ENTRY]              service-level burn report; --format=text|json|html\n"
         "  queues                      the queues and pools of jobs\n"
         "  queues apply FILE           replace all queues and pools; the highest version wins\n"
         "  catalogue check FILE        check queues, or entries and quotas, before they are sent; "
         "--against=VERSION|in-force|FILE, --format=text|json\n"
         "  job submit QUEUE FILE       hand a job in; the same id stays one job\n"
         "  job show QUEUE JOB          state of a job\n"
         "  job cancel QUEUE JOB        cancel a job\n"
         "  job waiting QUEUE           how many jobs wait for their first start\n";
}

ExitStatus
CommandLine::run(const std::vector<std::string>& aWords)
{
  if (hasWords(aWords, "apply", 1)) {
    return apply(aWords[1]);
  }
  if (hasWords(aWords, "delete", 1)) {
    return remove(aWords[1]);
  }
  if (hasWords(aWords, "show", 1)) {
    return printAnswer("GET", "/v1/catalogue/" + aWords[1]);
  }
  if (hasWords(aWords, "list", 0)) {
    return printAnswer("GET", "/v1/catalogue");
  }
  if (hasWords(aWords, "submit", 2)) {
    return printAnswer(
      "POST",
      "/v1/tasks",
      { { "entryName", aWords[1] }, { "runKey", aWords[2] }, { "payload", mOptions.mPayload } });
  }
  if (hasWords(aWords, "tasks", 0)) {
    return showTasks("");
  }
  if (hasWords(aWords, "tasks", 1)) {
    return showTasks("?entry=" + aWords[1]);
  }
  if (hasWords(aWords, "task", 1)) {
    return showTasks("?task=" + aWords[1]);
  }
  if (hasWords(aWords, "cancel", 1)) {
    return printAnswer("POST", "/v1/tasks/cancel", { { "taskId", aWords[1] } });
  }
  if (hasWords(aWords, "drain", 1) || hasWords(aWords, "undrain", 1)) {
    const bool draining = aWords[0] == "drain";
    return printAnswer(
      "POST", "/v1/targets/drain", { { "targetId", aWords[1] }, { "draining", draining } });
  }
  if (hasWords(aWords, "evacuate", 1) || hasWords(aWords, "take-back", 1)) {
    const bool evacuated = aWords[0] == "evacuate";
    return showEvacuations("POST", { { "dataCentre", aWords[1] }, { "evacuated", evacuated } });
  }
  if (hasWords(aWords, "evacuate", 0) || hasWords(aWords, "evacuations", 0)) {
    return showEvacuations("GET", nullptr);
  }
  if (hasWords(aWords, "status", 0) || hasWords(aWords, "members", 0)) {
    return showStatus();
  }
  if (hasWords(aWords, "add", 2)) {
    return changeMember("add", aWords[1], aWords[2]);
  }
  if (hasWords(aWords, "promote", 1) || hasWords(aWords, "remove", 1)) {
    return changeMember(aWords[0], aWords[1], "");
  }
  if (hasWords(aWords, "replace", 3)) {
    return replaceMember(aWords[1], aWords[2], aWords[3]);
  }
  if (hasWords(aWords, "report", 0) || hasWords(aWords, "report", 1)) {
    return report(aWords.size() == 2 ? aWords[1] : "");
  }
  if (hasWords(aWords, "catalogue", 2) && aWords[1] == "check") {
    return CatalogueCommand(mClient, mOptions, mOut, mErr).check(aWords[2]);
  }
  if (!aWords.empty() && (aWords[0] == "job" || aWords[0] == "queues")) {
    return runJobs(aWords);
  }
  mErr << usage();
  return ExitStatus::eUsage;
}

ExitStatus
CommandLine::runJobs(const std::vector<std::string>& aWords)
{
  if (hasWords(aWords, "queues", 0)) {
    return printAnswer("GET", "/v1/queues");
  }
  if (hasWords(aWords, "queues", 2) && aWords[1] == "apply") {
    return sendFile("PUT", "/v1/queues", aWords[2], "catalogue", nlohmann::json::object());
  }
  if (hasWords(aWords, "job", 3) && aWords[1] == "submit") {
    return sendFile(
      "POST", "/v1/jobs", aWords[3], "job", { { "queue", { { "name", aWords[2] } } } });
  }
  if (hasWords(aWords, "job", 3) && aWords[1] == "show") {
    return printAnswer("GET", "/v1/jobs?queue=" + aWords[2] + "&job=" + aWords[3]);
  }
  if (hasWords(aWords, "job", 3) && aWords[1] == "cancel") {
    return printAnswer("POST",
                       "/v1/jobs/cancel",
                       { { "queue", { { "name", aWords[2] } } }, { "jobId", aWords[3] } });
  }
  if (hasWords(aWords, "job", 2) && aWords[1] == "waiting") {
    return printAnswer("GET", "/v1/jobs?queue=" + aWords[2]);
  }
  mErr << usage();
  return ExitStatus::eUsage;
}

ExitStatus
CommandLine::sendFile(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aFileName,
                      const std::string& aField,
                      nlohmann::json aBody)
{
  const Result<nlohmann::json> content = readFile(aFileName);
  if (!isOk(content)) {
    return fail(errorOf(content));
  }
  aBody[aField] = valueOf(content);
  return printAnswer(aMethod, aPath, aBody);
}

ExitStatus
CommandLine::apply(const std::string& aFileName)
{
  const Result<nlohmann::json> content = readFile(aFileName);
  if (!isOk(content)) {
    return fail(errorOf(content));
  }
  const nlohmann::json records =
    valueOf(content).is_array() ? valueOf(content) : nlohmann::json::array({ valueOf(content) });
  for (const nlohmann::json& record : records) {
    const ExitStatus status = applyRecord(record);
    if (status != ExitStatus::eSuccess) {
      return status;
    }
  }
  return ExitStatus::eSuccess;
}

ExitStatus
CommandLine::applyRecord(const nlohmann::json& aContent)
{
  const bool isEntry = aContent.is_object() && aContent.contains("name");
  std::string recordName;
  nlohmann::json change;
  if (isEntry) {
    const Result<CatalogueEntry> entry = CatalogueEntry::fromJson(aContent, "check entry", "local");
    if (!isOk(entry)) {
      return fail(errorOf(entry));
    }
    recordName = valueOf(entry).name();
    change["entry"] = valueOf(entry).toJson();
  } else {
    const Result<OwnerQuota> quota = OwnerQuota::fromJson(aContent, "check quota", "local");
    if (!isOk(quota)) {
      return fail(errorOf(quota));
    }
    recordName = "quota:" + valueOf(quota).owner();
    change["quota"] = valueOf(quota).toJson();
  }
  return submitChange(recordName, std::move(change));
}

ExitStatus
CommandLine::remove(const std::string& aRecordName)
{
  return submitChange(aRecordName, nlohmann::json::object());
}

Result<std::int64_t>
CommandLine::currentVersion(const std::string& aRecordName)
{
  if (mOptions.mExpectedVersion >= 0) {
    return mOptions.mExpectedVersion;
  }
  const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/catalogue/" + aRecordName);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  if (valueOf(answer).mStatus == kStatusNotFound) {
    return std::int64_t{ 0 };
  }
  const Result<CatalogueListing> listing =
    CatalogueListing::fromJson(valueOf(answer).mBody, "read version", "gateway");
  if (!isOk(listing)) {
    return errorOf(listing);
  }
  const std::vector<CatalogueRecord>& records = valueOf(listing).records();
  return records.empty() ? std::int64_t{ 0 } : records.front().version();
}

ExitStatus
CommandLine::submitChange(const std::string& aRecordName, nlohmann::json aChange)
{
  const Result<std::int64_t> version = currentVersion(aRecordName);
  if (!isOk(version)) {
    return fail(errorOf(version));
  }
  aChange["changeId"] = newChangeId();
  aChange["recordName"] = aRecordName;
  aChange["expectedVersion"] = valueOf(version);
  const Result<GatewayAnswer> answer =
    mClient.request("PUT", "/v1/catalogue/" + aRecordName, aChange);
  if (!isOk(answer)) {
    mErr << "the outcome of change " << aChange["changeId"] << " is not known\n";
    return fail(errorOf(answer));
  }
  if (!valueOf(answer).isSuccess()) {
    return fail(valueOf(answer));
  }
  const Result<ChangeAnswer> change =
    ChangeAnswer::fromJson(valueOf(answer).mBody, "read answer", "gateway");
  if (!isOk(change)) {
    return fail(errorOf(change));
  }
  mOut << aRecordName << ": version " << valueOf(change).version() << ", catalogue version "
       << valueOf(change).catalogueVersion() << "\n";
  return mOptions.mWait ? waitInForce(valueOf(change).catalogueVersion()) : ExitStatus::eSuccess;
}

ExitStatus
CommandLine::waitInForce(std::int64_t aCatalogueVersion)
{
  const Deadline deadline = MonotonicTime::now().plusMs(mOptions.mWaitMs);
  const std::string path = "/v1/changes/" + std::to_string(aCatalogueVersion);
  std::vector<ProcessVersion> behind;
  while (MonotonicTime::now() < deadline) {
    const Result<GatewayAnswer> answer = mClient.request("GET", path);
    if (!isOk(answer)) {
      return fail(errorOf(answer));
    }
    const Result<ChangeStatus> status =
      ChangeStatus::fromJson(valueOf(answer).mBody, "read change status", "gateway");
    if (!isOk(status)) {
      return fail(valueOf(answer));
    }
    if (valueOf(status).inForce()) {
      mOut << "in force everywhere\n";
      return ExitStatus::eSuccess;
    }
    behind = valueOf(status).behind();
    mClient.sleepMs(kPollMs);
  }
  mErr << "not in force yet at:\n";
  for (const ProcessVersion& process : behind) {
    mErr << "  " << process.processId() << " (version " << process.catalogueVersion() << ")\n";
  }
  return ExitStatus::eNotInForce;
}

ExitStatus
CommandLine::showTasks(const std::string& aQuery)
{
  const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/tasks" + aQuery);
  if (!isOk(answer)) {
    return fail(errorOf(answer));
  }
  const Result<TaskListing> listing =
    TaskListing::fromJson(valueOf(answer).mBody, "read tasks", "gateway");
  if (!isOk(listing)) {
    return fail(valueOf(answer));
  }
  if (mOptions.mFormat == "json") {
    mOut << valueOf(answer).mBody.dump(2) << "\n";
    return ExitStatus::eSuccess;
  }
  for (const TaskRecord& task : valueOf(listing).tasks()) {
    mOut << std::left << std::setw(40) << task.taskId() << " " << std::setw(16)
         << toText(task.state()) << " epoch " << task.epoch() << " " << task.targetId() << " "
         << task.detail() << "\n";
  }
  for (const std::string& taskId : valueOf(listing).silent()) {
    mOut << taskId << " is silent\n";
  }
  return ExitStatus::eSuccess;
}

ExitStatus
CommandLine::showStatus()
{
  const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/status");
  if (!isOk(answer)) {
    return fail(errorOf(answer));
  }
  const Result<ClusterStatus> status =
    ClusterStatus::fromJson(valueOf(answer).mBody, "read status", "gateway");
  if (!isOk(status)) {
    return fail(valueOf(answer));
  }
  if (mOptions.mFormat == "json") {
    mOut << valueOf(answer).mBody.dump(2) << "\n";
    return ExitStatus::eSuccess;
  }
  const ClusterStatus& value = valueOf(status);
  mOut << "leader " << value.leaderId() << ", term " << value.term() << ", commit index "
       << value.commitIndex() << ", catalogue version " << value.catalogueVersion() << "\n";
  for (const ReplicaStatus& replica : value.replicas()) {
    mOut << "replica " << replica.replicaId() << " " << replica.address() << " "
         << (replica.voter() ? "voter" : "non-voter") << " match index " << replica.matchIndex()
         << "\n";
  }
  for (const SessionStatus& session : value.sessions()) {
    mOut << "session " << session.record().session() << " " << session.record().processId() << " "
         << toText(session.record().processKind()) << " catalogue version "
         << session.catalogueVersion() << (session.leaving() ? " leaving" : "")
         << (session.record().draining() ? " draining" : "") << "\n";
  }
  return ExitStatus::eSuccess;
}

ExitStatus
CommandLine::showEvacuations(const std::string& aMethod, const nlohmann::json& aBody)
{
  const Result<GatewayAnswer> answer = mClient.request(aMethod, "/v1/evacuations", aBody);
  if (!isOk(answer)) {
    return fail(errorOf(answer));
  }
  const Result<EvacuationListing> listing =
    EvacuationListing::fromJson(valueOf(answer).mBody, "read evacuations", "gateway");
  if (!valueOf(answer).isSuccess() || !isOk(listing)) {
    return fail(valueOf(answer));
  }
  if (mOptions.mFormat == "json") {
    mOut << valueOf(answer).mBody.dump(2) << "\n";
    return ExitStatus::eSuccess;
  }
  if (valueOf(listing).evacuated().empty()) {
    mOut << "no data centre is evacuated\n";
  }
  for (const EvacuationStatus& status : valueOf(listing).evacuated()) {
    mOut << status.dataCentre() << " is evacuated: " << status.workers() << " workers, "
         << status.longRunningRuns() << " long-running and " << status.otherRuns()
         << " other runs, " << status.placedTasks() << " tasks of entries left; " << status.moving()
         << " moving, " << status.waitingForBudget() << " waiting for the disruption budget, "
         << status.waitingForRoom() << " waiting for room elsewhere\n";
  }
  return ExitStatus::eSuccess;
}

ExitStatus
CommandLine::changeMember(const std::string& aOperation,
                          const std::string& aReplicaId,
                          const std::string& aAddress)
{
  return printAnswer(
    "POST",
    "/v1/members",
    { { "operation", aOperation }, { "replicaId", aReplicaId }, { "address", aAddress } });
}

Result<bool>
CommandLine::hasMemberAt(const std::string& aReplicaId, const std::string& aAddress)
{
  const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/status");
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  const Result<ClusterStatus> status =
    ClusterStatus::fromJson(valueOf(answer).mBody, "read status", "gateway");
  if (!isOk(status)) {
    return errorOf(status);
  }
  for (const ReplicaStatus& replica : valueOf(status).replicas()) {
    if (replica.replicaId() == aReplicaId) {
      return replica.address() == aAddress;
    }
  }
  return Error::create(ErrorCode::eNotFound, "replace", aReplicaId, "no such replica");
}

ExitStatus
CommandLine::replaceMember(const std::string& aOldId,
                           const std::string& aNewId,
                           const std::string& aAddress)
{
  const Result<bool> sharesAddress = hasMemberAt(aOldId, aAddress);
  if (!isOk(sharesAddress)) {
    return fail(errorOf(sharesAddress));
  }
  // Two members cannot have one address. The old replica is gone from it then, so removing it first
  // costs no quorum that the group could still have had.
  const bool removeFirst = valueOf(sharesAddress);
  if (removeFirst && changeMember("remove", aOldId, "") != ExitStatus::eSuccess) {
    return ExitStatus::eFailure;
  }
  const ExitStatus added = changeMember("add", aNewId, aAddress);
  if (added != ExitStatus::eSuccess) {
    return added;
  }
  const nlohmann::json promote = { { "operation", "promote" }, { "replicaId", aNewId } };
  const Deadline deadline = MonotonicTime::now().plusMs(mOptions.mWaitMs);
  Result<GatewayAnswer> answer = mClient.request("POST", "/v1/members", promote);
  // The leader refuses a promotion until the replica has caught up.
  while ((!isOk(answer) || !valueOf(answer).isSuccess()) && MonotonicTime::now() < deadline) {
    mClient.sleepMs(kPollMs);
    answer = mClient.request("POST", "/v1/members", promote);
  }
  if (!isOk(answer)) {
    return fail(errorOf(answer));
  }
  if (!valueOf(answer).isSuccess()) {
    mErr << aNewId << " has not caught up and stays a non-voter\n";
    return fail(valueOf(answer));
  }
  return removeFirst ? ExitStatus::eSuccess : changeMember("remove", aOldId, "");
}

ExitStatus
CommandLine::report(const std::string& aEntryName)
{
  const std::string query = aEntryName.empty() ? "" : "?entry=" + aEntryName;
  const Result<GatewayAnswer> answer = mClient.request("GET", "/v1/report" + query);
  if (!isOk(answer)) {
    return fail(errorOf(answer));
  }
  const Result<ReportRows> rows =
    ReportRows::fromJson(valueOf(answer).mBody, "read report", "gateway");
  if (!isOk(rows)) {
    return fail(valueOf(answer));
  }
  const BurnReport burn = BurnReport::create(valueOf(rows));
  if (mOptions.mFormat == "json") {
    mOut << burn.toJson().dump(2) << "\n";
  } else if (mOptions.mFormat == "html") {
    mOut << burn.toHtml();
  } else {
    mOut << burn.toText();
  }
  return ExitStatus::eSuccess;
}

ExitStatus
CommandLine::printAnswer(const std::string& aMethod,
                         const std::string& aPath,
                         const nlohmann::json& aBody)
{
  const Result<GatewayAnswer> answer = mClient.request(aMethod, aPath, aBody);
  if (!isOk(answer)) {
    return fail(errorOf(answer));
  }
  if (!valueOf(answer).isSuccess()) {
    return fail(valueOf(answer));
  }
  mOut << valueOf(answer).mBody.dump(2) << "\n";
  return ExitStatus::eSuccess;
}

ExitStatus
CommandLine::fail(const Error& aError)
{
  mErr << aError.text() << "\n";
  return ExitStatus::eFailure;
}

ExitStatus
CommandLine::fail(const GatewayAnswer& aAnswer)
{
  if (aAnswer.mStatus == kStatusConflict) {
    mErr << "conflict: another change came first\n";
  }
  mErr << "status " << aAnswer.mStatus << ": " << aAnswer.mBody.dump(2) << "\n";
  return ExitStatus::eFailure;
}

} // namespace magnoliadrum
