#pragma once

#include "core/catalogue_entry.h"
#include "logic/events.h"
#include "logic/quarantine/canary_grants.h"
#include "logic/quarantine/fingerprint.h"
#include "logic/quarantine/known_requests.h"
#include "logic/quarantine/suspect_book.h"

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

/// What is to be done with a request.
enum class Verdict {
    Run,
    RunCanary, ///< On one target of one shard first.
    Wait,      ///< Kept here until the same request was tried; told by takeReady.
    Refuse,
};

/// A request that waited. With a reason it is refused as not run, otherwise judged again.
struct WaitEnd
{
    CallerRequest request;
    CatalogueEntry entry;
    Instant arrivedAt {};
    FailureReason reason = FailureReason::None;
};

/// Keeps a request that crashes its targets from taking many of them down.
///
/// An unseen request of an entry with a canary, and each suspect, is tried on one target first, one
/// at a time in the whole cell: a member chosen by its fingerprint grants the tries. A request that
/// lost two targets in two tries is refused everywhere. docs/design/QUARANTINE.md tells more.
class Quarantine
{
public:
    /// The view must outlive this object; it changes under it.
    explicit Quarantine(const MembershipView &view);

    Verdict judge(const CallerRequest &request, const CatalogueEntry &entry, Instant arrivedAt,
                  Context &context);

    // What happens to sub-requests.

    void onSent(const SendSubRequest &effect, Context &context);
    void onCancelled(AttemptId attempt);
    void onReply(const TargetReplied &event, Context &context);
    void onConnectionClosed(const ConnectionClosed &event, Context &context);
    void onAnswered(QueryId query, Context &context);

    /// TimerKind::Quarantine.
    void onTimer(Context &context);
    void onCallerGone(QueryId query, Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Adds the latest suspects to a message that is sent anyway.
    void fillGossip(proto::PeerMessage &message) const;

    /// Requests whose wait ended.
    std::vector<WaitEnd> takeReady();
    /// Queries whose canary's target ran the request and lives.
    std::vector<QueryId> takeReleased();
    /// Whether takeReady has something.
    bool hasReady() const { return !this->ready.empty(); }
    /// Requests that wait.
    std::size_t waiting() const;

private:
    struct Waiting
    {
        CallerRequest request;
        CatalogueEntry entry;
        Instant arrivedAt {};
        Instant deadlineAt {};
    };
    /// A try of one request, made or asked for by this node.
    struct Try
    {
        bool granted = false;
        /// Who was asked; what others tell of a grant does not count.
        InstanceId owner;
        /// Owners before this one that did not answer.
        std::size_t silentOwners = 0;
        std::optional<QueryId> canary;
        /// Sub-requests of the canary that are out.
        std::uint32_t out = 0;
        Instant askAgainAt {};
        bool ownerAnswered = false;
        std::vector<Waiting> waiting;
    };
    struct Sent
    {
        Fingerprint fingerprint;
        QueryId query;
        TargetId target;
        Instant lostAfter {};
        /// Targets had run the request and lived when it was sent.
        bool wasKnown = false;
        bool cancelled = false;
    };

    Verdict tryOrWait(Fingerprint fingerprint, Waiting request, Context &context);
    void askOwner(Fingerprint fingerprint, Try &asked, Context &context);
    void onGranted(Fingerprint fingerprint, const InstanceId &owner, Context &context);
    void endTry(Fingerprint fingerprint, bool survived, Context &context);
    /// Refuses what waited past its deadline.
    void dropLate(Try &current, Instant now);
    /// A try that was granted and not used, or whose owner is silent.
    void lookAfter(Fingerprint fingerprint, Context &context);
    /// Has all that wait for the request judged again.
    void readyAll(Try &ended);
    void onWord(const proto::CanaryWord &word, const proto::PeerMessage &message, Context &context);
    void onAsk(Fingerprint fingerprint, const proto::PeerMessage &message, Context &context);
    void endGrant(Fingerprint fingerprint, const InstanceId &holder, Context &context);
    /// Asserts that a canary is alone.
    void countCanary(Fingerprint fingerprint, QueryId query);
    void uncountCanary(const Sent &sent);
    void onLoss(const Sent &sent, Context &context);
    void onSurvived(const Sent &sent, Context &context);
    void tellAll(Fingerprint fingerprint, Context &context);
    void logIfQuarantined(Fingerprint fingerprint, Context &context);
    void sendWord(const InstanceId &member, Fingerprint fingerprint, int step, Context &context);
    /// The member that grants the tries, after the given number of others that are silent.
    InstanceId ownerOf(Fingerprint fingerprint, std::size_t silent) const;
    void setTimer(Context &context);

    const MembershipView &view;
    SuspectBook book;
    KnownRequests known;
    CanaryGrants grants;
    std::unordered_map<Fingerprint, Try> tries;
    std::unordered_map<QueryId, Fingerprint> queries;
    std::unordered_map<AttemptId, Sent> attempts;
    std::vector<WaitEnd> ready;
    std::vector<QueryId> released;
    Instant seenNow {};
    Instant timerDue {};
};

} // namespace lagoondeck
