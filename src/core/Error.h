#pragma once

#include <compare>
#include <string>

namespace magnoliadrum {

/** What kind of failure an Error reports. Callers branch on this, never on the text. */
enum class ErrorCode
{
  eInvalid,     /**< The input is malformed or out of its bounds. */
  eNotFound,    /**< The named object does not exist. */
  eConflict,    /**< A version or state precondition does not hold. */
  eRefused,     /**< A limit or policy rejects the operation; nothing was done. */
  eNotLeader,   /**< The peer is not the control leader. */
  eUnavailable, /**< The peer or the quorum cannot be reached. */
  eTimeout,     /**< The deadline passed. */
  eNotSent,     /**< The request surely did not reach the peer. */
  eCorrupt,     /**< Stored data fails its checksum or cannot be decoded. */
  eIo,          /**< An operating system call failed. */
  eNoSpace      /**< The disk is full. */
};

/** Returns the stable lower-case name of a code, as used in logs and answers. */
const char*
errorCodeName(ErrorCode aCode);

/**
 * A failure with the step and the peer at which it arose.
 *
 * The step names the operation ("catalogue.apply", "log.append"); the peer is an address, a process
 * id or a file name, or "local" when no other party took part.
 */
class Error
{
public:
  static Error create(ErrorCode aCode, std::string aStep, std::string aPeer, std::string aDetail);

  ErrorCode code() const { return mCode; }
  const std::string& step() const { return mStep; }
  const std::string& peer() const { return mPeer; }
  const std::string& detail() const { return mDetail; }

  /** Returns one line: "CODE at STEP (PEER): DETAIL". */
  std::string text() const;

  friend auto operator<=>(const Error&, const Error&) = default;

private:
  Error(ErrorCode aCode, std::string aStep, std::string aPeer, std::string aDetail);

  ErrorCode mCode;
  std::string mStep;
  std::string mPeer;
  std::string mDetail;
};

} // namespace magnoliadrum
