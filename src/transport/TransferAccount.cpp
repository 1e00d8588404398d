#include "transport/TransferAccount.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;
/** Share of a VM's memory that callers may take; the rest is for the process itself. */
constexpr std::size_t kMemoryShare = 4;
/** Descriptors that are kept for files and for connections between processes. */
constexpr std::int64_t kReservedDescriptors = 600;
constexpr std::size_t kMinConnections = 64;

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
  connection.readAt = aNow;
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
                       std::size_t aBytes,
                       std::size_t aBytesAhead,
                       MonotonicTime aNow)
{
  update(aConnection, [&](Connection& aChanged) {
    aChanged.received = aBytesAhead;
    aChanged.headerLines = 0;
    aChanged.isHeaderComplete = false;
    aChanged.requestBegunAt = aBytesAhead > 0 ? std::optional(aNow) : std::nullopt;
  });
  const std::size_t cost = aBytes * kCopiesOfRequest;
  const std::size_t available =
    aBytes <= kSmallRequestBytes ? mLimits.maxBytes : largeRequestBytes();
  if (mBytes + cost > available) {
    mRefusals[TransferRefusal::eMemory]++;
    return false;
  }
  update(aConnection,
         [&](Connection& aChanged) { aChanged.handled = std::max(cost, std::size_t{ 1 }); });
  return true;
}

void
TransferAccount::finish(ConnectionNumber aConnection)
{
  update(aConnection, [](Connection& aChanged) { aChanged.handled = 0; });
}

void
TransferAccount::setUnsent(ConnectionNumber aConnection,
                           std::size_t aBytes,
                           bool aHasRead,
                           MonotonicTime aNow)
{
  update(aConnection, [&](Connection& aChanged) {
    if (aHasRead || aChanged.unsent == 0) {
      aChanged.readAt = aNow;
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
  if (aConnection.unsent > 0 && aNow.msSince(aConnection.readAt) >= kUnreadAnswerTimeoutMs) {
    return TransferRefusal::eUnreadAnswer;
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
  const std::int64_t expected = (ageMs - kBodyGraceMs) * kMinBytesPerSecond / kMsPerSecond;
  return expected > static_cast<std::int64_t>(aConnection.received)
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
                        connection.handled == 0 && connection.unsent == 0,
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
  std::vector<std::pair<MonotonicTime, ConnectionNumber>> idle;
  for (const auto& [number, connection] : mConnections) {
    if (connection.handled == 0) {
      idle.emplace_back(connection.receivedAt, number);
    }
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [receivedAt, number] : idle) {
    if (mConnections.size() <= mLimits.maxConnections) {
      return;
    }
    add(aRemovals, number, TransferRefusal::eConnections);
  }
}

void
TransferAccount::removeStalledRequests(std::vector<Removal>& aRemovals)
{
  if (mBytes <= largeRequestBytes()) {
    return;
  }
  std::vector<std::pair<MonotonicTime, ConnectionNumber>> incomplete;
  for (const auto& [number, connection] : mConnections) {
    if (connection.isIncomplete() && connection.cost() > 2 * kConnectionBytes) {
      incomplete.emplace_back(connection.receivedAt, number);
    }
  }
  std::sort(incomplete.begin(), incomplete.end());
  // Some more than necessary, so that a crowd does not cause a removal at each arrival.
  const std::size_t target = largeRequestBytes() / 8 * 7;
  for (const auto& [receivedAt, number] : incomplete) {
    if (mBytes <= target) {
      return;
    }
    add(aRemovals, number, TransferRefusal::eMemory);
  }
}

std::vector<TransferAccount::Removal>
TransferAccount::takeRemovals(MonotonicTime aNow)
{
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
  removeStalledRequests(removals);
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
