#pragma once

#include "logic/accounts/account_tokens.h"
#include "logic/accounts/token_vote.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

/// Asks the holders of accounts' caps for tokens.
///
/// All that a holder is asked and told while one event is handled goes out in a single message. A
/// reply that never arrives has no effect, and each reply counts once.
class TokenAsks
{
public:
    /// A holder's answer for one vote.
    struct VoteAnswer
    {
        std::uint64_t vote = 0;
        TokenAnswer answer;
    };

    /// Adds a request to the next message to the holder with the given peer address.
    void ask(const std::string &holder, const std::string &account, std::uint64_t vote);
    /// Returns a token to the holder that granted it.
    void giveBack(const std::string &holder, const std::string &account);
    /// Tells a holder that refused a token that the request was served.
    void charge(const std::string &holder, const std::string &account);
    void send(GatewayContext &context);
    /// Returns the answers in a holder's reply by vote.
    std::vector<VoteAnswer> takeAnswers(const AccountTokensGranted &reply);

private:
    struct Pending
    {
        AccountWish wish;
        std::vector<std::uint64_t> votes;
    };
    /// The votes that wait for a reply, by account.
    using Votes = std::map<std::string, std::vector<std::uint64_t>>;
    struct OpenAsk
    {
        std::string holder;
        Votes votes;
    };

    Pending &pendingFor(const std::string &holder, const std::string &account);

    /// By holder and account.
    std::map<std::string, std::map<std::string, Pending>> pending;
    /// The unanswered messages by number; the oldest ones are dropped.
    std::map<std::uint64_t, OpenAsk> openAsks;
    std::uint64_t lastNumber = 0;
};

} // namespace lagoondeck
