#include "logic/accounts/account_bucket.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

/// The capacity beyond the burst: a bucket without a burst must hold one token, and requests that
/// are evenly spaced at their callers reach a holder up to 50 ms closer together.
constexpr double extraTokens = 1.0;
constexpr double spacingTolerance = 0.05;
/// Refused requests get times of return within this time, or the time of one request if that is
/// longer. Callers don't wait much longer than a few seconds.
constexpr Duration returnHorizon = std::chrono::seconds(5);
/// Limits the time that one message reserves.
constexpr std::uint32_t maxReturns = 1000;

Duration timeOf(double tokens, double perSecond)
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::min(tokens / perSecond, 1e6)));
}

} // namespace

double AccountBucket::capacityOf(const ClientAccount &account)
{
    return account.burst + toleranceOf(account);
}

double AccountBucket::toleranceOf(const ClientAccount &account)
{
    return extraTokens + spacingTolerance * account.requestsPerSecond;
}

AccountTokens AccountBucket::take(const ClientAccount &account, const AccountWish &wish,
                                  Instant now)
{
    const double rate = account.requestsPerSecond;
    const double capacity = capacityOf(account);
    this->bucket.refill(rate, capacity, now);
    this->settle(wish.returned, wish.charged);
    double tokens = this->bucket.refill(rate, capacity, now);
    // More than this is only owed after a pause or a wrong message, and would close the account.
    if (const double minTokens = -toleranceOf(account); tokens < minTokens) {
        tokens = minTokens;
        this->bucket.reset(tokens, now);
    }
    AccountTokens result;
    result.account = account.name;
    result.granted = static_cast<std::uint32_t>(
            std::clamp(std::floor(tokens), 0.0, static_cast<double>(wish.count)));
    this->bucket.add(-static_cast<double>(result.granted));
    if (result.granted < wish.count) {
        result.retryInterval = timeOf(1.0, rate);
        result.retryAfter = this->reserveReturns(account, tokens - result.granted,
                                                 wish.count - result.granted, now)
                - now;
    }
    return result;
}

Instant AccountBucket::reserveReturns(const ClientAccount &account, double tokens,
                                      std::uint32_t count, Instant now)
{
    const Duration interval = timeOf(1.0, account.requestsPerSecond);
    const Instant availableAt = now + timeOf(1.0 - tokens, account.requestsPerSecond);
    Instant first = std::max(this->nextReturnAt, availableAt);
    if (first - availableAt > std::max(returnHorizon, interval)) {
        first = availableAt;
    }
    this->nextReturnAt = first + interval * std::min(count, maxReturns);
    return first;
}

} // namespace lagoondeck
