#pragma once

#include "core/http_message.h"
#include "core/ids.h"
#include "core/time.h"
#include "logic/accounts/account_tokens.h"
#include "logic/gateway/delegation.h"
#include "logic/gateway/exchange_id.h"
#include "logic/gateway/learned_state.h"
#include "logic/gateway/stated_limit.h"
#include "logic/gateway/store_call.h"
#include "logic/quarantine/fingerprint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoondeck {

/// The network path between a caller and this instance.
struct CallerPath
{
    /// Empty if it is unknown.
    std::optional<Duration> roundTrip;
    /// True if the request is the first one of its connection, so that its caller has also waited
    /// for the connection setup.
    bool isNewConnection = false;
    /// The peer address of the connection without its port; empty if it is unknown.
    std::string host;
};

/// A caller's request was read completely.
struct RequestArrived
{
    ExchangeId exchange;
    std::shared_ptr<const ForwardedRequest> request;
    CallerPath path;
    /// How long the request waited at most until it was read.
    Duration maxWait {};
};

/// The caller closed its connection before it got an answer.
struct CallerLeft
{
    ExchangeId exchange;
};

/// An answer was written to its caller's connection.
struct AnswerWritten
{
    /// How long ago the event was applied that caused the answer.
    Duration delay {};
};

/// A target replied, and the attempt no longer uses its connection.
struct AttemptReplied
{
    AttemptId attempt;
    std::shared_ptr<const ForwardedReply> reply;
    /// Whether the attempt was the first one on its connection.
    bool onNewConnection = false;
};

/// How an attempt ended without a reply.
enum class AttemptEndKind {
    Unreachable, ///< No connection could be made, so no byte was sent.
    Lost,        ///< The connection broke after bytes were sent.
    Malformed,   ///< The received bytes are not a valid reply.
    Closed,      ///< This instance closed the connection.
};

/// An attempt ended without a reply.
struct AttemptEnded
{
    AttemptId attempt;
    AttemptEndKind kind = AttemptEndKind::Lost;
};

/// A probe's connection was made or could not be made.
struct PathProbed
{
    /// The number of the probe.
    std::uint64_t number = 0;
    bool connected = false;
};

/// The store answered a call or failed to answer it in time.
struct StoreAnswered
{
    StoreOpId operation;
    StoreAnswer answer;
};

/// Changes from the store that members pass on to one another.
struct StoreUpdate
{
    /// The changes are complete from this revision, exclusive, ...
    std::uint64_t fromRevision = 0;
    /// ... up to this revision, inclusive.
    std::uint64_t toRevision = 0;
    std::vector<StoreChange> changes;
    /// True if the changes are the whole state at the revision.
    bool isFullState = false;
    /// How long removed keys may still come back.
    Duration removalGrace {};
    /// A hash of the sender's whole state at the revision; 0 if not sent.
    std::uint64_t digest = 0;
    /// True if the sender can't reach the store and requests the whole state if it is newer than
    /// the sender's revision.
    bool isStateRequest = false;
    /// The member that read the changes from the store, for the members that pass them on. Empty if
    /// the message is not passed on.
    InstanceId origin;
    /// The store's history to which the revisions belong.
    std::uint64_t history = 0;
    /// The configuration that the origin, or the sender of a request, has in force; 0 if not sent.
    std::uint64_t configVersion = 0;
    /// In a request: hashes of the parts of the sender's state; empty if it knows none.
    std::vector<std::uint64_t> bucketDigests;
    /// True if the changes are only the parts of the state that the receiver does not have, and the
    /// configuration if the receiver's is older.
    bool isPartialState = false;
    /// The numbers of these parts.
    std::vector<std::uint32_t> buckets;
    /// In a request: whether the sender reads compressed values. In a reply: whether the receiver
    /// said so.
    bool acceptsCompression = false;
    /// A hash of the evacuated failure domains that the sender knows at the revision; 0 if it is of
    /// a version that doesn't know evacuations.
    std::uint64_t evacuationDigest = 0;
};

/// Another member sent changes from the store, or requested them.
struct StoreUpdateReceived
{
    /// The sender's peer address.
    std::string sender;
    StoreUpdate update;
};

/// Numbers of extra arrivals (retries and hedges), by group.
using GroupExtras = std::map<GroupName, std::uint32_t>;

/// A member requests a loan from this instance's retry budgets.
struct BudgetRequested
{
    /// The member's peer address.
    std::string sender;
    /// Identifies the loan request; the reply contains it.
    std::uint64_t number = 0;
    GroupExtras extras;
};

/// A member lends a part of its retry budgets, in reply to a loan request.
struct BudgetLent
{
    /// The number of the loan request.
    std::uint64_t number = 0;
    GroupExtras lent;
    Duration validFor {};
};

/// A member's observation that a request broke the connections of all targets that ran it.
struct CrashObservation
{
    Fingerprint fingerprint;
    std::uint32_t crashes = 0;
    /// The member that observed the crashes.
    InstanceId origin;
    /// A random number that identifies duplicates, because members pass reports on.
    std::uint64_t number = 0;
};

/// A member reports a request that may crash targets.
struct CrashReported
{
    CrashObservation observation;
};

/// What targets stated to one member. Members pass it on.
struct LimitReport
{
    /// The member that heard it from the targets.
    InstanceId origin;
    /// A random number that identifies duplicates.
    std::uint64_t number = 0;
    std::vector<StatedLimit> limits;
};

/// A member reports limits that targets state.
struct LimitsReported
{
    LimitReport report;
};

/// Requests at a limited target that a member wants to send.
struct LimitWish
{
    TargetId target;
    std::uint32_t count = 0;
    /// The limit of the whole fleet as the member knows it, in requests per second.
    double perSecond = 0.0;

    bool operator==(const LimitWish &) const = default;
};

/// A member requests a part of this instance's shares of limits.
struct LimitRequested
{
    /// The member's peer address.
    std::string sender;
    /// Identifies the request; the reply contains it.
    std::uint64_t number = 0;
    std::vector<LimitWish> wishes;
};

/// How many requests a member leaves to this instance, by target.
using LimitGrants = std::map<TargetId, std::uint32_t>;

/// A member lends a part of its shares of limits, in reply to a request.
struct LimitLent
{
    /// The number of the request.
    std::uint64_t number = 0;
    /// Has an entry for each target of the request.
    LimitGrants lent;
    Duration validFor {};
};

/// A member that has just started, or was paused, asks what this instance has learned.
struct LearnedStateRequested
{
    /// The member's peer address.
    std::string sender;
};

/// A member tells what it has learned, in reply to a request.
struct LearnedStateReceived
{
    /// The member's peer address.
    std::string sender;
    LearnedState state;
};

/// A member asks whether this instance would coordinate a query.
struct InquiryReceived
{
    InstanceId member;
    /// The member's peer address.
    std::string sender;
    CoordinatorInquiry inquiry;
};

/// A member replies to this instance's inquiry.
struct OfferReceived
{
    InstanceId member;
    CoordinatorOffer offer;
};

/// A member asks this instance to coordinate a query.
struct RequestDelegated
{
    InstanceId member;
    /// The member's peer address.
    std::string sender;
    DelegatedRequest query;
};

/// A member tells what became of a query that this instance delegated to it.
struct ReceiptReceived
{
    InstanceId member;
    DelegationReceipt receipt;
};

/// A member answers a query that this instance delegated to it.
struct DelegatedAnswerReceived
{
    InstanceId member;
    DelegatedAnswer answer;
};

/// A member no longer needs the answer to a query that it delegated to this instance.
struct DelegationCancelled
{
    InstanceId member;
    std::uint64_t number = 0;
};

/// A member asks this instance, as a holder of accounts' caps, for tokens.
struct AccountTokensAsked
{
    /// The member's peer address.
    std::string sender;
    /// Identifies the message; the reply contains it.
    std::uint64_t number = 0;
    std::vector<AccountWish> wishes;
};

/// A holder of accounts' caps replies to this instance.
struct AccountTokensGranted
{
    /// The holder's peer address.
    std::string sender;
    /// The number of the message that the holder replies to.
    std::uint64_t number = 0;
    std::vector<AccountTokens> tokens;
};

/// The time returned by Gateway::nextTimer() was reached.
struct TimerDue
{
};

/// The process was paused for a while, so its data from the store may be outdated.
struct ProcessPaused
{
    Duration length {};
};

/// The process started.
struct GatewayStarted
{
};

/// The platform asked this process to stop.
struct GatewayStopRequested
{
};

using GatewayEvent =
        std::variant<GatewayStarted, RequestArrived, CallerLeft, AnswerWritten, AttemptReplied,
                     AttemptEnded, PathProbed, StoreAnswered, StoreUpdateReceived, BudgetRequested,
                     BudgetLent, CrashReported, LimitsReported, LimitRequested, LimitLent,
                     LearnedStateRequested, LearnedStateReceived, InquiryReceived, OfferReceived,
                     RequestDelegated, ReceiptReceived, DelegatedAnswerReceived,
                     DelegationCancelled, AccountTokensAsked, AccountTokensGranted, TimerDue,
                     ProcessPaused, GatewayStopRequested>;

} // namespace lagoondeck
