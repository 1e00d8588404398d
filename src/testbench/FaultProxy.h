#pragma once

#include "testbench/FaultRule.h"
#include "transport/transport.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;

namespace magnoliadrum {

/** One address that the proxy listens on and the address to which it forwards. */
struct ProxyLink
{
  std::string mName;
  std::string mListen;
  std::string mForward;
};

/**
 * A TCP proxy for WebSocket connections that injects faults by rules. What it does depends only on
 * the rules and on counts of frames, so that a test hits the same message in every run.
 */
class FaultProxy
{
public:
  static Result<std::unique_ptr<FaultProxy>> create(EventLoop& aLoop,
                                                    const std::vector<ProxyLink>& aLinks);

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  ~FaultProxy();

  /** Replaces all rules. What a cut held back is forwarded when its rule is gone. */
  void setRules(std::vector<FaultRule> aRules);

  /** Frames that were forwarded per link, and frames on which a rule acted. */
  std::map<std::string, std::int64_t> forwardedFrames() const { return mForwarded; }
  std::int64_t faultCount() const { return mFaults; }

private:
  class Pair;
  class Listener;

  explicit FaultProxy(EventLoop& aLoop);

  void accept(const ProxyLink& aLink, int aSocket, const std::string& aFrom);
  const FaultRule* findRule(const std::string& aLink,
                            const std::string& aFrom,
                            FaultDirection aDirection,
                            std::int64_t aFrame) const;
  void countFault(const FaultRule& aRule);
  void remove(Pair* aPair);

  EventLoop& mLoop;
  std::vector<std::unique_ptr<Listener>> mListeners;
  std::list<std::shared_ptr<Pair>> mPairs;
  std::vector<FaultRule> mRules;
  std::vector<std::int64_t> mActed;
  std::map<std::string, std::int64_t> mForwarded;
  std::int64_t mFaults = 0;
};

} // namespace magnoliadrum
