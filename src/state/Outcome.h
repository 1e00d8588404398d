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
  /** False if the process already had an open session of the same incarnation. */
  bool mCreated = false;
  /** Earlier session of the same process that this admission ended; 0 if there was none. */
  std::int64_t mEndedSession = 0;
  /** Tasks reported by the agent that are not placed on this session and must be stopped. */
  std::vector<RunningTask> mStrays;

  friend bool operator==(const SessionAdmitted&, const SessionAdmitted&) = default;
};

/** Outcome of ExpireSession. */
struct SessionEnded
{
  std::int64_t mSession = 0;
  /** False if the session had already ended. */
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
  /** False if the task already existed. */
  bool mCreated = false;

  friend bool operator==(const TaskCreated&, const TaskCreated&) = default;
};

/** Outcome of CancelTask, PlaceTask, MoveTask and RequestStop. */
struct TaskChanged
{
  /** The task after the command; for a removed standing task, its last record. */
  TaskRecord mTask;
  /** False if the command changed nothing, as for a duplicate or a late report. */
  bool mApplied = false;

  friend bool operator==(const TaskChanged&, const TaskChanged&) = default;
};

/** Outcome of OpenIntent and SettleIntent. */
struct IntentAnswer
{
  /** Whether the attempt holds the key and may dispatch. Always false for SettleIntent. */
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

/** Outcome of SaveLearnedFigures. */
struct LearnedFiguresSaved
{
  friend bool operator==(const LearnedFiguresSaved&, const LearnedFiguresSaved&) = default;
};

/** Outcome of SetEvacuation. */
struct EvacuationSet
{
  std::string mDataCentre;
  bool mEvacuated = false;
  /** False if it was so before. */
  bool mChanged = false;

  friend bool operator==(const EvacuationSet&, const EvacuationSet&) = default;
};

/** Result of a command. An Error means that the command changed nothing. */
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
                             JobIdCancelled,
                             RunsChanged,
                             LearnedFiguresSaved,
                             EvacuationSet,
                             Error>;

} // namespace magnoliadrum
