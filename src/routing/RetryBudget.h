#pragma once

namespace magnoliadrum {

/**
 * Limits retries to a fraction of the first attempts, so that retries cannot multiply an overload.
 *
 * A small initial reserve allows retries for an entry with little traffic.
 */
class RetryBudget
{
public:
  /** aRetryRatio is the number of retries per first attempt, between 0 and 1. */
  explicit RetryBudget(double aRetryRatio);

  /** Counts a first attempt. */
  void recordFirstAttempt();

  /** Consumes one retry from the budget; returns false if the budget is exhausted. */
  bool tryConsumeRetry();

private:
  double mRetryRatio;
  double mTokens;
};

} // namespace magnoliadrum
