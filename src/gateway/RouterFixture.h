#pragma once

#include "gateway/RequestRouter.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Provides a router whose actions are recorded, and a catalogue with the service entry "svc". */
class RouterFixture : public RouterActions
{
public:
  struct Dispatch
  {
    std::uint64_t mConnection;
    RequestDispatch mMessage;
  };

  explicit RouterFixture(std::size_t aQueueLength = 100, unsigned aSeed = 1)
    : mRouter({ .mIncarnation = "gw",
                .mQueueLength = aQueueLength,
                .mRetryShare = 0.1,
                .mAgentSilenceMs = 300 },
              RandomEngine(aSeed),
              *this)
  {
    mRouter.setLease({ true, false });
    setEntry({});
  }

  static CatalogueEntry::Fields entryFields()
  {
    return { .name = "svc",
             .owner = "guild",
             .kind = EntryKind::eService,
             .workClass = WorkClass::eLatencyCritical,
             .dataCentres = { "Waco" } };
  }

  /** Publishes a new version of the default entry, modified by aChange. */
  void setEntry(const std::function<void(CatalogueEntry::Fields&)>& aChange)
  {
    CatalogueEntry::Fields fields = entryFields();
    if (aChange) {
      aChange(fields);
    }
    mVersion++;
    const CatalogueRecord record = valueOf(
      CatalogueRecord::create({ .recordName = "svc",
                                .version = mVersion,
                                .catalogueVersion = mVersion,
                                .entry = valueOf(CatalogueEntry::create(std::move(fields))) }));
    mCatalogue.apply(valueOf(CatalogueUpdate::create({ .term = 1,
                                                       .complete = true,
                                                       .fromVersion = 0,
                                                       .toVersion = mVersion,
                                                       .records = { record } })));
    mRouter.setCatalogue(mCatalogue);
  }

  /** Replaces the targets by "t1", "t2" and so on. Each gets a connection of the same number. */
  void addTargets(int aCount, std::int64_t aSlots = 2, const std::string& aDataCentre = "Waco")
  {
    mTargets.clear();
    for (int number = 1; number <= aCount; number++) {
      const TargetDescription target =
        valueOf(TargetDescription::create({ .targetId = "t" + std::to_string(number),
                                            .targetKind = TargetKind::eExecutor,
                                            .entryName = "svc",
                                            .agentAddress = "127.0.0.1:1",
                                            .dataCentre = aDataCentre,
                                            .rack = "r",
                                            .slots = aSlots }));
      mTargets.push_back(valueOf(TargetStatus::create({ .target = target, .session = number })));
    }
    mRouter.setTargets(mTargets, mNow);
    for (int number = 1; number <= aCount; number++) {
      connect(number, static_cast<std::uint64_t>(number));
    }
  }

  void connect(int aTarget, std::uint64_t aConnection)
  {
    mRouter.connectionOpened("t" + std::to_string(aTarget), aConnection);
    sendStatus(aTarget, aConnection);
  }

  void sendStatus(int aTarget, std::uint64_t aConnection, bool aLeaving = false)
  {
    const Message status = valueOf(AgentStatus::create({ .clockMs = mNow.ms() + kClockOffsetMs,
                                                         .session = aTarget,
                                                         .outstanding = 0,
                                                         .slots = 2,
                                                         .leaving = aLeaving }));
    mRouter.agentMessage(aConnection, status, mNow);
  }

  std::uint64_t submit(std::int64_t aDeadlineMs = 1000, const std::string& aKey = "")
  {
    CallerRequest call;
    call.mEntryName = "svc";
    call.mMethod = "POST";
    call.mPath = "/run";
    call.mArrivedAt = mNow;
    call.mDeadline = mNow.plusMs(aDeadlineMs);
    if (!aKey.empty()) {
      call.mIdempotencyKey = aKey;
      call.mMustNotRepeat = true;
    }
    const std::uint64_t number = mRouter.nextRequest();
    call.mBody = std::to_string(number);
    mRouter.submit(number, std::move(call), mNow);
    return number;
  }

  void answer(const Dispatch& aDispatch)
  {
    const HttpAnswer body =
      valueOf(HttpAnswer::create({ .status = 200, .body = aDispatch.mMessage.body() }));
    const Message message = valueOf(
      RequestAnswer::create({ .requestId = aDispatch.mMessage.requestId(), .answer = body }));
    mRouter.agentMessage(aDispatch.mConnection, message, mNow);
  }

  void refuse(const Dispatch& aDispatch, RefusalReason aReason)
  {
    const Message message = valueOf(
      RequestRefused::create({ .requestId = aDispatch.mMessage.requestId(), .reason = aReason }));
    mRouter.agentMessage(aDispatch.mConnection, message, mNow);
  }

  void fail(const Dispatch& aDispatch)
  {
    const Message message =
      valueOf(RequestFailed::create({ .requestId = aDispatch.mMessage.requestId() }));
    mRouter.agentMessage(aDispatch.mConnection, message, mNow);
  }

  void grantIntent(std::uint64_t aRequest)
  {
    mRouter.intentAnswered(
      aRequest, valueOf(IntentStatus::create({ .requestId = "r", .granted = true })), mNow);
  }

  void advance(std::int64_t aMs)
  {
    mNow = mNow.plusMs(aMs);
    mRouter.tick(mNow);
  }

  /** Returns a header of the response, or an empty string without a response or such a header. */
  std::string header(std::uint64_t aRequest, const std::string& aName) const
  {
    const auto answer = mAnswers.find(aRequest);
    if (answer != mAnswers.end()) {
      for (const HttpHeader& header : answer->second.headers()) {
        if (header.name() == aName) {
          return header.value();
        }
      }
    }
    return "";
  }

  std::string outcome(std::uint64_t aRequest) const { return header(aRequest, "X-Outcome"); }
  std::string reason(std::uint64_t aRequest) const { return header(aRequest, "X-Reason"); }

  void respond(std::uint64_t aRequest, const HttpAnswer& aAnswer) override
  {
    BOOST_TEST(mAnswers.emplace(aRequest, aAnswer).second, "second response to " << aRequest);
  }

  bool dispatch(std::uint64_t aConnection, const RequestDispatch& aMessage) override
  {
    if (mDispatchFails) {
      return false;
    }
    mDispatches.push_back({ aConnection, aMessage });
    return true;
  }

  void beginIntent(std::uint64_t aRequest,
                   const IntentBegin& aMessage,
                   Deadline /*aDeadline*/) override
  {
    mIntentBegins.emplace(aRequest, aMessage);
  }

  void endIntent(std::uint64_t aRequest, const IntentEnd& aMessage) override
  {
    BOOST_TEST(mIntentEnds.emplace(aRequest, aMessage).second, "second end of intent " << aRequest);
  }

  static constexpr std::int64_t kClockOffsetMs = 50000;

  MonotonicTime mNow = MonotonicTime::fromMs(1000000);
  CatalogueCopy mCatalogue;
  std::int64_t mVersion = 0;
  std::vector<TargetStatus> mTargets;
  std::vector<Dispatch> mDispatches;
  std::map<std::uint64_t, HttpAnswer> mAnswers;
  std::map<std::uint64_t, IntentBegin> mIntentBegins;
  std::map<std::uint64_t, IntentEnd> mIntentEnds;
  bool mDispatchFails = false;
  RequestRouter mRouter;
};

} // namespace magnoliadrum
