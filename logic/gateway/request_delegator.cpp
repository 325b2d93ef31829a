#include "logic/gateway/request_delegator.h"

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr int statusOk = 200;
/// How many coordinators are asked for one query.
constexpr std::size_t maxAsked = 2;
/// A coordinator that has not replied to an inquiry after this long is silent: some round trips
/// between failure domains, plus an iteration of a busy event loop. Asking again costs nothing but
/// time, so this is short.
constexpr Duration offerTimeout = std::chrono::milliseconds(12);
/// The time for the answer's way back from the coordinator.
constexpr Duration returnTime = std::chrono::milliseconds(3);
/// Larger requests are not worth sending twice.
constexpr std::size_t maxDelegatedBody = 8 * 1024;

/// Returns how long a coordinator is avoided after it declined a query.
Duration avoidanceAfter(DelegationState state)
{
    return state == DelegationState::Leaving ? Duration(std::chrono::seconds(10))
                                             : Duration(std::chrono::milliseconds(300));
}

ExchangeEnd endOf(const AdmittedRequest &request, const CallerReply &reply, Instant now)
{
    ExchangeEnd end;
    end.route = request.route->name;
    end.elapsed = now - request.arrivedAt;
    end.partsAnswered = reply.partSignatures.size();
    end.partsNeeded = end.partsAnswered + reply.partsMissing;
    if (reply.status == statusOk) {
        const bool isLate = now > request.lateAt;
        end.outcome = isLate             ? ExchangeOutcome::Late
                : reply.partsMissing > 0 ? ExchangeOutcome::Partial
                                         : ExchangeOutcome::Served;
        end.reason = reply.partsMissing == 0 ? EndReason::Complete
                : isLate                     ? EndReason::CoverageReached
                                             : EndReason::ObjectiveReached;
    } else if (reply.status == forwarding::statusUnavailable) {
        end.outcome = ExchangeOutcome::Refused;
        end.reason = EndReason::NoTarget;
    } else {
        end.outcome = ExchangeOutcome::Failed;
        end.reason =
                now >= request.deadlineAt ? EndReason::DeadlinePassed : EndReason::TargetsFailed;
    }
    return end;
}

} // namespace

RequestDelegator::RequestDelegator(FailureDomain domain, std::uint64_t sampleOneIn,
                                   std::uint64_t firstNumber)
    : domain(std::move(domain)), sampleOneIn(sampleOneIn), lastNumber(firstNumber)
{ }

std::vector<MemberRecord> RequestDelegator::choose(const CoordinatorRanking &ranking,
                                                   GatewayContext &context)
{
    // A coordinator in the own domain is the nearest one. An instance in a domain without replicas
    // spreads its queries over the domains that have some.
    std::vector<const DomainCoordinators *> domains;
    for (const DomainCoordinators &domainCoordinators : ranking.domains) {
        domains.push_back(&domainCoordinators);
    }
    std::ranges::shuffle(domains, context.random);
    std::stable_partition(domains.begin(), domains.end(),
                          [this](const DomainCoordinators *candidate) {
                              return candidate->domain == this->domain;
                          });
    std::vector<MemberRecord> chosen;
    for (const DomainCoordinators *candidate : domains) {
        for (const MemberRecord &member : candidate->members) {
            if (chosen.size() < maxAsked && !this->health.isAvoided(member.id, context.now)) {
                chosen.push_back(member);
            }
        }
    }
    return chosen;
}

std::optional<AdmittedRequest> RequestDelegator::delegate(AdmittedRequest request,
                                                          const CoordinatorRanking &ranking,
                                                          GatewayContext &context)
{
    if (request.request->body.size() > maxDelegatedBody) {
        return request;
    }
    Query query;
    query.coordinators = this->choose(ranking, context);
    if (query.coordinators.empty()) {
        return request;
    }
    query.minConfigVersion = std::max(request.config->version, this->newestConfigVersion);
    query.silentAt = context.now + offerTimeout;
    query.request = std::move(request);
    const std::uint64_t number = ++this->lastNumber;
    for (const MemberRecord &coordinator : query.coordinators) {
        context.emit(SendInquiry {coordinator.peerAddress, {number, query.minConfigVersion}});
    }
    this->queries.emplace(number, std::move(query));
    return std::nullopt;
}

RequestDelegator::Queries::iterator RequestDelegator::find(std::uint64_t number,
                                                           const InstanceId &member)
{
    const auto found = this->queries.find(number);
    const bool isAsked = found != this->queries.end()
            && std::ranges::find(found->second.coordinators, member, &MemberRecord::id)
                    != found->second.coordinators.end();
    return isAsked ? found : this->queries.end();
}

void RequestDelegator::giveBack(Queries::iterator query)
{
    ++this->delegatorCounts.returned;
    this->returned.push_back(std::move(query->second.request));
    this->queries.erase(query);
}

void RequestDelegator::onOffer(const OfferReceived &event, GatewayContext &context)
{
    this->health.onReacted(event.member);
    const CoordinatorOffer &offer = event.offer;
    const auto found = this->find(offer.number, event.member);
    if (found == this->queries.end() || found->second.sent) {
        return;
    }
    Query &query = found->second;
    if (offer.state != DelegationState::Accepted) {
        ++this->delegatorCounts.declined;
        this->health.onDeclined(event.member, avoidanceAfter(offer.state), context.now);
        std::erase_if(query.coordinators,
                      [&](const MemberRecord &member) { return member.id == event.member; });
        if (query.coordinators.empty()) {
            this->giveBack(found);
        }
        return;
    }
    std::erase_if(query.coordinators,
                  [&](const MemberRecord &member) { return member.id != event.member; });
    query.sent = true;
    query.silentAt = query.request.objectiveAt + forwarding::objectiveTolerance;
    ++this->delegatorCounts.delegated;
    DelegatedRequest message;
    message.number = offer.number;
    message.request = query.request.request;
    message.sentAt = offer.sentAt;
    message.objectiveLeft = query.request.objectiveAt - context.now - returnTime;
    message.timeLeft = query.request.deadlineAt - context.now - returnTime;
    message.minConfigVersion = query.minConfigVersion;
    context.emit(DelegateRequest {query.coordinators.front().peerAddress, std::move(message)});
}

void RequestDelegator::onReceipt(const ReceiptReceived &event, GatewayContext &context)
{
    const DelegationReceipt &receipt = event.receipt;
    const auto found = this->find(receipt.number, event.member);
    if (found == this->queries.end()) {
        return;
    }
    AdmittedRequest &request = found->second.request;
    if (receipt.state != DelegationState::Accepted) {
        ++this->delegatorCounts.declined;
        this->health.onDeclined(event.member, avoidanceAfter(receipt.state), context.now);
        this->giveBack(found);
        return;
    }
    found->second.silentAt = std::max(request.objectiveAt + forwarding::objectiveTolerance,
                                      context.now + forwarding::receiptTimeout);
}

void RequestDelegator::onAnswer(const DelegatedAnswerReceived &event, GatewayContext &context)
{
    const DelegatedAnswer &answer = event.answer;
    const auto found = this->find(answer.number, event.member);
    if (found == this->queries.end()
        || found->second.request.request->requestId != answer.requestId) {
        return;
    }
    this->newestConfigVersion = std::max(this->newestConfigVersion, answer.configVersion);
    const AdmittedRequest &request = found->second.request;
    const ExchangeEnd end = endOf(request, answer.reply, context.now);
    context.emit(AnswerExchange {request.id, answer.reply, end});
    logDelegatedEnd(request, end, event.member, this->sampleOneIn, context);
    this->queries.erase(found);
}

bool RequestDelegator::onCallerLeft(ExchangeId id, GatewayContext &context)
{
    const auto found = std::ranges::find_if(
            this->queries, [id](const auto &entry) { return entry.second.request.id == id; });
    if (found == this->queries.end()) {
        return false;
    }
    const Query &query = found->second;
    const MemberRecord &coordinator = query.coordinators.front();
    if (query.sent) {
        context.emit(CancelDelegation {coordinator.peerAddress, found->first});
    }
    const ExchangeEnd end {query.request.route->name, ExchangeOutcome::CallerLeft,
                           EndReason::CallerLeft, context.now - query.request.arrivedAt};
    logDelegatedEnd(query.request, end, coordinator.id, this->sampleOneIn, context);
    this->queries.erase(found);
    return true;
}

void RequestDelegator::onTimer(GatewayContext &context)
{
    for (auto next = this->queries.begin(); next != this->queries.end();) {
        const auto current = next++;
        Query &query = current->second;
        if (context.now < query.silentAt) {
            continue;
        }
        for (const MemberRecord &coordinator : query.coordinators) {
            ++this->delegatorCounts.silent;
            this->health.onSilent(coordinator.id, context.now);
        }
        if (query.sent) {
            this->endSilent(current, context);
        } else {
            this->giveBack(current);
        }
    }
}

void RequestDelegator::endSilent(Queries::iterator query, GatewayContext &context)
{
    // The coordinator may have used all attempts that the route allows, so none are left. A caller
    // that asks again has attempts of its own.
    const auto &[number, silent] = *query;
    const MemberRecord &coordinator = silent.coordinators.front();
    context.emit(CancelDelegation {coordinator.peerAddress, number});
    CallerReply reply;
    reply.status = forwarding::statusBadGateway;
    reply.detail = "the instance that coordinated the request fell silent; it may have run";
    ExchangeEnd end = endOf(silent.request, reply, context.now);
    end.reason = EndReason::CoordinatorSilent;
    context.emit(AnswerExchange {silent.request.id, std::move(reply), end});
    logDelegatedEnd(silent.request, end, coordinator.id, this->sampleOneIn, context);
    this->queries.erase(query);
}

Instant RequestDelegator::nextTimer() const
{
    Instant next = Instant::max();
    for (const auto &[number, query] : this->queries) {
        next = std::min(next, query.silentAt);
    }
    return next;
}

} // namespace lagoondeck
