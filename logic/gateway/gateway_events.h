#pragma once

#include "core/http_message.h"
#include "core/ids.h"
#include "core/time.h"
#include "logic/gateway/store_call.h"
#include "logic/quarantine/fingerprint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck {

/// A caller's request and its answer; unique while the process lives.
using ExchangeId = StrongId<struct ExchangeTag, std::uint64_t>;

/// A caller's request was read whole.
struct RequestArrived
{
    ExchangeId exchange;
    std::shared_ptr<const ForwardedRequest> request;
};

/// The caller closed its connection before it had its answer.
struct CallerLeft
{
    ExchangeId exchange;
};

/// A target replied; its connection is settled.
struct AttemptReplied
{
    AttemptId attempt;
    std::shared_ptr<const ForwardedReply> reply;
};

/// How an attempt ended without a reply.
enum class AttemptEndKind {
    Unreachable, ///< No connection could be made; no byte left.
    Lost,        ///< The connection broke after bytes had left.
    Spoiled,     ///< What came back is no reply.
    Closed,      ///< We closed the connection.
};

struct AttemptEnded
{
    AttemptId attempt;
    AttemptEndKind kind = AttemptEndKind::Lost;
};

/// The store answered, or did not in time.
struct StoreAnswered
{
    StoreOpId operation;
    StoreAnswer answer;
};

/// What a member learned from the store.
struct WorldNews
{
    /// The changes are all those after this revision.
    std::uint64_t from = 0;
    /// Up to and with this one.
    std::uint64_t to = 0;
    std::vector<WorldChange> changes;
    /// The changes are everything there is at the revision.
    bool full = false;
    /// Removed keys may come back for so long.
    Duration grace {};
    /// Stands for all that the sender believes at the revision; 0 for none.
    std::uint64_t digest = 0;
    /// The sender can't reach the store and asks for what is newer than its revision.
    bool wants = false;
    /// The member that asked the store; the others pass its news on. Empty when nobody does.
    InstanceId origin;
};

/// News of another member.
struct WorldNewsReceived
{
    /// Where the sender takes peer messages.
    std::string sender;
    WorldNews news;
};

/// Extra arrivals at groups, by their names.
using GroupExtras = std::map<GroupName, std::uint32_t>;

/// A member asks for a part of this instance's retry budgets.
struct BudgetAsked
{
    /// Where the member takes peer messages.
    std::string sender;
    std::uint64_t number = 0;
    GroupExtras wanted;
};

/// A member lends a part of its retry budgets; the answer to an AskBudget.
struct BudgetLent
{
    std::uint64_t number = 0;
    GroupExtras lent;
    Duration validFor {};
};

/// A request broke the connections of all targets that ran it, as a member saw it.
struct CrashSighting
{
    Fingerprint fingerprint;
    std::uint32_t crashes = 0;
    /// The member that saw it.
    InstanceId origin;
    /// Drawn by chance, so that the word is known when it comes round again.
    std::uint64_t number = 0;
};

/// A member tells of a request that may crash targets.
struct CrashReported
{
    CrashSighting sighting;
};

/// The instant came that the reducer asked to be woken at.
struct TimerDue
{
};

/// The process did not run for a while, and what it believes has aged unseen.
struct ProcessPaused
{
    Duration length {};
};

/// The process began.
struct GatewayStarted
{
};

/// The platform asked this process to stop.
struct GatewayStopRequested
{
};

using GatewayEvent =
        std::variant<GatewayStarted, RequestArrived, CallerLeft, AttemptReplied, AttemptEnded,
                     StoreAnswered, WorldNewsReceived, BudgetAsked, BudgetLent, CrashReported,
                     TimerDue, ProcessPaused, GatewayStopRequested>;

} // namespace lagoondeck
