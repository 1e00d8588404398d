#pragma once

#include "generated/generated.h"

#include <string>
#include <vector>

namespace magnoliadrum {

/** How much a finding of a catalogue check matters. */
enum class FindingLevel
{
  eError,   /**< The server refuses the catalogue. */
  eWarning, /**< It is accepted, but a part of it can never take effect or contradicts another. */
  eNote     /**< Worth a look; often intended. */
};

/** One finding of a catalogue check. */
struct CatalogueFinding
{
  FindingLevel level = FindingLevel::eError;
  /** Path of the field, such as queues[2].pathPrefix. */
  std::string path;
  std::string reason;

  friend bool operator==(const CatalogueFinding&, const CatalogueFinding&) = default;
};

/** One difference in meaning between two catalogues. */
struct CatalogueDifference
{
  /** Name and field, such as queue urgent.maxAttempts. */
  std::string path;
  /** Value as JSON text; empty when the record or field is missing there. */
  std::string before;
  std::string after;

  friend bool operator==(const CatalogueDifference&, const CatalogueDifference&) = default;
};

/** Entries and quotas as an operator writes them into a file. */
struct CatalogueRecords
{
  std::vector<CatalogueEntry> entries = {};
  std::vector<OwnerQuota> quotas = {};

  friend bool operator==(const CatalogueRecords&, const CatalogueRecords&) = default;
};

/**
 * Checks a catalogue before it is sent. Uses no network; errors come from the code with which the
 * server validates.
 */
class CatalogueCheck
{
public:
  /** Checks the queues and pools of jobs. */
  static std::vector<CatalogueFinding> check(const QueueCatalogue& aCatalogue);

  /**
   * Checks entries and quotas together with those in force that they do not replace. aTargets are
   * the registered targets; without any, nothing is said about where tasks fit.
   */
  static std::vector<CatalogueFinding> check(const CatalogueRecords& aRecords,
                                             const CatalogueRecords& aInForce,
                                             const std::vector<TargetDescription>& aTargets);

  /** Returns what changes in meaning: order, formatting, defaults that are written out and the
   * version do not count. */
  static std::vector<CatalogueDifference> compare(const QueueCatalogue& aBefore,
                                                  const QueueCatalogue& aAfter);

  /** The same for records. Records that are only in aBefore stay in force, so they are no
   * difference. */
  static std::vector<CatalogueDifference> compare(const CatalogueRecords& aBefore,
                                                  const CatalogueRecords& aAfter);

  /** Checks that aAfter would take effect beside aBefore, which has a version of its own. */
  static std::vector<CatalogueFinding> checkVersion(const QueueCatalogue& aBefore,
                                                    const QueueCatalogue& aAfter);
};

} // namespace magnoliadrum
