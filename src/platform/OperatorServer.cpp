#include "platform/OperatorServer.h"

#include "observability/observability.h"
#include "platform/CatalogueCodec.h"
#include "platform/JsonAnswers.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace magnoliadrum::platform {

namespace {

const char* const kCataloguePath = "/-/config";
const char* const kEvacuationsPath = "/-/evacuate";
constexpr std::string_view kEvacuationPrefix = "/-/evacuate/";

/** Largest accepted catalogue; its message must stay below the limit for messages. */
constexpr std::size_t kMaxBodyBytes = 1900000;

/** Encodes the evacuated data centres and what is left in each. */
std::string
encodeEvacuations(const EvacuationListing& aListing)
{
  nlohmann::json zones = nlohmann::json::array();
  for (const EvacuationStatus& status : aListing.evacuated()) {
    zones.push_back({ { "Zone", status.dataCentre() },
                      { "Executors", status.workers() },
                      { "LongRunning", status.longRunningRuns() },
                      { "Running", status.otherRuns() },
                      { "Moving", status.moving() },
                      { "WaitingForBudget", status.waitingForBudget() },
                      { "WaitingForRoom", status.waitingForRoom() } });
  }
  return nlohmann::json({ { "Evacuated", std::move(zones) } }).dump();
}

} // namespace

OperatorServer::OperatorServer(std::string aAddress, ControlProcessCall aCall)
  : mAddress(std::move(aAddress))
  , mCall(std::move(aCall))
{
}

Result<std::unique_ptr<OperatorServer>>
OperatorServer::start(EventLoop& aLoop, const std::string& aAddress, ControlProcessCall aCall)
{
  std::unique_ptr<OperatorServer> server(new OperatorServer(aAddress, std::move(aCall)));
  auto listening = HttpServer::listen(
    aLoop,
    aAddress,
    kMaxBodyBytes,
    [self = server.get()](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
      self->onRequest(aRequest, aResponder);
    });
  if (!isOk(listening)) {
    return errorOf(listening);
  }
  server->mServer = takeValue(std::move(listening));
  return server;
}

std::string
OperatorServer::nextRequestId()
{
  mRequestCount++;
  return "operator-" + std::to_string(mRequestCount);
}

void
OperatorServer::onRequest(const HttpRequest& aRequest, const HttpResponderPointer& aResponder)
{
  if (aRequest.mPath == kCataloguePath && aRequest.mMethod == "PUT") {
    replaceCatalogue(aRequest, aResponder);
  } else if (aRequest.mPath == kCataloguePath && aRequest.mMethod == "GET") {
    readCatalogue(aRequest, aResponder);
  } else if (aRequest.mPath.starts_with(kEvacuationPrefix) &&
             (aRequest.mMethod == "POST" || aRequest.mMethod == "DELETE")) {
    setEvacuation(aRequest, aResponder);
  } else if (aRequest.mPath == kEvacuationsPath && aRequest.mMethod == "GET") {
    readEvacuations(aRequest, aResponder);
  } else {
    logInfo("operator request rejected",
            { { "method", aRequest.mMethod }, { "path", aRequest.mPath } });
    aResponder->answer(errorAnswer(kStatusNotFound, "no such operation"));
  }
}

void
OperatorServer::replaceCatalogue(const HttpRequest& aRequest,
                                 const HttpResponderPointer& aResponder)
{
  const Result<QueueCatalogue> catalogue = decodeCatalogue(aRequest.mBody, aRequest.mPeer);
  if (!isOk(catalogue)) {
    logWarning("queue catalogue rejected", errorOf(catalogue));
    aResponder->answer(errorAnswer(kStatusBadRequest, errorOf(catalogue).detail()));
    return;
  }
  const Result<QueueCatalogueSubmit> message =
    QueueCatalogueSubmit::create({ .requestId = nextRequestId(), .catalogue = valueOf(catalogue) });
  if (!isOk(message)) {
    aResponder->answer(errorAnswer(kStatusBadRequest, errorOf(message).detail()));
    return;
  }
  mCall(valueOf(message), [this, aRequest, aResponder](const Reply& aReply) {
    const bool isReplaced =
      isOk(aReply.message) && std::holds_alternative<QueueCatalogueReply>(valueOf(aReply.message));
    aResponder->answer(isReplaced ? jsonAnswer(kStatusOk) : answerOf(aRequest, aReply));
  });
}

void
OperatorServer::readCatalogue(const HttpRequest& aRequest, const HttpResponderPointer& aResponder)
{
  const Message message = valueOf(QueueCatalogueQuery::create({ .requestId = nextRequestId() }));
  mCall(message, [this, aRequest, aResponder](const Reply& aReply) {
    const QueueCatalogueReply* reply =
      isOk(aReply.message) ? std::get_if<QueueCatalogueReply>(&valueOf(aReply.message)) : nullptr;
    if (reply == nullptr) {
      aResponder->answer(answerOf(aRequest, aReply));
    } else if (reply->version() < 0) {
      aResponder->answer(errorAnswer(kStatusServiceUnavailable, "no catalogue has been set yet"));
    } else {
      aResponder->answer(jsonAnswer(kStatusOk, reply->source()));
    }
  });
}

void
OperatorServer::setEvacuation(const HttpRequest& aRequest, const HttpResponderPointer& aResponder)
{
  const Result<EvacuationRequest> message =
    EvacuationRequest::create({ .requestId = nextRequestId(),
                                .dataCentre = aRequest.mPath.substr(kEvacuationPrefix.size()),
                                .evacuated = aRequest.mMethod == "POST" });
  if (!isOk(message)) {
    aResponder->answer(errorAnswer(kStatusBadRequest, errorOf(message).detail()));
    return;
  }
  sendForEvacuations(valueOf(message), aRequest, aResponder);
}

void
OperatorServer::readEvacuations(const HttpRequest& aRequest, const HttpResponderPointer& aResponder)
{
  const Message message = valueOf(EvacuationQuery::create({ .requestId = nextRequestId() }));
  sendForEvacuations(message, aRequest, aResponder);
}

void
OperatorServer::sendForEvacuations(const Message& aMessage,
                                   const HttpRequest& aRequest,
                                   const HttpResponderPointer& aResponder)
{
  mCall(aMessage, [this, aRequest, aResponder](const Reply& aReply) {
    const EvacuationListing* listing =
      isOk(aReply.message) ? std::get_if<EvacuationListing>(&valueOf(aReply.message)) : nullptr;
    aResponder->answer(listing != nullptr ? jsonAnswer(kStatusOk, encodeEvacuations(*listing))
                                          : answerOf(aRequest, aReply));
  });
}

HttpAnswer
OperatorServer::answerOf(const HttpRequest& aRequest, const Reply& aReply) const
{
  if (!aReply.leaderAddress.empty()) {
    const std::string host = aReply.leaderAddress.substr(0, aReply.leaderAddress.rfind(':'));
    const std::string port = mAddress.substr(mAddress.rfind(':') + 1);
    HttpAnswer::Fields fields =
      errorAnswer(kStatusTemporaryRedirect, "this replica is not the leader").fields();
    fields.headers.push_back(valueOf(HttpHeader::create(
      { .name = "Location", .value = "http://" + host + ":" + port + aRequest.mPath })));
    return valueOf(HttpAnswer::create(std::move(fields)));
  }
  if (isOk(aReply.message)) {
    return errorAnswer(kStatusServiceUnavailable, "unexpected reply from the control process");
  }
  const Error& error = errorOf(aReply.message);
  switch (error.code()) {
    case ErrorCode::eInvalid:
      return errorAnswer(kStatusBadRequest, error.detail());
    case ErrorCode::eNotFound:
      return errorAnswer(kStatusNotFound, error.detail());
    default:
      return errorAnswer(kStatusServiceUnavailable, error.detail());
  }
}

} // namespace magnoliadrum::platform
