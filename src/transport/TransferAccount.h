#pragma once

#include "core/core.h"
#include "transport/HttpHeaderScanner.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace magnoliadrum {

/** Bounds of what the HTTP connections of a process may hold. */
struct TransferLimits
{
  /** Bytes of all requests that are not answered, answers that are not read, and connections. */
  std::size_t maxBytes = std::size_t{ 32 } << 20U;
  std::size_t maxConnections = 2000;

  /** Limits of a process that may use aMemoryMb of memory and aMaxDescriptors descriptors; 0 for
   * the defaults. */
  static TransferLimits forVm(std::int64_t aMemoryMb, std::int64_t aMaxDescriptors);

  friend bool operator==(const TransferLimits&, const TransferLimits&) = default;
};

/** Why a request was refused or a connection closed. */
enum class TransferRefusal
{
  eHeaderFields, /**< The header has too many lines. */
  eRequestSize,  /**< More bytes than a request may have. */
  eSlowHeader,   /**< The header did not arrive in time. */
  eSlowBody,     /**< The body arrives more slowly than kMinBytesPerSecond. */
  eUnreadAnswer, /**< The caller does not read its answer. */
  eMemory,       /**< The account is full. */
  eConnections   /**< Too many connections are open. */
};

const char*
toText(TransferRefusal aRefusal);

/**
 * The account of all bytes that the HTTP connections of a process hold, with the rules that keep it
 * within its limits. Uses no sockets and no clock.
 *
 * A crowd of callers that stop half-way, send slowly or do not read must neither exhaust the memory
 * of the VM nor keep others out. Large requests may fill three quarters of the account; the rest is
 * kept for small ones. When that is exceeded, the incomplete requests
 * that have made no progress for the longest time and the answers that have waited longest are
 * given up.
 */
class TransferAccount
{
public:
  using ConnectionNumber = std::uint64_t;

  /** A connection without any bytes; buffers and the structures of the HTTP library. */
  static constexpr std::size_t kConnectionBytes = 4096;
  /** A header line beyond its own bytes: the library and the request each keep a name and a value.
   */
  static constexpr std::size_t kHeaderLineBytes = 256;
  static constexpr std::size_t kMaxHeaderLines = 256;
  /** A complete request is held as bytes, as a decoded message and as an encoded one. */
  static constexpr std::size_t kCopiesOfRequest = 3;
  /** Requests up to this size may use the whole account. */
  static constexpr std::size_t kSmallRequestBytes = 16384;
  static constexpr std::int64_t kHeaderTimeoutMs = 10000;
  /** A body has this time before its rate counts. */
  static constexpr std::int64_t kBodyGraceMs = 5000;
  static constexpr std::int64_t kMinBytesPerSecond = 4096;
  /** The same for reading an answer, at kMinBytesPerSecond. */
  static constexpr std::int64_t kAnswerGraceMs = 10000;
  /** Two checks further apart mean that the process stood still; callers are not blamed for it. */
  static constexpr std::int64_t kStandstillMs = 1000;

  /** Closes a connection. canAnswer: no part of a request is being handled and no answer waits, so
   * an answer may say that the request has not run. */
  using Closer = std::function<void(TransferRefusal aReason, bool aCanAnswer)>;

  struct Removal
  {
    ConnectionNumber connection = 0;
    TransferRefusal reason = TransferRefusal::eMemory;
    bool canAnswer = false;
    Closer close;
  };

  void setLimits(const TransferLimits& aLimits) { mLimits = aLimits; }
  const TransferLimits& limits() const { return mLimits; }

  /** Adds a connection whose requests may have aMaxRequestBytes with their headers. */
  ConnectionNumber open(std::size_t aMaxRequestBytes, Closer aCloser, MonotonicTime aNow);
  void close(ConnectionNumber aConnection);

  /** Records received bytes. aHeaderLines is the number of the request's header lines so far. */
  void receive(ConnectionNumber aConnection,
               std::size_t aBytes,
               std::size_t aHeaderLines,
               bool aIsHeaderComplete,
               MonotonicTime aNow);

  /**
   * Records that a whole request was read, of which the body has aBodyBytes and the header what
   * aHeader has counted. False if the account has no capacity for it; the request must be refused
   * then. A request without a body may also use a reserve of its own.
   */
  bool admit(ConnectionNumber aConnection,
             std::size_t aBodyBytes,
             const HttpHeaderScanner& aHeader,
             MonotonicTime aNow);

  /** Records that aBytes of further requests have arrived already when a request is handled. */
  void receiveAhead(ConnectionNumber aConnection,
                    std::size_t aBytes,
                    const HttpHeaderScanner& aHeader,
                    MonotonicTime aNow);

  /** Records that an admitted request is answered or given up. */
  void finish(ConnectionNumber aConnection, MonotonicTime aNow);

  /** Records the bytes of answers that wait to be read, and how many the caller has read since the
   * last call. */
  void setUnsent(ConnectionNumber aConnection,
                 std::size_t aBytes,
                 std::size_t aReadBytes,
                 MonotonicTime aNow);

  /** Returns the connections that have to be closed now and counts the reasons. They count as
   * closed from now on. */
  std::vector<Removal> takeRemovals(MonotonicTime aNow);

  /** Whether takeRemovals() has to be called before the next periodic check. */
  bool isOverLimit() const;

  /** Closes the connections of takeRemovals(). */
  void enforce(MonotonicTime aNow);

  std::size_t bytes() const { return mBytes; }
  std::size_t connections() const { return mConnections.size(); }
  const std::map<TransferRefusal, std::uint64_t>& refusals() const { return mRefusals; }

private:
  struct Connection
  {
    Closer close;
    std::size_t maxRequestBytes = 0;
    /** Bytes of the request that is being received, and of those sent ahead. */
    std::size_t received = 0;
    std::size_t headerLines = 0;
    bool isHeaderComplete = false;
    /** Cost of the request that is being handled; 0 for none. */
    std::size_t handled = 0;
    std::size_t unsent = 0;
    /** Bytes of the waiting answers that the caller has read. */
    std::size_t read = 0;
    bool hasSentRequest = false;
    std::optional<MonotonicTime> requestBegunAt;
    MonotonicTime receivedAt;
    MonotonicTime answerBegunAt;

    std::size_t cost() const
    {
      return kConnectionBytes + received + headerLines * kHeaderLineBytes + handled + unsent;
    }
    bool isIncomplete() const { return received > 0 && handled == 0; }
  };

  static std::optional<TransferRefusal> overdue(const Connection& aConnection, MonotonicTime aNow);
  std::size_t largeRequestBytes() const { return mLimits.maxBytes / 4 * 3; }
  void add(std::vector<Removal>& aRemovals, ConnectionNumber aNumber, TransferRefusal aReason);
  void removeIdleConnections(std::vector<Removal>& aRemovals);
  void removeStalledTransfers(std::vector<Removal>& aRemovals);
  /** Leaves out the time for which the process stood still. */
  void skipStandstill(MonotonicTime aNow);
  /** Changes a connection and keeps the sum. Does nothing for an unknown one. */
  template<typename Change>
  void update(ConnectionNumber aConnection, Change aChange);

  TransferLimits mLimits;
  std::map<ConnectionNumber, Connection> mConnections;
  ConnectionNumber mLastNumber = 0;
  std::size_t mBytes = 0;
  std::optional<MonotonicTime> mCheckedAt;
  std::map<TransferRefusal, std::uint64_t> mRefusals;
};

} // namespace magnoliadrum
