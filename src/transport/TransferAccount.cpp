#include "transport/TransferAccount.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;
/** Share of a VM's memory that callers may take; the rest is for the process itself. */
constexpr std::size_t kMemoryShare = 4;
/** Descriptors that are kept for files and for connections between processes. */
constexpr std::int64_t kReservedDescriptors = 600;
constexpr std::size_t kMinConnections = 64;
/** A header is held by the HTTP library and by the request. */
constexpr std::size_t kCopiesOfHeader = 2;
/** The reserve for requests without a body, such as probes of readiness, as a share of the account.
 */
constexpr std::size_t kReserveShare = 8;

} // namespace

const char*
toText(TransferRefusal aRefusal)
{
  switch (aRefusal) {
    case TransferRefusal::eHeaderFields:
      return "header-fields";
    case TransferRefusal::eRequestSize:
      return "request-size";
    case TransferRefusal::eSlowHeader:
      return "slow-header";
    case TransferRefusal::eSlowBody:
      return "slow-body";
    case TransferRefusal::eUnreadAnswer:
      return "unread-answer";
    case TransferRefusal::eMemory:
      return "memory";
    case TransferRefusal::eConnections:
      return "connections";
  }
  return "unknown";
}

TransferLimits
TransferLimits::forVm(std::int64_t aMemoryMb, std::int64_t aMaxDescriptors)
{
  TransferLimits limits;
  if (aMemoryMb > 0) {
    limits.maxBytes = (static_cast<std::size_t>(aMemoryMb) << 20U) / kMemoryShare;
  }
  if (aMaxDescriptors > 0) {
    limits.maxConnections = std::max<std::size_t>(
      kMinConnections,
      static_cast<std::size_t>(std::max<std::int64_t>(0, aMaxDescriptors - kReservedDescriptors)));
  }
  return limits;
}

template<typename Change>
void
TransferAccount::update(ConnectionNumber aConnection, Change aChange)
{
  const auto position = mConnections.find(aConnection);
  if (position == mConnections.end()) {
    return;
  }
  mBytes -= position->second.cost();
  aChange(position->second);
  mBytes += position->second.cost();
}

TransferAccount::ConnectionNumber
TransferAccount::open(std::size_t aMaxRequestBytes, Closer aCloser, MonotonicTime aNow)
{
  Connection connection;
  connection.close = std::move(aCloser);
  connection.maxRequestBytes = aMaxRequestBytes;
  connection.receivedAt = aNow;
  connection.answerBegunAt = aNow;
  mBytes += connection.cost();
  mConnections.emplace(++mLastNumber, std::move(connection));
  return mLastNumber;
}

void
TransferAccount::close(ConnectionNumber aConnection)
{
  const auto position = mConnections.find(aConnection);
  if (position != mConnections.end()) {
    mBytes -= position->second.cost();
    mConnections.erase(position);
  }
}

void
TransferAccount::receive(ConnectionNumber aConnection,
                         std::size_t aBytes,
                         std::size_t aHeaderLines,
                         bool aIsHeaderComplete,
                         MonotonicTime aNow)
{
  update(aConnection, [&](Connection& aChanged) {
    aChanged.received += aBytes;
    aChanged.headerLines = aHeaderLines;
    aChanged.isHeaderComplete = aIsHeaderComplete;
    aChanged.requestBegunAt = aChanged.requestBegunAt.value_or(aNow);
    aChanged.receivedAt = aNow;
  });
}

bool
TransferAccount::admit(ConnectionNumber aConnection,
                       std::size_t aBodyBytes,
                       const HttpHeaderScanner& aHeader,
                       MonotonicTime aNow)
{
  update(aConnection, [&](Connection& aChanged) {
    aChanged.received = 0;
    aChanged.headerLines = 0;
    aChanged.isHeaderComplete = false;
    aChanged.requestBegunAt.reset();
    aChanged.receivedAt = aNow;
    aChanged.hasSentRequest = true;
  });
  const std::size_t cost = aBodyBytes * kCopiesOfRequest + aHeader.bytes() * kCopiesOfHeader +
                           aHeader.lines() * kHeaderLineBytes + 1;
  std::size_t available = largeRequestBytes();
  if (aBodyBytes == 0) {
    available = mLimits.maxBytes + mLimits.maxBytes / kReserveShare;
  } else if (aBodyBytes <= kSmallRequestBytes) {
    available = mLimits.maxBytes;
  }
  if (mBytes + cost > available) {
    mRefusals[TransferRefusal::eMemory]++;
    return false;
  }
  update(aConnection, [&](Connection& aChanged) { aChanged.handled = cost; });
  return true;
}

void
TransferAccount::receiveAhead(ConnectionNumber aConnection,
                              std::size_t aBytes,
                              const HttpHeaderScanner& aHeader,
                              MonotonicTime aNow)
{
  if (aBytes > 0) {
    receive(aConnection, aBytes, aHeader.lines(), aHeader.isComplete(), aNow);
  }
}

void
TransferAccount::finish(ConnectionNumber aConnection, MonotonicTime aNow)
{
  update(aConnection, [&](Connection& aChanged) {
    aChanged.handled = 0;
    // What was sent ahead is only read from now on.
    if (aChanged.requestBegunAt) {
      aChanged.requestBegunAt = aNow;
    }
  });
}

void
TransferAccount::setUnsent(ConnectionNumber aConnection,
                           std::size_t aBytes,
                           std::size_t aReadBytes,
                           MonotonicTime aNow)
{
  update(aConnection, [&](Connection& aChanged) {
    if (aChanged.unsent == 0) {
      aChanged.answerBegunAt = aNow;
      aChanged.read = 0;
    }
    aChanged.read += aReadBytes;
    if (aBytes == 0 && aChanged.requestBegunAt) {
      aChanged.requestBegunAt = aNow;
    }
    aChanged.unsent = aBytes;
  });
}

bool
TransferAccount::isOverLimit() const
{
  return mBytes > largeRequestBytes() || mConnections.size() > mLimits.maxConnections;
}

std::optional<TransferRefusal>
TransferAccount::overdue(const Connection& aConnection, MonotonicTime aNow)
{
  const auto expectedBytes = [](std::int64_t aAgeMs, std::int64_t aGraceMs) {
    return std::max<std::int64_t>(0, aAgeMs - aGraceMs) * kMinBytesPerSecond / kMsPerSecond;
  };
  if (aConnection.unsent > 0) {
    const std::int64_t ageMs = aNow.msSince(aConnection.answerBegunAt);
    const bool isUnread = ageMs >= kAnswerGraceMs && expectedBytes(ageMs, kAnswerGraceMs) >=
                                                       static_cast<std::int64_t>(aConnection.read);
    return isUnread ? std::optional(TransferRefusal::eUnreadAnswer) : std::nullopt;
  }
  if (aConnection.received > aConnection.maxRequestBytes) {
    return TransferRefusal::eRequestSize;
  }
  if (!aConnection.isIncomplete()) {
    return std::nullopt;
  }
  if (aConnection.headerLines > kMaxHeaderLines) {
    return TransferRefusal::eHeaderFields;
  }
  const std::int64_t ageMs = aNow.msSince(aConnection.requestBegunAt.value_or(aNow));
  if (!aConnection.isHeaderComplete) {
    return ageMs >= kHeaderTimeoutMs ? std::optional(TransferRefusal::eSlowHeader) : std::nullopt;
  }
  return expectedBytes(ageMs, kBodyGraceMs) > static_cast<std::int64_t>(aConnection.received)
           ? std::optional(TransferRefusal::eSlowBody)
           : std::nullopt;
}

void
TransferAccount::add(std::vector<Removal>& aRemovals,
                     ConnectionNumber aNumber,
                     TransferRefusal aReason)
{
  Connection& connection = mConnections.at(aNumber);
  aRemovals.push_back({ aNumber,
                        aReason,
                        connection.isIncomplete() && connection.unsent == 0,
                        std::move(connection.close) });
  mRefusals[aReason]++;
  close(aNumber);
}

void
TransferAccount::removeIdleConnections(std::vector<Removal>& aRemovals)
{
  if (mConnections.size() <= mLimits.maxConnections) {
    return;
  }
  // Connections that never sent a whole request go first, so that a crowd of them does not keep out
  // callers that use theirs.
  std::vector<std::tuple<bool, MonotonicTime, ConnectionNumber>> idle;
  for (const auto& [number, connection] : mConnections) {
    if (connection.handled == 0 && connection.unsent == 0) {
      idle.emplace_back(connection.hasSentRequest, connection.receivedAt, number);
    }
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [hasSentRequest, receivedAt, number] : idle) {
    if (mConnections.size() <= mLimits.maxConnections) {
      return;
    }
    add(aRemovals, number, TransferRefusal::eConnections);
  }
}

void
TransferAccount::removeStalledTransfers(std::vector<Removal>& aRemovals)
{
  if (mBytes <= largeRequestBytes()) {
    return;
  }
  std::vector<std::pair<MonotonicTime, ConnectionNumber>> stalled;
  for (const auto& [number, connection] : mConnections) {
    if (connection.cost() <= 2 * kConnectionBytes || connection.handled > 0) {
      continue;
    }
    if (connection.unsent > 0) {
      stalled.emplace_back(connection.answerBegunAt, number);
    } else if (connection.isIncomplete()) {
      stalled.emplace_back(connection.receivedAt, number);
    }
  }
  std::sort(stalled.begin(), stalled.end());
  // Some more than necessary, so that a crowd does not cause a removal at each arrival.
  const std::size_t target = largeRequestBytes() / 8 * 7;
  for (const auto& [since, number] : stalled) {
    if (mBytes <= target) {
      return;
    }
    add(aRemovals, number, TransferRefusal::eMemory);
  }
}

void
TransferAccount::skipStandstill(MonotonicTime aNow)
{
  const std::int64_t gapMs = mCheckedAt ? aNow.msSince(*mCheckedAt) : 0;
  mCheckedAt = aNow;
  if (gapMs < kStandstillMs) {
    return;
  }
  const auto shift = [&](MonotonicTime& aTime) { aTime = std::min(aNow, aTime.plusMs(gapMs)); };
  for (auto& [number, connection] : mConnections) {
    shift(connection.receivedAt);
    shift(connection.answerBegunAt);
    if (connection.requestBegunAt) {
      shift(*connection.requestBegunAt);
    }
  }
}

std::vector<TransferAccount::Removal>
TransferAccount::takeRemovals(MonotonicTime aNow)
{
  skipStandstill(aNow);
  std::vector<std::pair<ConnectionNumber, TransferRefusal>> due;
  for (const auto& [number, connection] : mConnections) {
    if (const std::optional<TransferRefusal> reason = overdue(connection, aNow)) {
      due.emplace_back(number, *reason);
    }
  }
  std::vector<Removal> removals;
  for (const auto& [number, reason] : due) {
    add(removals, number, reason);
  }
  removeIdleConnections(removals);
  removeStalledTransfers(removals);
  return removals;
}

void
TransferAccount::enforce(MonotonicTime aNow)
{
  for (const Removal& removal : takeRemovals(aNow)) {
    removal.close(removal.reason, removal.canAnswer);
  }
}

} // namespace magnoliadrum
