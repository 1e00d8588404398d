#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace magnoliadrum {

/** The answer to a call, or why there is none and which leader to ask instead. */
template<typename Reply>
concept LeaderCallReply = requires(const Reply& aReply)
{
  {
    aReply.message
    } -> std::convertible_to<const Result<Message>&>;
  {
    aReply.leaderAddress
    } -> std::convertible_to<const std::string&>;
};

/** Clock and timer, which a test replaces. */
struct WaitTimer
{
  std::function<MonotonicTime()> now;
  /** Calls a function once at a deadline. */
  std::function<void(Deadline, std::function<void()>)> runAt;
};

/**
 * Repeats a call while no leader can carry it out, for example during an election or at the first
 * start. A caller that is refused at once turns to other replicas, which know no leader either, and
 * after a few attempts waits for longer than the election takes.
 *
 * The calls must be idempotent. Any other reply, also one that names another leader, is passed on
 * at once.
 */
template<LeaderCallReply Reply>
class LeaderWait : public std::enable_shared_from_this<LeaderWait<Reply>>
{
public:
  using Callback = std::function<void(const Reply&)>;
  using Call = std::function<void(const Message&, const Callback&)>;

  static constexpr std::int64_t kRetryPeriodMs = 40;

  static std::shared_ptr<LeaderWait> create(WaitTimer aTimer, Call aCall)
  {
    return std::shared_ptr<LeaderWait>(new LeaderWait(std::move(aTimer), std::move(aCall)));
  }

  /** Makes a call, and repeats it until aDeadline. aCallback is called once. */
  void call(const Message& aMessage, Deadline aDeadline, Callback aCallback)
  {
    const std::weak_ptr<LeaderWait> weak = this->weak_from_this();
    mCall(aMessage,
          [weak, aMessage, aDeadline, callback = std::move(aCallback)](const Reply& aReply) {
            const std::shared_ptr<LeaderWait> self = weak.lock();
            if (self == nullptr || !hasNoLeader(aReply) ||
                self->mTimer.now().plusMs(kRetryPeriodMs) > aDeadline) {
              callback(aReply);
              return;
            }
            self->mTimer.runAt(self->mTimer.now().plusMs(kRetryPeriodMs),
                               [weak, aMessage, aDeadline, callback]() {
                                 if (const std::shared_ptr<LeaderWait> waiting = weak.lock()) {
                                   waiting->call(aMessage, aDeadline, callback);
                                 }
                               });
          });
  }

private:
  LeaderWait(WaitTimer aTimer, Call aCall)
    : mTimer(std::move(aTimer))
    , mCall(std::move(aCall))
  {
  }

  static bool hasNoLeader(const Reply& aReply)
  {
    const Result<Message>& message = aReply.message;
    if (isOk(message) || !aReply.leaderAddress.empty()) {
      return false;
    }
    const ErrorCode code = errorOf(message).code();
    return code == ErrorCode::eNotLeader || code == ErrorCode::eUnavailable;
  }

  WaitTimer mTimer;
  Call mCall;
};

} // namespace magnoliadrum
