#pragma once

#include "core/core.h"
#include "transport/TransferAccount.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

struct event_base;
struct event;

namespace magnoliadrum {

/** Frees a libevent event. */
struct EventDeleter
{
  void operator()(event* aEvent) const;
};

/** A timer or a signal handler. Destroying it cancels it. */
class EventHandle
{
public:
  EventHandle(const EventHandle&) = delete;
  EventHandle& operator=(const EventHandle&) = delete;
  ~EventHandle();

private:
  friend class EventLoop;
  EventHandle() = default;

  std::unique_ptr<event, EventDeleter> mEvent;
  std::function<void()> mCallback;
};

using EventHandlePointer = std::unique_ptr<EventHandle>;

/** The one event loop of a process. All callbacks run on the thread that calls run(). */
class EventLoop
{
public:
  static Result<std::unique_ptr<EventLoop>> create();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /** Runs until stop() is called. */
  void run();

  /** Makes run() return after the current callback. */
  void stop();

  MonotonicTime now() const { return MonotonicTime::now(); }

  /** Calls aCallback once at aDeadline, or at once when it has passed. Dropping the handle cancels
   * the call. */
  [[nodiscard]] EventHandlePointer runAt(Deadline aDeadline, std::function<void()> aCallback);

  /** Calls aCallback every aPeriodMs until the handle is dropped. */
  [[nodiscard]] EventHandlePointer runEvery(std::int64_t aPeriodMs,
                                            std::function<void()> aCallback);

  /** Calls aCallback at each signal aSignal until the handle is dropped. */
  [[nodiscard]] EventHandlePointer onSignal(int aSignal, std::function<void()> aCallback);

  /** Calls aCallback from the loop after the callbacks that are already due. */
  void post(std::function<void()> aCallback);

  /**
   * Makes message connections leave from this IP address, so that a VM with several addresses
   * always shows the one of its settings. Empty lets the system choose.
   */
  void setSourceHost(std::string aHost) { mSourceHost = std::move(aHost); }
  const std::string& sourceHost() const { return mSourceHost; }

  /** The account of all HTTP connections of the process. */
  TransferAccount& transfers() { return mTransfers; }
  const TransferAccount& transfers() const { return mTransfers; }

  event_base* base() const { return mBase; }

private:
  explicit EventLoop(event_base* aBase);

  event_base* mBase;
  std::string mSourceHost;
  TransferAccount mTransfers;
};

} // namespace magnoliadrum
