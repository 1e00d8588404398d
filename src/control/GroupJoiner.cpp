#include "control/GroupJoiner.h"

#include "observability/observability.h"
#include "state/BuildValue.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

GroupJoiner::GroupJoiner(EventLoop& aLoop,
                         CommandLog& aLog,
                         Hello aOwnHello,
                         std::string aOwnAddress,
                         std::vector<std::string> aSeeds,
                         std::function<std::vector<std::string>()> aReadSeeds)
  : mLoop(aLoop)
  , mLog(aLog)
  , mOwnHello(std::move(aOwnHello))
  , mOwnAddress(std::move(aOwnAddress))
  , mReadSeeds(std::move(aReadSeeds))
{
  setSeeds(std::move(aSeeds));
  mTickTimer = aLoop.runEvery(kRequestPeriodMs, [this]() { tick(); });
}

void
GroupJoiner::setSeeds(std::vector<std::string> aSeeds)
{
  std::erase(aSeeds, mOwnAddress);
  mSeeds.setConfigured(std::move(aSeeds));
}

bool
GroupJoiner::knowsLeader() const
{
  return !mLog.leaderAddress().empty();
}

void
GroupJoiner::tick()
{
  if (knowsLeader() || mSeeds.isEmpty()) {
    if (mConnection) {
      mConnection->close("a leader is known");
      mConnection.reset();
    }
    return;
  }
  if (mConnection && !mConnection->isClosed() && mRequestAccepted) {
    sendJoinRequest();
    return;
  }
  // The last request was not accepted within a period, the connection is closed, or there is none.
  if (mConnection) {
    mConnection->close("no answer");
  }
  connect();
}

void
GroupJoiner::readSeeds()
{
  std::vector<std::string> seeds = mReadSeeds ? mReadSeeds() : std::vector<std::string>();
  std::erase(seeds, mOwnAddress);
  if (!seeds.empty()) {
    mSeeds.setConfigured(std::move(seeds));
  }
}

void
GroupJoiner::connect()
{
  std::string address = std::exchange(mLeaderHint, "");
  if (address.empty() || address == mOwnAddress) {
    if (mSeeds.hasTriedAll()) {
      mSeeds.beginRound();
      readSeeds();
    }
    address = mSeeds.takeNext();
  }
  mRequestAccepted = false;
  MessageHandlers handlers;
  handlers.onOpen = [this](MessageConnection& /*aConnection*/) { sendJoinRequest(); };
  handlers.onMessage = [this](MessageConnection& /*aConnection*/, const Message& aMessage) {
    onMessage(aMessage);
  };
  handlers.onClosed = [](MessageConnection& /*aConnection*/, const Error& aError) {
    logDebug("connection for join requests closed",
             { { "peer", aError.peer() }, { "detail", aError.detail() } });
  };
  auto connection = MessageConnection::connect(mLoop, address, mOwnHello, std::move(handlers));
  if (!isOk(connection)) {
    logWarning("cannot connect to send a join request", errorOf(connection));
    return;
  }
  mConnection = takeValue(std::move(connection));
}

void
GroupJoiner::sendJoinRequest()
{
  mRequestCount++;
  mRequestAccepted = false;
  mConnection->send(buildValue<JoinRequest>({ .requestId = "join-" + std::to_string(mRequestCount),
                                              .replicaId = mLog.replicaId(),
                                              .address = mOwnAddress }));
}

void
GroupJoiner::onMessage(const Message& aMessage)
{
  mRequestAccepted = true;
  const OperationFailed* failed = std::get_if<OperationFailed>(&aMessage);
  if (failed == nullptr) {
    return;
  }
  logInfo("join request refused",
          { { "peer", mConnection->peer() },
            { "detail", failed->detail() },
            { "leader", failed->leaderAddress() } });
  mLeaderHint = failed->leaderAddress();
  // The next tick sends a request to the reported leader, or else to the next seed.
  mRequestAccepted = false;
}

} // namespace magnoliadrum
