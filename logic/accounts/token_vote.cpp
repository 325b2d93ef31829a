#include "logic/accounts/token_vote.h"

namespace lagoondeck {

void TokenVote::add(const TokenAnswer &answer)
{
    switch (answer.kind) {
    case TokenAnswer::Kind::Granted:
        ++this->granted;
        break;
    case TokenAnswer::Kind::Refused:
        if (this->refused == 0) {
            this->firstRetry = answer.retryAfter;
        }
        ++this->refused;
        break;
    case TokenAnswer::Kind::Unknown:
        ++this->unknown;
        break;
    }
}

TokenDecision TokenVote::decide(bool isWaitOver) const
{
    if (this->granted >= this->majority() && this->hasMajority()) {
        return TokenDecision::Admitted;
    }
    if (this->refused >= this->majority()) {
        return TokenDecision::Refused;
    }
    if (!isWaitOver && !this->isComplete()) {
        return TokenDecision::Undecided;
    }
    return this->refused > 0 ? TokenDecision::Refused : TokenDecision::NoMajority;
}

} // namespace lagoondeck
