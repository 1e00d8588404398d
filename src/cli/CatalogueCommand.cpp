#include "cli/CatalogueCommand.h"

#include "platform/CatalogueCodec.h"
#include "state/BuildValue.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

namespace magnoliadrum {

namespace {

const char* const kStep = "check catalogue";
/** Value of --against for the version in force, whichever it is. */
const char* const kInForce = "in-force";

const char*
nameOf(FindingLevel aLevel)
{
  switch (aLevel) {
    case FindingLevel::eError:
      return "error";
    case FindingLevel::eWarning:
      return "warning";
    case FindingLevel::eNote:
      return "note";
  }
  return "";
}

/** Splits the detail of a decoding error, which lists its faults as "PATH: WHAT; PATH: WHAT". */
std::vector<CatalogueFinding>
errorsOf(const Error& aError, const std::string& aPrefix)
{
  std::vector<CatalogueFinding> findings;
  std::string rest = aError.detail();
  while (!rest.empty()) {
    const std::size_t end = rest.find("; ");
    const std::string fault = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 2);
    const std::size_t colon = fault.find(": ");
    const std::string path = colon == std::string::npos ? "" : fault.substr(0, colon);
    const std::string separator = aPrefix.empty() || path.empty() ? "" : ".";
    findings.push_back({ FindingLevel::eError,
                         aPrefix + separator + path,
                         colon == std::string::npos ? fault : fault.substr(colon + 2) });
  }
  return findings;
}

std::optional<std::string>
readText(const std::string& aFileName)
{
  std::ifstream file(aFileName, std::ios::binary);
  if (!file.is_open()) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

CatalogueReading
readRecords(const nlohmann::json& aContent)
{
  const nlohmann::json items = aContent.is_array() ? aContent : nlohmann::json::array({ aContent });
  CatalogueRecords records;
  std::vector<CatalogueFinding> faults;
  for (std::size_t index = 0; index < items.size(); index++) {
    // GCC 12 warns at -O3 about "[" + std::to_string(index).
    std::string path = "[";
    path.append(std::to_string(index)).append("]");
    const auto addFaults = [&faults, &path](const Error& aError) {
      const std::vector<CatalogueFinding> errors = errorsOf(aError, path);
      faults.insert(faults.end(), errors.begin(), errors.end());
    };
    if (items[index].is_object() && items[index].contains("name")) {
      const Result<CatalogueEntry> entry = CatalogueEntry::fromJson(items[index], kStep, "file");
      if (isOk(entry)) {
        records.entries.push_back(valueOf(entry));
      } else {
        addFaults(errorOf(entry));
      }
    } else {
      const Result<OwnerQuota> quota = OwnerQuota::fromJson(items[index], kStep, "file");
      if (isOk(quota)) {
        records.quotas.push_back(valueOf(quota));
      } else {
        addFaults(errorOf(quota));
      }
    }
  }
  if (!faults.empty()) {
    return faults;
  }
  return CatalogueContent(std::move(records));
}

} // namespace

ExitStatus
CatalogueReport::exitStatus() const
{
  const auto has = [this](FindingLevel aLevel) {
    return std::any_of(findings.begin(), findings.end(), [aLevel](const CatalogueFinding& aOne) {
      return aOne.level == aLevel;
    });
  };
  if (has(FindingLevel::eError)) {
    return ExitStatus::eFailure;
  }
  return has(FindingLevel::eWarning) ? ExitStatus::eWarnings : ExitStatus::eSuccess;
}

std::string
CatalogueReport::toText() const
{
  std::ostringstream text;
  for (const CatalogueFinding& finding : findings) {
    text << nameOf(finding.level) << " " << finding.path << (finding.path.empty() ? "" : ": ")
         << finding.reason << "\n";
  }
  for (const CatalogueDifference& difference : differences) {
    if (difference.before.empty()) {
      text << "added " << difference.path << ": " << difference.after << "\n";
    } else if (difference.after.empty()) {
      text << "removed " << difference.path << ": " << difference.before << "\n";
    } else {
      text << "changed " << difference.path << ": " << difference.before << " -> "
           << difference.after << "\n";
    }
  }
  if (findings.empty()) {
    text << "nothing found\n";
  }
  return text.str();
}

nlohmann::json
CatalogueReport::toJson() const
{
  nlohmann::json report = { { "findings", nlohmann::json::array() },
                            { "differences", nlohmann::json::array() } };
  for (const CatalogueFinding& finding : findings) {
    report["findings"].push_back({ { "level", nameOf(finding.level) },
                                   { "path", finding.path },
                                   { "reason", finding.reason } });
  }
  const auto valueOrNull = [](const std::string& aText) {
    return aText.empty() ? nlohmann::json() : nlohmann::json::parse(aText);
  };
  for (const CatalogueDifference& difference : differences) {
    report["differences"].push_back({ { "path", difference.path },
                                      { "before", valueOrNull(difference.before) },
                                      { "after", valueOrNull(difference.after) } });
  }
  return report;
}

CatalogueReading
readCatalogue(const std::string& aText)
{
  constexpr bool kThrow = false;
  const nlohmann::json content = nlohmann::json::parse(aText, nullptr, kThrow);
  if (content.is_discarded()) {
    return std::vector<CatalogueFinding>{ { FindingLevel::eError, "", "not valid JSON" } };
  }
  if (!content.is_object() || content.contains("name") || content.contains("owner")) {
    return readRecords(content);
  }
  const bool isOwnFormat = content.contains("queues") || content.contains("pools");
  const Result<QueueCatalogue> catalogue = isOwnFormat
                                             ? QueueCatalogue::fromJson(content, kStep, "file")
                                             : platform::decodeCatalogue(aText, "file");
  if (!isOk(catalogue)) {
    return errorsOf(errorOf(catalogue), "");
  }
  return CatalogueContent(valueOf(catalogue));
}

CatalogueCommand::CatalogueCommand(GatewayClient& aClient,
                                   const CommandOptions& aOptions,
                                   std::ostream& aOut,
                                   std::ostream& aErr)
  : mClient(aClient)
  , mOptions(aOptions)
  , mOut(aOut)
  , mErr(aErr)
{
}

ExitStatus
CatalogueCommand::check(const std::string& aFileName)
{
  const std::optional<std::string> text = readText(aFileName);
  if (!text) {
    mErr << aFileName << ": cannot be opened\n";
    return ExitStatus::eUsage;
  }
  CatalogueReport report;
  const CatalogueReading read = readCatalogue(*text);
  if (const std::vector<CatalogueFinding>* faults =
        std::get_if<std::vector<CatalogueFinding>>(&read)) {
    report.findings = *faults;
  } else {
    const CatalogueContent& content = std::get<CatalogueContent>(read);
    const QueueCatalogue* queues = std::get_if<QueueCatalogue>(&content);
    std::optional<Base> base;
    if (!mOptions.mAgainst.empty()) {
      const Result<Base> found = readBase(queues != nullptr);
      if (!isOk(found)) {
        mErr << errorOf(found).text() << "\n";
        return ExitStatus::eUsage;
      }
      base = valueOf(found);
    }
    if (queues != nullptr) {
      report.findings = CatalogueCheck::check(*queues);
      if (base) {
        const QueueCatalogue& before = std::get<QueueCatalogue>(base->content);
        const std::vector<CatalogueFinding> findings =
          CatalogueCheck::checkVersion(before, *queues);
        report.findings.insert(report.findings.end(), findings.begin(), findings.end());
        report.differences = CatalogueCheck::compare(before, *queues);
      }
    } else {
      const CatalogueRecords& records = std::get<CatalogueRecords>(content);
      const CatalogueRecords before =
        base ? std::get<CatalogueRecords>(base->content) : CatalogueRecords();
      report.findings = CatalogueCheck::check(
        records, before, base ? base->targets : std::vector<TargetDescription>());
      if (base) {
        report.differences = CatalogueCheck::compare(before, records);
      }
    }
  }
  mOut << (mOptions.mFormat == "json" ? report.toJson().dump(2) + "\n" : report.toText());
  return report.exitStatus();
}

Result<CatalogueCommand::Base>
CatalogueCommand::readBase(bool aIsQueues)
{
  const std::string& against = mOptions.mAgainst;
  const bool isVersion =
    against == kInForce || against.find_first_not_of("0123456789") == std::string::npos;
  if (isVersion) {
    return aIsQueues ? fetchQueues() : fetchRecords();
  }
  const std::optional<std::string> text = readText(against);
  if (!text) {
    return Error::create(ErrorCode::eInvalid, kStep, against, "cannot be opened");
  }
  const CatalogueReading read = readCatalogue(*text);
  const CatalogueContent* content = std::get_if<CatalogueContent>(&read);
  if (content == nullptr || std::holds_alternative<QueueCatalogue>(*content) != aIsQueues) {
    return Error::create(
      ErrorCode::eInvalid, kStep, against, "is not a valid catalogue of the same kind");
  }
  return Base{ *content, {} };
}

Result<nlohmann::json>
CatalogueCommand::fetch(const std::string& aPath)
{
  const Result<GatewayAnswer> answer = mClient.request("GET", aPath);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  if (!valueOf(answer).isSuccess()) {
    return Error::create(ErrorCode::eUnavailable,
                         kStep,
                         "gateway",
                         aPath + ": status " + std::to_string(valueOf(answer).mStatus));
  }
  return valueOf(answer).mBody;
}

Result<Done>
CatalogueCommand::checkVersion(std::int64_t aInForce) const
{
  if (mOptions.mAgainst == kInForce || mOptions.mAgainst == std::to_string(aInForce)) {
    return Done{};
  }
  return Error::create(ErrorCode::eConflict,
                       kStep,
                       "gateway",
                       "version " + mOptions.mAgainst + " is not in force, but " +
                         std::to_string(aInForce));
}

Result<CatalogueCommand::Base>
CatalogueCommand::fetchQueues()
{
  const Result<nlohmann::json> body = fetch("/v1/queues");
  if (!isOk(body)) {
    return errorOf(body);
  }
  const Result<QueueCatalogueReply> reply =
    QueueCatalogueReply::fromJson(valueOf(body), kStep, "gateway");
  if (!isOk(reply)) {
    return errorOf(reply);
  }
  const Result<Done> isVersion = checkVersion(valueOf(reply).version());
  if (!isOk(isVersion)) {
    return errorOf(isVersion);
  }
  if (!valueOf(reply).catalogue()) {
    return Error::create(ErrorCode::eNotFound, kStep, "gateway", "no queues are in force yet");
  }
  return Base{ *valueOf(reply).catalogue(), {} };
}

Result<CatalogueCommand::Base>
CatalogueCommand::fetchRecords()
{
  const Result<nlohmann::json> body = fetch("/v1/catalogue");
  const Result<nlohmann::json> statusBody = fetch("/v1/status");
  if (!isOk(body) || !isOk(statusBody)) {
    return isOk(body) ? errorOf(statusBody) : errorOf(body);
  }
  const Result<CatalogueListing> listing =
    CatalogueListing::fromJson(valueOf(body), kStep, "gateway");
  const Result<ClusterStatus> status =
    ClusterStatus::fromJson(valueOf(statusBody), kStep, "gateway");
  if (!isOk(listing) || !isOk(status)) {
    return isOk(listing) ? errorOf(status) : errorOf(listing);
  }
  const Result<Done> isVersion = checkVersion(valueOf(listing).catalogueVersion());
  if (!isOk(isVersion)) {
    return errorOf(isVersion);
  }
  Base base;
  CatalogueRecords records;
  for (const CatalogueRecord& record : valueOf(listing).records()) {
    if (record.entry()) {
      records.entries.push_back(*record.entry());
    } else if (record.quota()) {
      records.quotas.push_back(*record.quota());
    }
  }
  base.content = std::move(records);
  for (const SessionStatus& session : valueOf(status).sessions()) {
    if (session.record().target()) {
      base.targets.push_back(*session.record().target());
    }
  }
  return base;
}

} // namespace magnoliadrum
