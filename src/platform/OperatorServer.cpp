#include "platform/OperatorServer.h"

#include "observability/observability.h"
#include "platform/CatalogueCodec.h"
#include "platform/JsonAnswers.h"

#include <utility>

namespace magnoliadrum::platform {

namespace {

const char* const kCataloguePath = "/-/config";

/** Largest accepted catalogue; its message must stay below the limit for messages. */
constexpr std::size_t kMaxBodyBytes = 1900000;

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
  const bool isInvalid = error.code() == ErrorCode::eInvalid;
  return errorAnswer(isInvalid ? kStatusBadRequest : kStatusServiceUnavailable, error.detail());
}

} // namespace magnoliadrum::platform
