#include "transport/EventLoop.h"

#include <algorithm>
#include <cassert>
#include <csignal>
#include <event2/event.h>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;
constexpr std::int64_t kUsPerMs = 1000;

timeval
toTimeval(std::int64_t aMs)
{
  timeval value{};
  value.tv_sec = aMs / kMsPerSecond;
  value.tv_usec = (aMs % kMsPerSecond) * kUsPerMs;
  return value;
}

void
runPosted(evutil_socket_t /*aSocket*/, short /*aEvents*/, void* aCallback)
{
  const std::unique_ptr<std::function<void()>> callback(
    static_cast<std::function<void()>*>(aCallback));
  (*callback)();
}

} // namespace

void
EventDeleter::operator()(event* aEvent) const
{
  event_free(aEvent);
}

EventHandle::~EventHandle() = default;

EventLoop::EventLoop(event_base* aBase)
  : mBase(aBase)
{
}

EventLoop::~EventLoop()
{
  event_base_free(mBase);
}

Result<std::unique_ptr<EventLoop>>
EventLoop::create()
{
  // A write to a connection that the peer has closed must be an error, not the end of the process.
  std::signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  if (base == nullptr) {
    return Error::create(ErrorCode::eIo, "create event loop", "local", "event_base_new failed");
  }
  return std::unique_ptr<EventLoop>(new EventLoop(base));
}

void
EventLoop::run()
{
  event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::stop()
{
  event_base_loopbreak(mBase);
}

EventHandlePointer
EventLoop::runAt(Deadline aDeadline, std::function<void()> aCallback)
{
  assert(aCallback);
  EventHandlePointer handle(new EventHandle());
  handle->mCallback = std::move(aCallback);
  const auto onTimeout = [](evutil_socket_t /*aSocket*/, short /*aEvents*/, void* aHandle) {
    // The callback may destroy the handle, so a copy runs.
    const std::function<void()> callback = static_cast<EventHandle*>(aHandle)->mCallback;
    callback();
  };
  handle->mEvent.reset(evtimer_new(mBase, onTimeout, handle.get()));
  const timeval delay = toTimeval(std::max<std::int64_t>(0, aDeadline.msSince(now())));
  evtimer_add(handle->mEvent.get(), &delay);
  return handle;
}

EventHandlePointer
EventLoop::runEvery(std::int64_t aPeriodMs, std::function<void()> aCallback)
{
  assert(aCallback);
  assert(aPeriodMs > 0);
  EventHandlePointer handle(new EventHandle());
  handle->mCallback = std::move(aCallback);
  const auto onTimeout = [](evutil_socket_t /*aSocket*/, short /*aEvents*/, void* aHandle) {
    const std::function<void()> callback = static_cast<EventHandle*>(aHandle)->mCallback;
    callback();
  };
  handle->mEvent.reset(event_new(mBase, -1, EV_PERSIST, onTimeout, handle.get()));
  const timeval period = toTimeval(aPeriodMs);
  event_add(handle->mEvent.get(), &period);
  return handle;
}

EventHandlePointer
EventLoop::onSignal(int aSignal, std::function<void()> aCallback)
{
  assert(aCallback);
  EventHandlePointer handle(new EventHandle());
  handle->mCallback = std::move(aCallback);
  const auto onEvent = [](evutil_socket_t /*aSocket*/, short /*aEvents*/, void* aHandle) {
    const std::function<void()> callback = static_cast<EventHandle*>(aHandle)->mCallback;
    callback();
  };
  handle->mEvent.reset(evsignal_new(mBase, aSignal, onEvent, handle.get()));
  evsignal_add(handle->mEvent.get(), nullptr);
  return handle;
}

void
EventLoop::post(std::function<void()> aCallback)
{
  assert(aCallback);
  const timeval atOnce{};
  auto* callback = new std::function<void()>(std::move(aCallback));
  event_base_once(mBase, -1, EV_TIMEOUT, runPosted, callback, &atOnce);
}

} // namespace magnoliadrum
