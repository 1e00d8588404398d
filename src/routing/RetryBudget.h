#pragma once

namespace magnoliadrum {

/**
 * Bounds retries to a share of first attempts, so that retries cannot multiply an overload.
 *
 * A small reserve lets an entry with little traffic retry at all.
 */
class RetryBudget
{
public:
  /** aRetryRatio is the number of retries per first attempt, between 0 and 1. */
  explicit RetryBudget(double aRetryRatio);

  /** Counts a first attempt. */
  void recordFirstAttempt();

  /** Takes one retry from the budget; false when the budget is used up. */
  bool tryConsumeRetry();

private:
  double mRetryRatio;
  double mTokens;
};

} // namespace magnoliadrum
