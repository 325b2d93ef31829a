#pragma once

#include "logic/gateway/admitted_request.h"
#include "logic/gateway/coordinator_health.h"
#include "logic/gateway/coordinator_ranking.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/helper_choice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Counts of delegated requests since the process started.
struct DelegatorCounts
{
    /// Requests that a member was asked to serve.
    std::uint64_t delegated = 0;
    /// Inquiries and requests that a member declined.
    std::uint64_t declined = 0;
    /// Inquiries and requests to which a member did not react in time.
    std::uint64_t silent = 0;
    /// Requests that no member served.
    std::uint64_t returned = 0;
    /// Requests for which this instance asked for help because it does not reach the targets.
    std::uint64_t helpRequested = 0;
};

/// Delegates requests to other members and answers the callers with what they send back.
///
/// There are two reasons for this:
/// - In a large fleet each instance sees few gathered queries. It meets a target once in many
///   seconds, so that its connections time out and it learns of a slow target only when the target
///   no longer is. A few coordinators that send the queries of many instances keep their
///   connections and know their targets.
/// - An instance whose own path to the targets is broken can serve its callers only with the help
/// of
///   members whose path works.
///
/// Two members are asked for each request, and the one that reacts first gets it, so that a member
/// that is gone, cut off or slow costs a few milliseconds and no attempts. This instance stays
/// responsible for the answer. A request is sent to one member only: once it was sent, it may have
/// run, unless that member declines it.
class RequestDelegator
{
public:
    /// Of the requests that end as Served, one in `sampleOneIn` is logged; 0 logs none.
    /// `firstNumber` should be random, so that late answers to an earlier run of this process are
    /// not mistaken for answers to this one.
    RequestDelegator(FailureDomain domain, DomainRegions regions, std::uint64_t sampleOneIn,
                     std::uint64_t firstNumber);

    /// Asks coordinators to serve a gathered request. Returns the request if this instance must
    /// serve it itself.
    std::optional<AdmittedRequest>
    delegate(AdmittedRequest request, const CoordinatorRanking &ranking, GatewayContext &context);
    /// Asks coordinators, then other members to serve a request that this instance can't send to
    /// the targets. Returns the request if there is nobody to ask.
    std::optional<AdmittedRequest> requestHelp(AdmittedRequest request,
                                               const CoordinatorRanking &ranking,
                                               const HelperChoice &helpers,
                                               GatewayContext &context);
    void onOffer(const OfferReceived &event, GatewayContext &context);
    void onReceipt(const ReceiptReceived &event, GatewayContext &context);
    void onAnswer(const DelegatedAnswerReceived &event, GatewayContext &context);
    /// Called when a caller closed its connection. Returns false if its request is not delegated.
    bool onCallerLeft(ExchangeId id, GatewayContext &context);
    /// Called when this instance is asked to stop: all requests must be answered by the given time.
    void onStopping(Instant answersDueAt);
    void onTimer(GatewayContext &context);
    /// Returns when onTimer() must be called next.
    Instant nextTimer() const;
    /// Returns the requests that no member took. Nothing was sent for them.
    std::vector<AdmittedRequest> takeReturned() { return std::exchange(this->returned, {}); }

    std::size_t size() const { return this->requests.size(); }
    const DelegatorCounts &counts() const { return this->delegatorCounts; }

private:
    struct PendingRequest
    {
        AdmittedRequest request;
        std::uint64_t minConfigVersion = 0;
        /// The members that can be asked next.
        std::vector<MemberRecord> candidates;
        /// The members that were asked and have not replied. Contains only the chosen one after the
        /// request was sent.
        std::vector<MemberRecord> asked;
        /// The members that did not reply in time, but may still do so.
        std::vector<MemberRecord> silent;
        /// Whether the request was sent to a member.
        bool sent = false;
        /// When the members that were asked last count as silent.
        Instant silentAt {};
        /// Until when offers are awaited.
        Instant offersUntil {};
    };
    using PendingRequests = std::map<std::uint64_t, PendingRequest>;

    /// Removes the members to which the request must not be sent.
    void removeForbidden(std::vector<MemberRecord> &candidates,
                         const AdmittedRequest &request) const;
    /// Returns the coordinators that should be asked.
    std::vector<MemberRecord> chooseCoordinators(const CoordinatorRanking &ranking,
                                                 GatewayContext &context);
    /// Adds a request and asks its first candidates.
    void add(AdmittedRequest request, std::vector<MemberRecord> candidates, Duration maxOfferWait,
             GatewayContext &context);
    /// Asks the next candidates.
    void askNext(PendingRequests::iterator pending, GatewayContext &context);
    void onDeclined(PendingRequests::iterator pending, const InstanceId &member,
                    DelegationState state, GatewayContext &context);
    /// Asks the next candidates, waits for late offers, or gives the request back.
    void continueAsking(PendingRequests::iterator pending, GatewayContext &context);
    /// Returns the request if the member was asked to serve it or does so.
    PendingRequests::iterator find(std::uint64_t number, const InstanceId &member);
    /// Lets the caller of takeReturned() serve the request.
    void giveBack(PendingRequests::iterator pending);
    /// Ends a request whose member does not react any more.
    void endSilent(PendingRequests::iterator pending, GatewayContext &context);
    /// Ends a request that was not answered before this instance ends.
    void endCutShort(PendingRequests::iterator pending, GatewayContext &context);
    /// Answers a request without the member that it was sent to, if any.
    void end(PendingRequests::iterator pending, CallerReply reply, EndReason reason,
             GatewayContext &context);

    FailureDomain domain;
    DomainRegions regions;
    std::uint64_t sampleOneIn;
    CoordinatorHealth health;
    /// The requests without an answer by their number.
    PendingRequests requests;
    std::uint64_t lastNumber;
    /// The newest configuration version that a member used. Later requests must not use an older
    /// one.
    std::uint64_t newestConfigVersion = 0;
    std::vector<AdmittedRequest> returned;
    DelegatorCounts delegatorCounts;
};

} // namespace lagoondeck
