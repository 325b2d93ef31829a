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

/// Send a request to a target.
struct StartAttempt
{
    AttemptId attempt;
    TargetId target;
    std::string address;
    std::shared_ptr<const ForwardedRequest> request;
    Duration timeLeft {};
};

/// Close the connection of an attempt; its target drops the request.
struct CloseAttempt
{
    AttemptId attempt;
};

/// Answer a caller. Exactly one for each RequestArrived whose caller has not left.
struct AnswerExchange
{
    ExchangeId exchange;
    CallerReply reply;
    ExchangeEnd end;
};

/// Call the platform's store.
struct CallStore
{
    StoreOpId operation;
    StoreCallBody call;
    Duration timeout {};
};

/// Close the idle connections to targets and store: they may have ended unseen.
struct DropIdleConnections
{
};

/// Tell other members what was learned from the store; it may be lost.
struct TellNews
{
    /// Peer addresses.
    std::vector<std::string> receivers;
    std::shared_ptr<const WorldNews> news;
};

/// Ask a member for a part of its retry budgets; it may never answer.
struct AskBudget
{
    /// Peer address.
    std::string receiver;
    std::uint64_t number = 0;
    GroupExtras wanted;
};

/// Lend a member a part of this instance's retry budgets, which count as spent here.
struct LendBudget
{
    /// Peer address.
    std::string receiver;
    BudgetLent loan;
};

/// Tell some members of a request that may crash targets; it may be lost.
struct ReportCrash
{
    /// Peer addresses.
    std::vector<std::string> receivers;
    CrashSighting sighting;
};

using GatewayEffect =
        std::variant<StartAttempt, CloseAttempt, AnswerExchange, CallStore, DropIdleConnections,
                     TellNews, AskBudget, LendBudget, ReportCrash, WriteLog>;

/// What a part of the gateway works with while one event is applied.
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
