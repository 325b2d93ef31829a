#pragma once

#include "core/time.h"

#include <cstddef>
#include <vector>

namespace lagoondeck {

/// A holder's answer for one request.
struct TokenAnswer
{
    enum class Kind {
        Granted,
        Refused,
        Unknown, ///< The holder knows no cap of the account.
    };

    Kind kind = Kind::Unknown;
    /// After how long the request finds a token; only if it is refused.
    Duration retryAfter {};
};

/// What the answers of the holders mean for a request.
enum class TokenDecision {
    Undecided,
    Admitted,
    Refused,
    NoMajority, ///< Too few holders answered to tell.
};

/// Decides on one request by the answers of the holders of its account's cap.
class TokenVote
{
public:
    /// How many holders must answer before a majority of them decides.
    enum class Quorum {
        Majority,
        All, ///< Others may have replaced some of the holders, but not one that answers here.
    };

    explicit TokenVote(std::size_t holders, Quorum quorum = Quorum::Majority)
        : holders(holders), quorum(quorum)
    { }

    void add(const TokenAnswer &answer);
    /// If no more answers are waited for, one refusal is enough.
    TokenDecision decide(bool isWaitOver) const;
    /// Returns true if enough holders know the account's cap and have answered.
    bool hasMajority() const
    {
        return this->granted + this->refused >= this->majority()
                && (this->quorum == Quorum::Majority || this->isComplete());
    }
    /// Returns true if all holders have answered.
    bool isComplete() const
    {
        return this->granted + this->refused + this->unknown >= this->holders;
    }
    /// Returns the time that the first refusing holder told. Each holder spaces the times that it
    /// tells, and a combination of several would not be spaced.
    Duration retryAfter() const { return this->firstRetry; }

private:
    std::size_t majority() const { return this->holders / 2 + 1; }

    std::size_t holders;
    Quorum quorum;
    std::size_t granted = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    Duration firstRetry {};
};

} // namespace lagoondeck
