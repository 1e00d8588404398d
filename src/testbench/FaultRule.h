#pragma once

#include "core/core.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace magnoliadrum {

/** What a fault proxy does to the frames that a rule matches. */
enum class FaultKind
{
  eCut,       /**< Holds all bytes until the rule is removed, as a silent network partition does. */
  eReset,     /**< Resets the connection. */
  eTruncate,  /**< Forwards half of the frame, then resets the connection. */
  eDelay,     /**< Forwards each frame later, in order. */
  eDuplicate, /**< Forwards the frame twice. */
  eReorder    /**< Forwards the frame behind the next one. */
};

/** Directions seen from the side that opened the connection. */
enum class FaultDirection
{
  eBoth,
  eToServer,
  eToClient
};

/** One rule of a fault proxy. */
struct FaultRule
{
  /** Link name; empty matches all. */
  std::string mLink;
  /** IP address from which the connection comes; empty matches all. */
  std::string mFrom;
  FaultDirection mDirection = FaultDirection::eBoth;
  FaultKind mKind = FaultKind::eCut;
  /** Frames that pass on a matching connection and direction before the rule acts. */
  std::int64_t mAfterFrames = 0;
  /** How many frames the rule acts on over all connections; 0 for all. */
  std::int64_t mTimes = 0;
  std::int64_t mDelayMs = 0;

  /** Reads {"link","from","direction","kind","afterFrames","times","delayMs"}; all but kind may be
   * missing. */
  static Result<FaultRule> fromJson(const nlohmann::json& aJson);
};

} // namespace magnoliadrum
