#include "logic/accounts/token_asks.h"

#include <utility>

namespace lagoondeck {

namespace {

/// Answers arrive within milliseconds. At the design size an instance sends some 500 messages a
/// second; if more than this are unanswered, the oldest ones were lost.
constexpr std::size_t maxOpenAsks = 4096;

} // namespace

TokenAsks::Pending &TokenAsks::pendingFor(const std::string &holder, const std::string &account)
{
    Pending &entry = this->pending[holder][account];
    entry.wish.account = account;
    return entry;
}

void TokenAsks::ask(const std::string &holder, const std::string &account, std::uint64_t vote)
{
    Pending &entry = this->pendingFor(holder, account);
    ++entry.wish.count;
    entry.votes.push_back(vote);
}

void TokenAsks::giveBack(const std::string &holder, const std::string &account)
{
    ++this->pendingFor(holder, account).wish.returned;
}

void TokenAsks::charge(const std::string &holder, const std::string &account)
{
    ++this->pendingFor(holder, account).wish.charged;
}

void TokenAsks::send(GatewayContext &context)
{
    for (auto &[holder, accounts] : std::exchange(this->pending, {})) {
        AskAccountTokens effect {holder, ++this->lastNumber, {}};
        OpenAsk open {holder, {}};
        for (auto &[account, entry] : accounts) {
            effect.wishes.push_back(std::move(entry.wish));
            if (!entry.votes.empty()) {
                open.votes.emplace(account, std::move(entry.votes));
            }
        }
        context.emit(std::move(effect));
        if (!open.votes.empty()) {
            this->openAsks.emplace(this->lastNumber, std::move(open));
        }
        if (this->openAsks.size() > maxOpenAsks) {
            this->openAsks.erase(this->openAsks.begin());
        }
    }
}

std::vector<TokenAsks::VoteAnswer> TokenAsks::takeAnswers(const AccountTokensGranted &reply)
{
    std::vector<VoteAnswer> answers;
    const auto open = this->openAsks.find(reply.number);
    if (open == this->openAsks.end() || open->second.holder != reply.sender) {
        return answers;
    }
    for (const AccountTokens &tokens : reply.tokens) {
        const auto votes = open->second.votes.find(tokens.account);
        if (votes == open->second.votes.end()) {
            continue;
        }
        Duration retryAfter = tokens.retryAfter;
        std::uint32_t granted = tokens.granted;
        for (const std::uint64_t vote : std::exchange(votes->second, {})) {
            if (tokens.isUnknown) {
                answers.push_back({vote, {TokenAnswer::Kind::Unknown}});
            } else if (granted > 0) {
                --granted;
                answers.push_back({vote, {TokenAnswer::Kind::Granted}});
            } else {
                answers.push_back({vote, {TokenAnswer::Kind::Refused, retryAfter}});
                retryAfter += tokens.retryInterval;
            }
        }
    }
    this->openAsks.erase(open);
    return answers;
}

} // namespace lagoondeck
