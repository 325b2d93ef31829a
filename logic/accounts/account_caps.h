#pragma once

#include "core/ids.h"
#include "core/store_change.h"
#include "logic/accounts/account_cap_holder.h"
#include "logic/accounts/account_directory.h"
#include "logic/accounts/account_usage.h"
#include "logic/accounts/local_allowance.h"
#include "logic/accounts/token_asks.h"
#include "logic/accounts/token_vote.h"
#include "logic/gateway/admitted_request.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Keeps the use of capped accounts in the whole fleet within their caps.
///
/// Requests wait here until a majority of the holders of their account's cap has decided, or until
/// it is clear that no majority answers; then a local allowance decides. This class also answers
/// the members that ask this instance as a holder.
class AccountCaps
{
public:
    AccountCaps(InstanceId self, bool isFirstStart);

    void start(Instant now);
    /// Sets the instances among which the holders are chosen.
    void setMembers(std::vector<MemberRecord> members, Instant now);
    /// Returns true if the request must be decided here before it is served.
    static bool decides(const AdmittedRequest &request)
    {
        return request.account != nullptr && request.account->isCapped();
    }
    /// Decides on a request, now or later. It is answered if it is refused.
    void submit(AdmittedRequest request, GatewayContext &context);
    /// Returns the requests that were admitted since the last call.
    std::vector<AdmittedRequest> takeAdmitted() { return std::exchange(this->admitted, {}); }
    /// Answers a member that asks for tokens.
    void onAsked(const AccountTokensAsked &event, const AccountDirectory &accounts,
                 GatewayContext &context);
    void onGranted(const AccountTokensGranted &event, GatewayContext &context);
    /// Called when a caller has left. Returns false if its request does not wait here.
    bool onCallerLeft(ExchangeId exchange, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Sends the messages to holders that the event needed.
    void sendAsks(GatewayContext &context);

    Instant nextTimer() const;
    /// Returns the number of requests that wait.
    std::size_t size() const { return this->waiting.size(); }
    /// Returns the decisions by account. The number of accounts is limited; the others are counted
    /// as "other".
    const AccountUsage &usage() const { return this->decisions; }

private:
    /// What this instance knows of an account for its own callers.
    struct Account
    {
        std::vector<MemberRecord> holders;
        /// The change of the members from which the holders are computed; 0 for none.
        std::uint64_t memberChange = 0;
        LocalAllowance allowance;
        /// How many requests in a row were decided without a majority.
        std::uint32_t missedMajorities = 0;
        std::optional<Instant> refusedAt;
    };
    /// The decision on one request, which is kept until all holders have answered.
    struct Decision
    {
        explicit Decision(TokenVote vote) : vote(vote) { }

        TokenVote vote;
        std::string account;
        /// When the holders should have answered.
        Instant answersDueAt {};
        /// When the decision is forgotten.
        Instant expiresAt {};
        /// Empty once it is decided or its caller has left.
        std::optional<AdmittedRequest> request;
        /// Whether the request was served; empty until it is decided.
        std::optional<bool> isServed;
        /// The answers that are not settled yet, because the request is not decided.
        std::vector<std::pair<std::string, TokenAnswer>> answers;
    };
    using Decisions = std::unordered_map<std::uint64_t, Decision>;
    /// When a decision must be taken, or forgotten if it was taken.
    using Timer = std::pair<Instant, std::uint64_t>;

    Account &accountFor(const std::string &name);
    /// Returns how many holders an account has, also if not all of them are known yet.
    std::size_t holderCount(const Account &account, Instant now) const;
    std::size_t instanceCount(Instant now) const;
    void askHolders(Account &account, std::uint64_t number, Decision &decision, Instant now);
    /// Adds a holder's answer. The address is empty if this instance is the holder.
    void addAnswer(Decision &decision, const std::string &holder, const TokenAnswer &answer,
                   Instant now);
    /// Takes the decision if that is possible.
    void decide(Decision &decision, bool isWaitOver, GatewayContext &context);
    void decideLocally(Decision &decision, GatewayContext &context);
    /// Returns the request, which is decided now.
    AdmittedRequest finish(Decision &decision, bool isServed);
    void admit(Decision &decision);
    void refuse(Decision &decision, Duration retryAfter, bool isLocal, GatewayContext &context);
    /// Returns a token that was not used, or charges a holder whose refusal was overruled.
    void settle(Decision &decision, const std::string &holder, const TokenAnswer &answer,
                Instant now);
    void noteMajority(Account &account, const std::string &name, GatewayContext &context);
    void noteMissedMajority(Account &account, const std::string &name, GatewayContext &context);
    AccountDecisions &countsOf(const std::string &account);

    InstanceId self;
    bool isFirstStart;
    Instant startedAt {};
    std::vector<MemberRecord> members;
    std::uint64_t memberChanges = 1;
    AccountCapHolder holder;
    TokenAsks asks;
    std::unordered_map<std::string, Account> accounts;
    Decisions running;
    /// The running decisions whose requests wait.
    std::unordered_map<ExchangeId, std::uint64_t> waiting;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::vector<AdmittedRequest> admitted;
    AccountUsage decisions;
    std::uint64_t lastNumber = 0;
};

} // namespace lagoondeck
