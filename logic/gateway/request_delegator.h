#pragma once

#include "logic/gateway/admitted_request.h"
#include "logic/gateway/coordinator_health.h"
#include "logic/gateway/coordinator_ranking.h"
#include "logic/gateway/gateway_effects.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Counts of delegated queries since the process started.
struct DelegatorCounts
{
    /// Queries that a coordinator was asked to serve.
    std::uint64_t delegated = 0;
    /// Inquiries and queries that a coordinator declined.
    std::uint64_t declined = 0;
    /// Inquiries and queries to which a coordinator did not react in time.
    std::uint64_t silent = 0;
    /// Queries that this instance served itself because no coordinator did.
    std::uint64_t returned = 0;
};

/// Delegates gathered queries to coordinators and answers the callers with what they send back.
///
/// In a large fleet each instance sees few queries. It meets a target once in many seconds, so that
/// its connections time out and it learns of a slow target only when the target no longer is. A few
/// coordinators that send the queries of many instances keep their connections and know their
/// targets.
///
/// Two coordinators are asked for each query, and the one that reacts first gets it, so that a
/// coordinator that is gone, cut off or slow costs a few milliseconds and no attempts. This
/// instance stays responsible for the answer: it serves the query itself if no coordinator reacts,
/// or if the chosen one falls silent later.
class RequestDelegator
{
public:
    /// Of the requests that end as Served, one in `sampleOneIn` is logged; 0 logs none.
    /// `firstNumber` should be random, so that the coordinators' late answers to an earlier run of
    /// this process are not mistaken for answers to this one.
    RequestDelegator(FailureDomain domain, std::uint64_t sampleOneIn, std::uint64_t firstNumber);

    /// Asks coordinators to serve a gathered request. Returns the request if this instance must
    /// serve it itself.
    std::optional<AdmittedRequest>
    delegate(AdmittedRequest request, const CoordinatorRanking &ranking, GatewayContext &context);
    void onOffer(const OfferReceived &event, GatewayContext &context);
    void onReceipt(const ReceiptReceived &event, GatewayContext &context);
    void onAnswer(const DelegatedAnswerReceived &event, GatewayContext &context);
    /// Called when a caller closed its connection. Returns false if its request is not delegated.
    bool onCallerLeft(ExchangeId id, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Returns when onTimer() must be called next.
    Instant nextTimer() const;
    /// Returns the requests that this instance must serve itself. Nothing was sent for them.
    std::vector<AdmittedRequest> takeReturned() { return std::exchange(this->returned, {}); }

    std::size_t size() const { return this->queries.size(); }
    const DelegatorCounts &counts() const { return this->delegatorCounts; }

private:
    struct Query
    {
        AdmittedRequest request;
        std::uint64_t minConfigVersion = 0;
        /// The coordinators that were asked and have not replied. Contains only the chosen one
        /// after the query was sent.
        std::vector<MemberRecord> coordinators;
        /// Whether the query was sent to the coordinator.
        bool sent = false;
        /// When the coordinators count as silent.
        Instant silentAt {};
    };
    using Queries = std::map<std::uint64_t, Query>;

    /// Returns the coordinators that should be asked.
    std::vector<MemberRecord> choose(const CoordinatorRanking &ranking, GatewayContext &context);
    /// Returns the query if the member was asked to serve it or does so.
    Queries::iterator find(std::uint64_t number, const InstanceId &member);
    /// Lets this instance serve the query.
    void giveBack(Queries::iterator query);
    /// Ends a query whose coordinator does not react any more.
    void endSilent(Queries::iterator query, GatewayContext &context);

    FailureDomain domain;
    std::uint64_t sampleOneIn;
    CoordinatorHealth health;
    /// The queries without an answer by their number.
    Queries queries;
    std::uint64_t lastNumber;
    /// The newest configuration version that a coordinator used. Later queries must not use an
    /// older one.
    std::uint64_t newestConfigVersion = 0;
    std::vector<AdmittedRequest> returned;
    DelegatorCounts delegatorCounts;
};

} // namespace lagoondeck
