#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "jobs/JobRegistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliadrum {

/** Outcome of AdmitSession. */
struct SessionAdmitted
{
  SessionRecord mRecord;
  /** False when the open session of the same incarnation is returned. */
  bool mCreated = false;
  /** Older session of the same process that this admission ended; 0 when there was none. */
  std::int64_t mEndedSession = 0;
  /** Listed tasks that are not placed on this session; the agent must stop them. */
  std::vector<RunningTask> mStrays;

  friend bool operator==(const SessionAdmitted&, const SessionAdmitted&) = default;
};

/** Outcome of ExpireSession. */
struct SessionEnded
{
  std::int64_t mSession = 0;
  /** False when the session had ended before. */
  bool mWasOpen = false;

  friend bool operator==(const SessionEnded&, const SessionEnded&) = default;
};

/** Outcome of DrainTarget. */
struct TargetDrained
{
  std::string mTargetId;
  bool mDraining = false;

  friend bool operator==(const TargetDrained&, const TargetDrained&) = default;
};

/** Outcome of CreateTask. */
struct TaskCreated
{
  TaskRecord mTask;
  /** False when the task existed. */
  bool mCreated = false;

  friend bool operator==(const TaskCreated&, const TaskCreated&) = default;
};

/** Outcome of CancelTask, PlaceTask, MoveTask and RequestStop. */
struct TaskChanged
{
  /** The task after the command; for a removed standing task its last content. */
  TaskRecord mTask;
  /** False when the command found the task already there or past it. */
  bool mApplied = false;

  friend bool operator==(const TaskChanged&, const TaskChanged&) = default;
};

/** Outcome of OpenIntent and SettleIntent. */
struct IntentAnswer
{
  /** The attempt holds the key and may dispatch. Always false for SettleIntent. */
  bool mGranted = false;
  /** False when the key belongs to another request. */
  bool mDigestMatches = true;
  /** The record under the key; absent when there is none. */
  std::optional<IntentRecord> mIntent;

  friend bool operator==(const IntentAnswer&, const IntentAnswer&) = default;
};

/** Outcome of RecordServiceLevel. */
struct ServiceLevelRecorded
{
  std::size_t mRows = 0;

  friend bool operator==(const ServiceLevelRecorded&, const ServiceLevelRecorded&) = default;
};

/** What a command did. An Error means that the command changed nothing. */
using Outcome = std::variant<ChangeAnswer,
                             SessionAdmitted,
                             SessionEnded,
                             TargetDrained,
                             TaskCreated,
                             TaskChanged,
                             IntentAnswer,
                             ServiceLevelRecorded,
                             QueueCatalogueSet,
                             JobChanged,
                             RunsChanged,
                             Error>;

} // namespace magnoliadrum
