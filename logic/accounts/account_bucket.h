#pragma once

#include "core/client_account.h"
#include "logic/accounts/account_tokens.h"
#include "logic/admission/token_bucket.h"

#include <cstdint>

namespace lagoondeck {

/// One holder's token bucket of an account, with the full rate and burst of the account's cap.
class AccountBucket
{
public:
    /// Returns how many tokens the bucket of an account holds at most.
    static double capacityOf(const ClientAccount &account);
    /// Returns the part of the capacity that is not the burst.
    static double toleranceOf(const ClientAccount &account);

    /// Sets the tokens that there were at a time.
    void reset(double tokens, Instant at) { this->bucket.reset(tokens, at); }
    /// Lets the bucket hold at most so many tokens now.
    void limit(double tokens, Instant now) { this->bucket.refill(0.0, tokens, now); }
    /// Adds the tokens that were not used, and takes those of requests that were served although
    /// they were refused.
    void settle(std::uint32_t returned, std::uint32_t charged)
    {
        this->bucket.add(static_cast<double>(returned) - static_cast<double>(charged));
    }
    /// Applies the returned and charged tokens of a wish, and takes as many tokens as are wanted
    /// and available. Refused requests get times of return that follow one another at the rate of
    /// the cap.
    AccountTokens take(const ClientAccount &account, const AccountWish &wish, Instant now);

private:
    /// Reserves the times of return of refused requests. Returns the first one.
    Instant reserveReturns(const ClientAccount &account, double tokens, std::uint32_t count,
                           Instant now);

    TokenBucket bucket;
    /// When the next refused request may return.
    Instant nextReturnAt {};
};

} // namespace lagoondeck
