#pragma once

#include "generated/generated.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace magnoliadrum::platform {

/**
 * The platform's HTTP interface for operators on a control VM. A process that is not the leader
 * redirects requests to the leader, whose interface has the same port.
 */
class OperatorServer
{
public:
  /** The result of a request to the control process. */
  struct Reply
  {
    Result<Message> message;
    /** IP:port of the leader when it is known and is another replica; otherwise empty. */
    std::string leaderAddress;
  };

  /** Sends a request to the control process that owns the server. */
  using ControlProcessCall = std::function<void(const Message&, std::function<void(const Reply&)>)>;

  /** aAddress is IP:port. */
  static Result<std::unique_ptr<OperatorServer>> start(EventLoop& aLoop,
                                                       const std::string& aAddress,
                                                       ControlProcessCall aCall);

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  void stopAccepting() { mServer->stopAccepting(); }

private:
  OperatorServer(std::string aAddress, ControlProcessCall aCall);

  void onRequest(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  void replaceCatalogue(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  void readCatalogue(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  /** Evacuates the data centre that the path names, or takes it back. */
  void setEvacuation(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  void readEvacuations(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  /** Answers with the evacuated data centres that the leader lists in reply to aMessage. */
  void sendForEvacuations(const Message& aMessage,
                          const HttpRequest& aRequest,
                          const HttpResponderPointer& aResponder);
  HttpAnswer answerOf(const HttpRequest& aRequest, const Reply& aReply) const;
  std::string nextRequestId();

  std::string mAddress;
  ControlProcessCall mCall;
  std::unique_ptr<HttpServer> mServer;
  std::uint64_t mRequestCount = 0;
};

} // namespace magnoliadrum::platform
