#pragma once

#include "core/client_account.h"
#include "core/time.h"
#include "logic/context.h"
#include "logic/gateway/query_rate.h"

#include <cstddef>
#include <optional>

namespace lagoondeck {

/// What an instance may serve of an account while it reaches no majority of the holders.
///
/// The majority may meanwhile grant the whole cap to other instances, and nobody can tell. So the
/// allowances of all instances together stay within what the bound permits beyond the cap.
class LocalAllowance
{
public:
    /// Called when the holders granted a token.
    void onGranted(Instant now) { this->granted.add(now); }
    /// Called when a majority has answered.
    void onMajority() { this->outage.reset(); }
    /// Returns true if a request may be served. `members` is the number of instances.
    bool tryTake(const ClientAccount &account, std::size_t members, Instant now,
                 RandomEngine &random);

private:
    struct Outage
    {
        /// The part of the allowance that comes from the tokens that were granted before.
        double grantedRate = 0.0;
        double tokens = 0.0;
        Instant filledAt {};
    };

    QueryRate granted;
    std::optional<Outage> outage;
};

} // namespace lagoondeck
