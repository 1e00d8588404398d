#include "testbench/HistoryChecker.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace magnoliadrum {

namespace {

Result<std::vector<nlohmann::json>>
readLines(const std::string& aSource, const std::string& aText)
{
  std::vector<nlohmann::json> lines;
  std::istringstream input(aText);
  std::string line;
  while (std::getline(input, line)) {
    const bool isTorn = input.eof();
    nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    const bool isEvent = event.is_object() && event.contains("event") && event.contains("atMs");
    if (isEvent) {
      lines.push_back(std::move(event));
    } else if (!isTorn) {
      return Error::create(ErrorCode::eInvalid, "history.read", aSource, "bad line: " + line);
    }
  }
  return lines;
}

} // namespace

HistoryChecker::HistoryChecker(Options aOptions)
  : mOptions(aOptions)
{
}

Result<Done>
HistoryChecker::addHistory(const std::string& aSource, const std::string& aText)
{
  const Result<std::vector<nlohmann::json>> lines = readLines(aSource, aText);
  if (!isOk(lines)) {
    return errorOf(lines);
  }
  if (valueOf(lines).empty()) {
    return Done{};
  }
  try {
    const std::string kind = valueOf(lines).front().value("kind", "callers");
    if (kind == "worker") {
      addWorker(aSource, valueOf(lines));
    } else if (kind == "executor") {
      addExecutor(aSource, valueOf(lines));
    } else {
      addCallers(aSource, valueOf(lines));
    }
  } catch (const nlohmann::json::exception& exception) {
    return Error::create(ErrorCode::eInvalid, "history.read", aSource, exception.what());
  }
  return Done{};
}

Result<Done>
HistoryChecker::addFile(const std::string& aFileName)
{
  const std::ifstream file(aFileName);
  if (!file) {
    return Error::create(ErrorCode::eIo, "history.read", aFileName, "cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return addHistory(aFileName, text.str());
}

Result<Done>
HistoryChecker::setEntries(const std::string& aText)
{
  try {
    for (const nlohmann::json& entry : nlohmann::json::parse(aText)) {
      const auto allowed = entry.at("dataCentres").get<std::set<std::string>>();
      mAllowed[entry.at("name").get<std::string>()] = allowed;
    }
  } catch (const nlohmann::json::exception& exception) {
    return Error::create(ErrorCode::eInvalid, "history.entries", "local", exception.what());
  }
  return Done{};
}

void
HistoryChecker::addExecutor(const std::string& aSource, const std::vector<nlohmann::json>& aLines)
{
  std::int64_t slots = 0;
  std::multiset<std::string> running;
  for (const nlohmann::json& line : aLines) {
    const std::string event = line.at("event").get<std::string>();
    if (event == "capacity") {
      slots = line.at("slots").get<std::int64_t>();
      running.clear();
    } else if (event == "received") {
      const std::string requestId = line.at("requestId").get<std::string>();
      mReceivedById[requestId]++;
      mReceivedByKey[line.at("key").get<std::string>()]++;
      running.insert(requestId);
      if (static_cast<std::int64_t>(running.size()) > slots) {
        mFound.push_back({ "executor-overcommit",
                           aSource + " runs " + std::to_string(running.size()) + " requests in " +
                             std::to_string(slots) + " slots" });
      }
    } else if (event == "finished") {
      const auto position = running.find(line.at("requestId").get<std::string>());
      if (position != running.end()) {
        running.erase(position);
      }
    }
  }
}

void
HistoryChecker::addCallers(const std::string& aSource, const std::vector<nlohmann::json>& aLines)
{
  for (const nlohmann::json& line : aLines) {
    const std::string event = line.at("event").get<std::string>();
    const std::string key = line.at("key").get<std::string>();
    CallerRequest& request = mCallerRequests[key];
    request.mRepeatable = line.value("repeatable", true);
    if (event == "resent") {
      request.mResent = true;
    } else if (event == "mixed-up") {
      mFound.push_back({ "mixed-up-answer", aSource + ": answer to " + key + " is another's" });
    } else if (event == "result") {
      request.mOutcome = line.at("outcome").get<std::string>();
      const std::string answered = line.value("answerKey", key);
      if (answered != key) {
        mFound.push_back(
          { "mixed-up-answer", aSource + ": " + key + " got the answer to " + answered });
      }
    }
  }
}

void
HistoryChecker::checkRequests(Violations& aFound) const
{
  for (const auto& [requestId, count] : mReceivedById) {
    if (!requestId.empty() && count > 1) {
      aFound.push_back({ "request-id-repeated", requestId + " was run more than once" });
    }
  }
  for (const auto& [key, request] : mCallerRequests) {
    const auto position = mReceivedByKey.find(key);
    const int count = position != mReceivedByKey.end() ? position->second : 0;
    if (!request.mRepeatable && count > 1) {
      aFound.push_back(
        { "non-repeatable-repeated", key + " was run " + std::to_string(count) + " times" });
    }
    // Of a request that was sent again, only the last attempt is known not to have run.
    if (request.mOutcome == "not-run" && !request.mResent && count > 0) {
      aFound.push_back({ "false-not-run", key + " was run although it was refused" });
    }
    if (request.mOutcome == "done" && count == 0) {
      aFound.push_back({ "done-without-run", key + " has an answer that no executor gave" });
    }
  }
}

std::vector<HistoryViolation>
HistoryChecker::check() const
{
  Violations found = mFound;
  std::map<std::string, std::vector<Run>> byTask;
  for (const Run& run : mRuns) {
    byTask[run.mTaskId].push_back(run);
  }
  for (const auto& [taskId, runs] : byTask) {
    checkTask(runs, found);
    checkFinished(taskId, found);
  }
  checkPublications(found);
  checkRequests(found);
  return found;
}

} // namespace magnoliadrum
