#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>

namespace lagoondeck {

/// One instance's share of the request rate that a target takes from the whole fleet, as a token
/// bucket: each request takes one token.
class LimitBucket
{
public:
    /// Sets the rate at which tokens are added, and how many are kept at most. The tokens that are
    /// there are kept.
    void setShare(double perSecond, double capacity, Instant now);
    /// Returns true if a request may be sent that leaves the given number of tokens.
    bool allows(double reserve, Instant now) const;
    /// Takes the token of a request.
    void spend(Instant now);
    /// Takes up to the requested number of tokens for another instance, and leaves the given
    /// number. Returns how many were taken.
    std::uint32_t lend(std::uint32_t requested, double reserve, Instant now);
    /// Adds tokens that another instance lent.
    void borrow(std::uint32_t count, Instant until);
    /// How long the borrower may use a loan.
    static constexpr Duration loanLifetime = std::chrono::milliseconds(500);
    double capacity() const { return this->maxTokens; }

private:
    /// Tokens that another instance lent.
    struct Loan
    {
        std::uint32_t count = 0;
        Instant until {};
    };

    double tokensAt(Instant now) const;
    bool hasLoan(Instant now) const;

    double perSecond = 0.0;
    double maxTokens = 0.0;
    double tokens = 0.0;
    Instant refilledAt {};
    std::deque<Loan> borrowed;
};

} // namespace lagoondeck
