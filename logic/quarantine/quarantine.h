#pragma once

#include "core/catalogue_entry.h"
#include "logic/events.h"
#include "logic/quarantine/canary_grant_registry.h"
#include "logic/quarantine/fingerprint.h"
#include "logic/quarantine/known_requests.h"
#include "logic/quarantine/suspect_tracker.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

struct Context;
struct MembershipView;
struct SendSubRequest;

namespace proto {
class CanaryWord;
class PeerMessage;
} // namespace proto

/// How a request must be handled.
enum class QuarantineDecision {
    Run,
    RunCanary, ///< Run it on one target of one shard first.
    Wait,      ///< Kept until the canary of the same request ends; see takeFinishedWaits().
    Refuse,
};

/// A request whose wait has ended. When a reason is set, it is refused as not run; otherwise it
/// must be checked again.
struct FinishedWait
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    FailureReason reason = FailureReason::None;
};

/// Prevents a request that crashes its targets from taking down many of them.
///
/// Requests that no target is known to have run, if their catalogue entry demands a canary, and all
/// suspect requests run on one target first, and at most one canary of the same request runs at a
/// time in the whole cell: a member chosen by the request's fingerprint, the owner, grants the
/// runs. A request that lost two targets in two queries is refused by all members. See
/// docs/design/QUARANTINE.md.
class Quarantine
{
public:
    /// The view must outlive this object and may change while the object is in use.
    explicit Quarantine(const MembershipView &view);

    /// Decides how a request is handled that has arrived or whose wait has ended.
    QuarantineDecision decide(const CallerRequest &request, const CatalogueEntry &entry,
                              Instant arrivedAt, Context &context);

    // Called when the state of a sub-request or its query changes.

    void onSent(const SendSubRequest &effect, Context &context);
    void onCancelled(AttemptId attempt);
    void onReply(const TargetReplied &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);
    void onAnswered(QueryId query, Context &context);

    /// Called when the timer TimerKind::Quarantine fires.
    void onTimer(Context &context);
    void onCallerGone(QueryId query, Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Adds the records of the latest suspects to an outgoing message.
    void fillGossip(proto::PeerMessage &message) const;

    /// Moves out the requests whose wait has ended.
    std::vector<FinishedWait> takeFinishedWaits();
    /// Moves out the queries whose canary has run without crashing its target.
    std::vector<QueryId> takeReleasedQueries();
    /// Returns true when takeFinishedWaits would return requests.
    bool hasFinishedWaits() const { return !this->finishedWaits.empty(); }
    /// Returns the number of waiting requests.
    std::size_t waitingCount() const;

private:
    struct WaitingRequest
    {
        CallerRequest request;
        CatalogueEntry entry;
        Instant arrivedAt {};
        Instant deadlineAt {};
    };
    /// A canary run of one request that this instance executes or for which it has requested the
    /// grant.
    struct CanaryRun
    {
        bool granted = false;
        /// The member that the grant was requested from; messages of other members are ignored.
        InstanceId owner;
        /// Number of owners before this one that did not answer.
        std::size_t unresponsiveOwners = 0;
        std::optional<QueryId> canary;
        /// Sub-requests of the canary that are in flight.
        std::uint32_t subRequestsInFlight = 0;
        Instant nextRequestAt {};
        bool ownerAnswered = false;
        std::vector<WaitingRequest> waiting;
    };
    struct SentAttempt
    {
        Fingerprint fingerprint;
        QueryId query;
        TargetId target;
        Instant attemptDeadlineAt {};
        /// True when targets had run the request without crashing before it was sent.
        bool wasKnown = false;
        bool cancelled = false;
    };

    QuarantineDecision startCanaryOrWait(Fingerprint fingerprint, WaitingRequest request,
                                         Context &context);
    void requestGrant(Fingerprint fingerprint, CanaryRun &run, Context &context);
    void onGranted(Fingerprint fingerprint, const InstanceId &owner, Context &context);
    void finishCanaryRun(Fingerprint fingerprint, bool survived, Context &context);
    /// Refuses the waiting requests whose deadline has passed.
    void expireWaiting(CanaryRun &run, Instant now);
    /// Called for a run that was granted but not used, or whose owner has not answered in time.
    void handleStalledRun(Fingerprint fingerprint, Context &context);
    /// Ends the wait of all requests of the run, so that they are checked again.
    void finishWaits(CanaryRun &run);
    void onCanaryMessage(const proto::CanaryWord &canaryMessage, const proto::PeerMessage &message,
                         Context &context);
    void onGrantRequested(Fingerprint fingerprint, const proto::PeerMessage &message,
                          Context &context);
    void releaseGrant(Fingerprint fingerprint, const InstanceId &holder, Context &context);
    /// Asserts that the canary has no other sub-request in flight.
    void countCanarySubRequest(Fingerprint fingerprint, QueryId query);
    void uncountCanarySubRequest(const SentAttempt &sent);
    void onTargetLost(const SentAttempt &sent, Context &context);
    void onRequestSurvived(const SentAttempt &sent, Context &context);
    void sendRecordToPeers(Fingerprint fingerprint, Context &context);
    void logIfQuarantined(Fingerprint fingerprint, Context &context);
    void sendCanaryMessage(const InstanceId &member, Fingerprint fingerprint, int step,
                           Context &context);
    /// Returns the member that grants the runs of the fingerprint, after skipping the given number
    /// of unresponsive ones.
    InstanceId grantOwner(Fingerprint fingerprint, std::size_t unresponsiveOwners) const;
    void setTimer(Context &context);

    const MembershipView &view;
    SuspectTracker suspects;
    KnownRequests knownRequests;
    CanaryGrantRegistry grants;
    std::unordered_map<Fingerprint, CanaryRun> canaryRuns;
    std::unordered_map<QueryId, Fingerprint> fingerprints;
    std::unordered_map<AttemptId, SentAttempt> sentAttempts;
    std::vector<FinishedWait> finishedWaits;
    std::vector<QueryId> releasedQueries;
    Instant lastEventAt {};
    Instant timerAt {};
};

} // namespace lagoondeck
