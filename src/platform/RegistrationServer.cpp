#include "platform/RegistrationServer.h"

#include "observability/observability.h"
#include "platform/JsonAnswers.h"

#include <utility>

namespace magnoliadrum::platform {

namespace {

const std::string kInstancePathPrefix = "/-/instances/";

/** Largest accepted request body of a worker. */
constexpr std::size_t kMaxBodyBytes = std::size_t{ 4 } << 20U;

} // namespace

RegistrationServer::RegistrationServer(Handlers aHandlers)
  : mHandlers(std::move(aHandlers))
{
}

Result<std::unique_ptr<RegistrationServer>>
RegistrationServer::start(EventLoop& aLoop, const std::string& aAddress, Handlers aHandlers)
{
  std::unique_ptr<RegistrationServer> server(new RegistrationServer(std::move(aHandlers)));
  auto listening = HttpServer::listen(
    aLoop,
    aAddress,
    kMaxBodyBytes,
    [self = server.get()](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
      self->onRequest(aRequest, *aResponder);
    });
  if (!isOk(listening)) {
    return errorOf(listening);
  }
  server->mServer = takeValue(std::move(listening));
  return server;
}

void
RegistrationServer::onRequest(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const std::string workerId = aRequest.mPath.starts_with(kInstancePathPrefix)
                                 ? aRequest.mPath.substr(kInstancePathPrefix.size())
                                 : "";
  if (workerId.empty()) {
    aResponder.answer(errorAnswer(kStatusNotFound, "no such operation"));
    return;
  }
  if (aRequest.mMethod == "DELETE") {
    mHandlers.onDeregistration(workerId);
    aResponder.answer(jsonAnswer(kStatusOk));
    return;
  }
  if (aRequest.mMethod != "PUT") {
    aResponder.answer(
      errorAnswer(kStatusMethodNotAllowed, "method not allowed: " + aRequest.mMethod));
    return;
  }
  const Result<Registration> registration =
    decodeRegistration(workerId, aRequest.mBody, aRequest.mPeer);
  if (!isOk(registration)) {
    logWarning("worker registration rejected", errorOf(registration));
    aResponder.answer(errorAnswer(kStatusBadRequest, errorOf(registration).detail()));
    return;
  }
  mHandlers.onRegistration(valueOf(registration));
  aResponder.answer(jsonAnswer(kStatusOk));
}

} // namespace magnoliadrum::platform
