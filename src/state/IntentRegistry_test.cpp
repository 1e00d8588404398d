#include "state/state_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

IntentAnswer
openIntent(IntentRegistry& aIntents, const std::string& aAttempt, const std::string& aDigest = "d")
{
  return std::get<IntentAnswer>(aIntents.open(buildValue<OpenIntent>(
    { .intent = buildValue<IntentRecord>(
        { .key = "k", .entryName = "pickup", .requestDigest = aDigest, .attempt = aAttempt }) })));
}

Outcome
settleIntent(IntentRegistry& aIntents, const std::string& aAttempt, IntentOutcome aOutcome)
{
  SettleIntent::Fields fields{
    .key = "k", .entryName = "pickup", .attempt = aAttempt, .outcome = aOutcome
  };
  if (aOutcome == IntentOutcome::eDone) {
    fields.answer = buildValue<HttpAnswer>({ .status = 200, .body = "confirmed" });
  }
  return aIntents.settle(buildValue<SettleIntent>(std::move(fields)));
}

} // namespace

// Guards against two gateways that run a request under the same key.
BOOST_AUTO_TEST_CASE(open_key_is_granted_to_one_attempt)
{
  IntentRegistry intents;
  BOOST_TEST(openIntent(intents, "a1").mGranted);
  BOOST_TEST(!openIntent(intents, "a2").mGranted);
  BOOST_TEST(openIntent(intents, "a1").mGranted);
  BOOST_TEST(isError(settleIntent(intents, "a2", IntentOutcome::eNotRun), ErrorCode::eConflict));
}

// Guards against a second run of a request whose answer was lost on the way to the caller.
BOOST_AUTO_TEST_CASE(done_intent_returns_the_stored_answer)
{
  IntentRegistry intents;
  openIntent(intents, "a1");
  settleIntent(intents, "a1", IntentOutcome::eDone);
  settleIntent(intents, "a1", IntentOutcome::eNotRun);
  for (const char* attempt : { "a1", "a2" }) {
    const IntentAnswer answer = openIntent(intents, attempt);
    BOOST_TEST(!answer.mGranted);
    BOOST_TEST(answer.mIntent->answer()->body() == "confirmed");
  }
}

// Guards against returning the answer of one request for a different request with the same key.
BOOST_AUTO_TEST_CASE(digest_mismatch_under_the_same_key_is_reported)
{
  IntentRegistry intents;
  openIntent(intents, "a1", "d1");
  const IntentAnswer answer = openIntent(intents, "a2", "d2");
  BOOST_TEST(!answer.mGranted);
  BOOST_TEST(!answer.mDigestMatches);
}

// Guards against a late resend of IntentBegin that reopens a key its attempt settled as not run.
BOOST_AUTO_TEST_CASE(not_run_frees_the_key_for_other_attempts_only)
{
  IntentRegistry intents;
  openIntent(intents, "a1");
  settleIntent(intents, "a1", IntentOutcome::eNotRun);
  BOOST_TEST(!openIntent(intents, "a1").mGranted);
  BOOST_TEST(openIntent(intents, "a2", "d2").mGranted);
  BOOST_TEST(!openIntent(intents, "a1").mGranted);
}

// Guards against a rerun of a request whose outcome is unknown.
BOOST_AUTO_TEST_CASE(unknown_outcome_keeps_the_key)
{
  IntentRegistry intents;
  openIntent(intents, "a1");
  settleIntent(intents, "a1", IntentOutcome::eUnknown);
  settleIntent(intents, "a1", IntentOutcome::eNotRun);
  const IntentAnswer answer = openIntent(intents, "a2");
  BOOST_TEST(!answer.mGranted);
  BOOST_TEST((answer.mIntent->outcome() == IntentOutcome::eUnknown));
  settleIntent(intents, "a1", IntentOutcome::eDone);
  BOOST_TEST((openIntent(intents, "a2").mIntent->outcome() == IntentOutcome::eDone));
}

// Guards against memory that grows with the number of answers.
BOOST_AUTO_TEST_CASE(stored_answers_are_bounded)
{
  IntentRegistry intents;
  const std::size_t bodyBytes = std::size_t{ 1024 } * 1024;
  const std::size_t count = IntentRegistry::kMaxStoredAnswerBytes / bodyBytes + 5;
  for (std::size_t number = 0; number < count; number++) {
    const std::string key = std::to_string(number);
    intents.open(buildValue<OpenIntent>(
      { .intent = buildValue<IntentRecord>({ .key = key, .entryName = "e", .attempt = "a" }) }));
    const auto answer =
      buildValue<HttpAnswer>({ .status = 200, .body = std::string(bodyBytes, 'x') });
    intents.settle(buildValue<SettleIntent>({ .key = key,
                                              .entryName = "e",
                                              .attempt = "a",
                                              .outcome = IntentOutcome::eDone,
                                              .answer = answer }));
  }
  BOOST_TEST(intents.size() == count - 5);
  BOOST_TEST((intents.find("e", "0") == nullptr));
}

// Guards against rows that are assigned to the wrong minute when they are merged by hour.
BOOST_AUTO_TEST_CASE(old_service_level_rows_are_merged_by_hour)
{
  ServiceLevelHistory history;
  const auto record = [&history](std::int64_t aMinute) {
    const ServiceLevelRow row = buildValue<ServiceLevelRow>({ .entryName = "pickup",
                                                              .minute = aMinute,
                                                              .total = 2,
                                                              .good = 1,
                                                              .latencyCounts = { 1, 1 } });
    history.record(buildValue<RecordServiceLevel>({ .rows = { row } }));
  };
  record(61);
  record(119);
  record(119);
  record(120 + ServiceLevelHistory::kMinuteRowRetentionMinutes);
  const std::vector<ServiceLevelRow> rows = history.rows("pickup");
  BOOST_REQUIRE(rows.size() == 2U);
  BOOST_TEST(rows[0].minute() == 60);
  BOOST_TEST(rows[0].total() == 6);
  BOOST_TEST((rows[0].latencyCounts() == std::vector<std::int64_t>{ 3, 3 }));
}
