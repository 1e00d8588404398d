#pragma once

#include "agent/AdmissionGate.h"
#include "agent/ExecutorAdapter.h"
#include "observability/observability.h"

#include <functional>
#include <memory>
#include <string>

namespace magnoliadrum {

/** Checks the requests that gateways dispatch, forwards them to the executor and replies. */
class RequestForwarder
{
public:
  using Reply = std::function<void(const Message&)>;

  static Result<std::unique_ptr<RequestForwarder>> create(EventLoop& aLoop,
                                                          const AgentSettings& aSettings,
                                                          MetricsRegistry& aMetrics);

  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  /**
   * Handles one request. Calls aReply once, with the answer, refusal or failure; a duplicate
   * dispatch gets no reply.
   */
  void dispatch(const RequestDispatch& aRequest,
                const SessionLease& aLease,
                const CatalogueEntry* aEntry,
                Reply aReply);

  void beginShutdown() { mGate.beginShutdown(); }

  std::int64_t outstanding() const { return mGate.outstanding(); }
  std::int64_t slots() const { return mGate.limits().mSlots; }

private:
  RequestForwarder(EventLoop& aLoop,
                   AdmissionGate::Limits aLimits,
                   std::unique_ptr<ExecutorAdapter> aExecutor,
                   MetricsRegistry& aMetrics);

  void refuse(const RequestDispatch& aRequest,
              RefusalReason aReason,
              const std::string& aDetail,
              const Reply& aReply);
  void finish(const RequestDispatch& aRequest, const ExecutorResult& aResult, const Reply& aReply);
  void fail(const RequestDispatch& aRequest, const std::string& aDetail, const Reply& aReply);

  EventLoop& mLoop;
  AdmissionGate mGate;
  std::unique_ptr<ExecutorAdapter> mExecutor;
  MetricsRegistry& mMetrics;
};

} // namespace magnoliadrum
