#include "observability/observability.h"
#include "testbench/FaultProxy.h"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_string(listen,
              "127.0.0.1:7900",
              "IP:port of the control interface: POST /rules, GET /counts");
DEFINE_string(links, "", "JSON file with an array of {\"name\",\"listen\",\"forward\"}");

namespace {

using namespace magnoliadrum;

constexpr std::size_t kMaxBodyBytes = 100000;
constexpr int kStatusOk = 200;
constexpr int kStatusInvalid = 422;
constexpr int kStatusNotFound = 404;

HttpAnswer
answerOf(int aStatus, const std::string& aBody)
{
  return valueOf(HttpAnswer::create({ .status = aStatus, .body = aBody }));
}

std::vector<ProxyLink>
readLinks(const std::string& aFileName)
{
  std::ifstream file(aFileName);
  const nlohmann::json json = nlohmann::json::parse(file);
  std::vector<ProxyLink> links;
  for (const nlohmann::json& link : json) {
    links.push_back({ link.at("name"), link.at("listen"), link.at("forward") });
  }
  return links;
}

HttpAnswer
setRules(FaultProxy& aProxy, const std::string& aBody)
{
  constexpr bool kThrow = false;
  const nlohmann::json json = nlohmann::json::parse(aBody, nullptr, kThrow);
  if (!json.is_array()) {
    return answerOf(kStatusInvalid, "expected an array of rules\n");
  }
  std::vector<FaultRule> rules;
  for (const nlohmann::json& item : json) {
    const Result<FaultRule> rule = FaultRule::fromJson(item);
    if (!isOk(rule)) {
      return answerOf(kStatusInvalid, errorOf(rule).text() + "\n");
    }
    rules.push_back(valueOf(rule));
  }
  aProxy.setRules(rules);
  return answerOf(kStatusOk, "{}\n");
}

HttpAnswer
handle(FaultProxy& aProxy, const HttpRequest& aRequest)
{
  if (aRequest.mPath == "/rules" && aRequest.mMethod == "POST") {
    return setRules(aProxy, aRequest.mBody);
  }
  if (aRequest.mPath == "/counts") {
    const nlohmann::json counts = { { "forwarded", aProxy.forwardedFrames() },
                                    { "faults", aProxy.faultCount() } };
    return answerOf(kStatusOk, counts.dump());
  }
  return answerOf(kStatusNotFound, "unknown path\n");
}

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("A TCP proxy for WebSocket connections that injects faults.");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  configureLogging("fault-proxy", "info");
  const std::unique_ptr<EventLoop> loop = takeValue(EventLoop::create());
  const Result<std::unique_ptr<FaultProxy>> proxy =
    FaultProxy::create(*loop, readLinks(FLAGS_links));
  if (!isOk(proxy)) {
    logError("fault proxy cannot start", errorOf(proxy));
    return 1;
  }
  const Result<std::unique_ptr<HttpServer>> server = HttpServer::listen(
    *loop,
    FLAGS_listen,
    kMaxBodyBytes,
    [&proxy](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
      aResponder->answer(handle(*valueOf(proxy), aRequest));
    });
  if (!isOk(server)) {
    logError("fault proxy cannot start", errorOf(server));
    return 1;
  }
  const EventHandlePointer onTerminate = loop->onSignal(SIGTERM, [&loop]() { loop->stop(); });
  loop->run();
  return 0;
}
