#include "logic/accounts/local_allowance.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lagoondeck {

namespace {

/// The largest part of the granted rate, and of the equal share of the cap, that is served.
constexpr double allowedPart = 0.5;
/// What the allowances of all instances may reach together, as a part of the cap and as a rate per
/// second. The bound permits a tenth of the cap and 4 requests a second (20 in a window of 5 s) on
/// top of the cap; the rest is left for capacity beyond the burst, restarted holders and chance.
constexpr double totalPart = 0.06;
constexpr double totalPerSecond = 2.0;
/// The rates over the last 4 s together are at most the rate of the cap and the burst in that time.
constexpr double rateWindowSeconds = 4.0;
/// An unused token expires after this time, so that instances without callers don't keep one each.
constexpr double tokenLifetimeSeconds = 0.5;

/// Returns the rate that the tokens granted before, or the equal shares, may reach in all instances
/// together.
double totalRate(const ClientAccount &account)
{
    const double total = totalPart * account.requestsPerSecond + totalPerSecond;
    return std::min(allowedPart * account.requestsPerSecond, total / 2);
}

} // namespace

bool LocalAllowance::tryTake(const ClientAccount &account, std::size_t members, Instant now,
                             RandomEngine &random)
{
    const double total = totalRate(account);
    if (!this->outage) {
        const double maxGranted = account.requestsPerSecond + account.burst / rateWindowSeconds;
        // A random number of tokens spreads the first ones of the instances over time.
        this->outage = Outage {this->granted.perSecond(now) * total / maxGranted,
                               std::uniform_real_distribution<double>(0.0, 1.0)(random), now};
    }
    const double equalShare = total / static_cast<double>(std::max<std::size_t>(members, 1));
    const double rate = std::max(this->outage->grantedRate, equalShare);
    double &tokens = this->outage->tokens;
    tokens += rate * std::chrono::duration<double>(now - this->outage->filledAt).count();
    this->outage->filledAt = now;
    if (const double limit = 1.0 + rate * tokenLifetimeSeconds; tokens >= limit) {
        tokens -= std::floor(tokens - limit) + 1.0;
    }
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}

} // namespace lagoondeck
