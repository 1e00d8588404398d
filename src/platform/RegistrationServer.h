#pragma once

#include "platform/WorkerCodec.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <string>

namespace magnoliadrum::platform {

/** The HTTP interface at which the worker on the same VM registers and deregisters. */
class RegistrationServer
{
public:
  struct Handlers
  {
    std::function<void(const Registration&)> onRegistration;
    /** Called with the id of a worker that is about to exit. */
    std::function<void(const std::string&)> onDeregistration;
  };

  /** aAddress is IP:port. */
  static Result<std::unique_ptr<RegistrationServer>> start(EventLoop& aLoop,
                                                           const std::string& aAddress,
                                                           Handlers aHandlers);

  RegistrationServer(const RegistrationServer&) = delete;
  RegistrationServer& operator=(const RegistrationServer&) = delete;

private:
  explicit RegistrationServer(Handlers aHandlers);

  void onRequest(const HttpRequest& aRequest, HttpResponder& aResponder);

  Handlers mHandlers;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace magnoliadrum::platform
