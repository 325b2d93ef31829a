#pragma once

#include "core/time.h"

namespace lagoondeck {

/// One instance's share of the request rate that a target takes from the whole fleet, as a token
/// bucket: each request takes one token.
class LimitBucket
{
public:
    /// Sets the rate at which tokens are added. The tokens that are there are kept.
    void setRate(double perSecond, Instant now);
    /// Returns true if a request may be sent that leaves the given number of tokens.
    bool allows(double reserve, Instant now) const;
    /// Takes the token of a request.
    void spend(Instant now);
    /// Returns the largest number of tokens that are kept.
    double capacity() const;

private:
    double tokensAt(Instant now) const;

    double perSecond = 0.0;
    double tokens = 0.0;
    Instant refilledAt {};
};

} // namespace lagoondeck
