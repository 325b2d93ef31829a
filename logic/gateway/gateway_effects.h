#pragma once

#include "core/http_message.h"
#include "logic/context.h"
#include "logic/effects.h"
#include "logic/gateway/exchange_end.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/store_call.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lagoondeck {

/// Sends a request to a target.
struct StartAttempt
{
    AttemptId attempt;
    TargetId target;
    std::string address;
    std::shared_ptr<const ForwardedRequest> request;
    /// When the target must have answered. The driver tells the target how much of this time is
    /// left when it writes the request.
    Instant deadlineAt {};
    /// Whether the target is in another failure domain than this instance.
    bool crossesDomains = false;
};

/// Closes the connection of an attempt, so that its target drops the request.
struct CloseAttempt
{
    AttemptId attempt;
};

/// Ends all attempts whose request has not been written yet, as unreachable.
struct WithdrawUnsentAttempts
{
};

/// Connects to a target without sending a request.
struct ProbePath
{
    /// Identifies the probe; its end contains it.
    std::uint64_t number = 0;
    TargetId target;
    std::string address;
};

/// Answers a caller. Emitted exactly once for each RequestArrived whose caller has not left.
struct AnswerExchange
{
    ExchangeId exchange;
    CallerReply reply;
    ExchangeEnd end;
};

/// Calls the platform's store.
struct CallStore
{
    StoreOpId operation;
    StoreCallBody call;
    /// How long to wait for the answer on a new connection.
    Duration timeout {};
    /// The same on a connection that is kept from an earlier call and may be dead.
    Duration keptConnectionTimeout {};
};

/// Closes the idle connections to targets and to the store, because the other side may have closed
/// them while this process was paused.
struct DropIdleConnections
{
};

/// Sends changes from the store to other members. The message may be lost.
struct SendStoreUpdate
{
    /// Peer addresses.
    std::vector<std::string> receivers;
    std::shared_ptr<const StoreUpdate> update;
};

/// Requests a budget loan from a member. The reply may never arrive.
struct RequestBudget
{
    /// Peer address.
    std::string receiver;
    /// Identifies this loan request; the reply contains it.
    std::uint64_t number = 0;
    GroupExtras extras;
};

/// Lends a member a part of this instance's retry budgets. The lent part counts as spent here.
struct LendBudget
{
    /// Peer address.
    std::string receiver;
    BudgetLent loan;
};

/// Reports a request that may crash targets to some members. The message may be lost.
struct ReportCrash
{
    /// Peer addresses.
    std::vector<std::string> receivers;
    CrashObservation observation;
};

/// Reports limits that targets state to some members. The message may be lost.
struct ReportLimits
{
    /// Peer addresses.
    std::vector<std::string> receivers;
    LimitReport report;
};

/// Requests parts of limits from a member. The reply may never arrive.
struct RequestLimit
{
    /// Peer address.
    std::string receiver;
    /// Identifies the request; the reply contains it.
    std::uint64_t number = 0;
    std::vector<LimitWish> wishes;
};

/// Lends a member parts of this instance's shares of limits. The lent parts count as used here.
struct LendLimit
{
    /// Peer address.
    std::string receiver;
    LimitLent loan;
};

/// Asks members what they have learned. The messages may be lost.
struct RequestLearnedState
{
    /// Peer addresses.
    std::vector<std::string> receivers;
};

/// Tells a member what this instance has learned.
struct SendLearnedState
{
    /// Peer address.
    std::string receiver;
    LearnedState state;
};

/// Asks a member whether it would coordinate a query. The message may be lost.
struct SendInquiry
{
    /// Peer address.
    std::string receiver;
    CoordinatorInquiry inquiry;
};

/// Replies to a member's inquiry.
struct SendOffer
{
    /// Peer address.
    std::string receiver;
    CoordinatorOffer offer;
};

/// Asks a member to coordinate a query. The message may be lost.
struct DelegateRequest
{
    /// Peer address.
    std::string receiver;
    DelegatedRequest query;
};

/// Tells a coordinator that the query is not needed any more.
struct CancelDelegation
{
    /// Peer address.
    std::string receiver;
    std::uint64_t number = 0;
};

/// Tells a member what became of its delegated query so far.
struct SendReceipt
{
    /// Peer address.
    std::string receiver;
    DelegationReceipt receipt;
};

/// Answers a member's delegated query.
struct SendDelegatedAnswer
{
    /// Peer address.
    std::string receiver;
    DelegatedAnswer answer;
};

/// Asks a holder of accounts' caps for tokens, or returns some. The message may be lost.
struct AskAccountTokens
{
    /// Peer address.
    std::string receiver;
    /// Identifies the message; the reply contains it.
    std::uint64_t number = 0;
    std::vector<AccountWish> wishes;
};

/// Replies to a member that asked for tokens.
struct GrantAccountTokens
{
    /// Peer address.
    std::string receiver;
    /// The number of the member's message.
    std::uint64_t number = 0;
    std::vector<AccountTokens> tokens;
};

using GatewayEffect =
        std::variant<StartAttempt, CloseAttempt, WithdrawUnsentAttempts, ProbePath, AnswerExchange,
                     CallStore, DropIdleConnections, SendStoreUpdate, RequestBudget, LendBudget,
                     ReportCrash, ReportLimits, RequestLimit, LendLimit, RequestLearnedState,
                     SendLearnedState, SendInquiry, SendOffer, DelegateRequest, CancelDelegation,
                     SendReceipt, SendDelegatedAnswer, AskAccountTokens, GrantAccountTokens,
                     WriteLog>;

/// The time, effects, random numbers and ids that the parts of the gateway use while one event is
/// applied.
struct GatewayContext
{
    Instant now {};
    std::vector<GatewayEffect> &effects;
    RandomEngine &random;
    IdSource &ids;

    template <typename AnyEffect>
    void emit(AnyEffect effect)
    {
        this->effects.emplace_back(std::move(effect));
    }

    void log(LogEvent event, std::vector<LogField> fields)
    {
        this->emit(WriteLog {event, std::move(fields)});
    }
};

} // namespace lagoondeck
