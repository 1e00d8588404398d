#include "testbench/HistoryChecker.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

std::string
worker(const std::string& aDataCentre = "Waco")
{
  return R"({"atMs":1,"event":"capacity","kind":"worker","resources":{"cpuMilli":1000},)"
         R"("dataCentre":")" +
         aDataCentre + "\"}\n";
}

std::string
task(std::int64_t aAtMs,
     const std::string& aEvent,
     const std::string& aTask,
     std::int64_t aEpoch,
     const std::string& aCheckpoint = "")
{
  const nlohmann::json line = { { "atMs", aAtMs },
                                { "event", aEvent },
                                { "taskId", aTask },
                                { "epoch", aEpoch },
                                { "entryName", "plan" },
                                { "resources", { { "cpuMilli", 600 } } },
                                { "checkpoint", aCheckpoint },
                                { "leaseUntilMs", 40 } };
  return line.dump() + "\n";
}

std::string
executor(const std::vector<std::string>& aReceivedKeys)
{
  std::string text = R"({"atMs":1,"event":"capacity","kind":"executor","slots":1})"
                     "\n";
  int number = 0;
  for (const std::string& key : aReceivedKeys) {
    const std::string id = "id-" + key + std::to_string(number++);
    const nlohmann::json line = {
      { "atMs", 2 }, { "event", "received" }, { "requestId", id }, { "key", key }
    };
    nlohmann::json end = line;
    end["event"] = "finished";
    text += line.dump() + "\n" + end.dump() + "\n";
  }
  return text;
}

std::string
caller(const std::string& aKey, const std::string& aEvent, const std::string& aOutcome = "")
{
  const nlohmann::json line = { { "atMs", 3 },
                                { "event", aEvent },
                                { "key", aKey },
                                { "repeatable", false },
                                { "outcome", aOutcome } };
  return line.dump() + "\n";
}

/** Returns the names of the rules that the histories break, in order. */
std::vector<std::string>
broken(const std::vector<std::string>& aHistories, HistoryChecker::Options aOptions = {})
{
  HistoryChecker checker(aOptions);
  BOOST_REQUIRE(isOk(checker.setEntries(R"([{"name":"plan","dataCentres":["Waco"]}])")));
  for (std::size_t index = 0; index < aHistories.size(); index++) {
    BOOST_REQUIRE(isOk(checker.addHistory("file-" + std::to_string(index), aHistories[index])));
  }
  std::vector<std::string> rules;
  for (const HistoryViolation& violation : checker.check()) {
    rules.push_back(violation.mRule);
  }
  return rules;
}

void
expect(const std::vector<std::string>& aHistories,
       const std::vector<std::string>& aRules,
       HistoryChecker::Options aOptions = {})
{
  const std::vector<std::string> rules = broken(aHistories, aOptions);
  BOOST_TEST(rules == aRules, boost::test_tools::per_element());
}

} // namespace

// Guards against a checker that reports faults where there are none.
BOOST_AUTO_TEST_CASE(clean_histories_have_no_violation)
{
  const std::string first = worker() + task(10, "start", "a", 1) + task(20, "stop", "a", 1, "c1") +
                            task(21, "start", "b", 1) + task(90, "lease-expired", "b", 1);
  const std::string second = worker() + task(20, "resume", "a", 2, "c1") +
                             task(30, "completed", "a", 2) + task(31, "published", "a", 2) +
                             task(50, "start", "b", 2) + task(60, "completed", "b", 2) +
                             task(61, "published", "b", 2);
  expect({ first,
           second,
           executor({ "k1" }),
           caller("k1", "sent") + caller("k1", "result", "done") +
             caller("k2", "result", "not-run") + caller("k3", "result", "unknown") },
         {},
         { .mRequireFinished = true });
}

// Each of the following guards against a checker that is blind to one rule.
BOOST_AUTO_TEST_CASE(overcommit_is_found)
{
  expect({ worker() + task(10, "start", "a", 1) + task(11, "start", "b", 1) }, { "overcommit" });
}

BOOST_AUTO_TEST_CASE(two_places_are_found)
{
  expect({ worker() + task(10, "start", "a", 1) + task(20, "stop", "a", 1),
           worker() + task(19, "start", "a", 2) },
         { "two-places" });
  expect({ worker() + task(10, "start", "a", 1), worker() + task(19, "start", "a", 2) },
         { "two-places" });
  expect({ worker() + task(10, "start", "a", 1) + R"({"atMs":15,"event":"killed"})" + "\n",
           worker() + task(19, "start", "a", 2) },
         {});
}

BOOST_AUTO_TEST_CASE(second_resumption_of_one_stop_is_found)
{
  expect({ worker() + task(10, "start", "a", 1) + task(20, "stop", "a", 1, "c1") +
           task(21, "resume", "a", 2, "c1") + task(22, "stop", "a", 2, "c1") +
           task(23, "resume", "a", 2, "c1") },
         { "epoch-repeated" });
}

BOOST_AUTO_TEST_CASE(wrong_checkpoint_is_found)
{
  const std::string history = worker() + task(10, "start", "a", 1) +
                              task(20, "stop", "a", 1, "c1") + task(21, "resume", "a", 2, "c0");
  expect({ history }, { "wrong-checkpoint" });
  expect({ history }, {}, { .mAllowOlderCheckpoints = true });
}

BOOST_AUTO_TEST_CASE(faulty_publications_are_found)
{
  const std::string completed =
    worker() + task(10, "start", "a", 1) + task(20, "completed", "a", 1);
  expect({ completed + task(21, "published", "a", 1) + task(22, "published", "a", 1) },
         { "published-twice" });
  expect({ completed + task(21, "published", "a", 1) + task(30, "start", "a", 2) },
         { "run-after-publication" });
  expect({ worker() + task(10, "start", "a", 1) + task(21, "published", "a", 1) },
         { "published-uncompleted" });
  expect({ completed }, { "not-finished" }, { .mRequireFinished = true });
}

BOOST_AUTO_TEST_CASE(forbidden_data_centre_is_found)
{
  expect({ worker("Temple") + task(10, "start", "a", 1) }, { "data-centre" });
}

BOOST_AUTO_TEST_CASE(faults_of_requests_are_found)
{
  expect({ executor({ "k", "k" }), caller("k", "result", "done") }, { "non-repeatable-repeated" });
  expect({ executor({ "k" }), caller("k", "result", "not-run") }, { "false-not-run" });
  expect({ executor({}), caller("k", "result", "done") }, { "done-without-run" });
  expect({ executor({ "k" }), caller("k", "mixed-up", "done") }, { "mixed-up-answer" });
  const std::string received = R"({"atMs":2,"event":"received","requestId":"i","key":"k"})"
                               "\n";
  expect({ executor({}) + received + received }, { "executor-overcommit", "request-id-repeated" });
}

// Guards against a killed process whose torn last line hides the rest of its history.
BOOST_AUTO_TEST_CASE(torn_last_line_is_ignored_and_a_bad_line_before_it_is_not)
{
  HistoryChecker checker({});
  BOOST_TEST(isOk(checker.addHistory("a", worker() + R"({"atMs":2,"ev)")));
  BOOST_TEST(!isOk(checker.addHistory("b", worker() + "{\n" + worker())));
}
