#include "logic/gateway/request_delegator.h"

#include "logic/gateway/exchange_log.h"
#include "logic/gateway/forwarding_constants.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr int statusOk = 200;
constexpr int firstErrorStatus = 400;
/// How many members are asked for one request at the same time.
constexpr std::size_t maxAsked = 2;
/// How many members are asked for help with one request in turn.
constexpr std::size_t maxHelpersAsked = 8;
/// A member that has not replied to an inquiry after this long is silent: some round trips between
/// failure domains, plus an iteration of a busy event loop. Asking again costs nothing but time, so
/// this is short.
constexpr Duration offerTimeout = std::chrono::milliseconds(12);
/// How long an offer of help is awaited, because there may be no other way to serve the request:
/// connections to members may have to be made first.
constexpr Duration maxHelpWait = std::chrono::milliseconds(50);
/// The time for the answer's way back from the coordinator.
constexpr Duration returnTime = std::chrono::milliseconds(3);
/// Larger requests are not worth sending twice, unless there is no other way.
constexpr std::size_t maxDelegatedBody = 8 * 1024;
constexpr std::size_t maxHelpedBody = 1024 * 1024;

/// Returns how long a member is avoided after it declined a request.
Duration avoidanceAfter(DelegationState state)
{
    switch (state) {
    case DelegationState::Leaving:
        return std::chrono::seconds(10);
    case DelegationState::Unreachable:
        return std::chrono::seconds(1);
    default:
        return std::chrono::milliseconds(300);
    }
}

ExchangeEnd endOf(const AdmittedRequest &request, const CallerReply &reply, Instant now)
{
    ExchangeEnd end;
    end.route = request.route->name;
    end.elapsed = now - request.arrivedAt;
    end.partsAnswered = reply.partSignatures.size();
    end.partsNeeded = end.partsAnswered + reply.partsMissing;
    if (reply.forwarded != nullptr && reply.status >= firstErrorStatus) {
        end.outcome = ExchangeOutcome::Failed;
        end.reason = EndReason::TargetFailed;
    } else if (reply.status == statusOk || reply.forwarded != nullptr) {
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

RequestDelegator::RequestDelegator(FailureDomain domain, DomainRegions regions,
                                   std::uint64_t sampleOneIn, std::uint64_t firstNumber)
    : domain(std::move(domain)), regions(std::move(regions)), sampleOneIn(sampleOneIn),
      lastNumber(firstNumber)
{ }

std::vector<MemberRecord> RequestDelegator::chooseCoordinators(const CoordinatorRanking &ranking,
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

void RequestDelegator::removeForbidden(std::vector<MemberRecord> &candidates,
                                       const AdmittedRequest &request) const
{
    const RegionRule rule = request.regionRule();
    std::erase_if(candidates, [&](const MemberRecord &member) {
        return !rule.allowsMembersIn(member.failureDomain, this->domain, this->regions);
    });
}

std::optional<AdmittedRequest> RequestDelegator::delegate(AdmittedRequest request,
                                                          const CoordinatorRanking &ranking,
                                                          GatewayContext &context)
{
    std::vector<MemberRecord> candidates = this->chooseCoordinators(ranking, context);
    this->removeForbidden(candidates, request);
    if (candidates.empty() || request.request->body.size() > maxDelegatedBody) {
        return request;
    }
    this->add(std::move(request), std::move(candidates), offerTimeout, context);
    return std::nullopt;
}

std::optional<AdmittedRequest> RequestDelegator::requestHelp(AdmittedRequest request,
                                                             const CoordinatorRanking &ranking,
                                                             const HelperChoice &helpers,
                                                             GatewayContext &context)
{
    std::vector<MemberRecord> candidates = this->chooseCoordinators(ranking, context);
    for (MemberRecord &helper :
         helpers.choose(maxHelpersAsked, this->health, context.now, context.random)) {
        if (std::ranges::find(candidates, helper.id, &MemberRecord::id) == candidates.end()) {
            candidates.push_back(std::move(helper));
        }
    }
    this->removeForbidden(candidates, request);
    request.isDeclined = true;
    if (candidates.empty() || request.request->body.size() > maxHelpedBody) {
        return request;
    }
    ++this->delegatorCounts.helpRequested;
    this->add(std::move(request), std::move(candidates), maxHelpWait, context);
    return std::nullopt;
}

void RequestDelegator::add(AdmittedRequest request, std::vector<MemberRecord> candidates,
                           Duration maxOfferWait, GatewayContext &context)
{
    PendingRequest pending;
    pending.minConfigVersion = std::max(request.config->version, this->newestConfigVersion);
    pending.offersUntil = context.now + maxOfferWait;
    pending.candidates = std::move(candidates);
    pending.request = std::move(request);
    const auto added = this->requests.emplace(++this->lastNumber, std::move(pending)).first;
    this->askNext(added, context);
}

void RequestDelegator::askNext(PendingRequests::iterator pending, GatewayContext &context)
{
    auto &[number, request] = *pending;
    const std::size_t count = std::min(request.candidates.size(), maxAsked);
    const auto end = request.candidates.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto member = request.candidates.begin(); member != end; ++member) {
        context.emit(SendInquiry {member->peerAddress, {number, request.minConfigVersion}});
    }
    request.asked.insert(request.asked.end(), request.candidates.begin(), end);
    request.candidates.erase(request.candidates.begin(), end);
    request.silentAt = context.now + offerTimeout;
}

RequestDelegator::PendingRequests::iterator RequestDelegator::find(std::uint64_t number,
                                                                   const InstanceId &member)
{
    const auto found = this->requests.find(number);
    const auto contains = [&](const std::vector<MemberRecord> &members) {
        return std::ranges::find(members, member, &MemberRecord::id) != members.end();
    };
    const bool isAsked = found != this->requests.end()
            && (contains(found->second.asked) || contains(found->second.silent));
    return isAsked ? found : this->requests.end();
}

void RequestDelegator::giveBack(PendingRequests::iterator pending)
{
    ++this->delegatorCounts.returned;
    this->returned.push_back(std::move(pending->second.request));
    this->requests.erase(pending);
}

void RequestDelegator::onDeclined(PendingRequests::iterator pending, const InstanceId &member,
                                  DelegationState state, GatewayContext &context)
{
    ++this->delegatorCounts.declined;
    this->health.onDeclined(member, avoidanceAfter(state), context.now);
    PendingRequest &request = pending->second;
    const auto isMember = [&](const MemberRecord &other) { return other.id == member; };
    std::erase_if(request.asked, isMember);
    std::erase_if(request.silent, isMember);
    if (request.asked.empty()) {
        this->continueAsking(pending, context);
    }
}

void RequestDelegator::continueAsking(PendingRequests::iterator pending, GatewayContext &context)
{
    PendingRequest &request = pending->second;
    if (!request.candidates.empty()) {
        this->askNext(pending, context);
    } else if (!request.silent.empty() && context.now < request.offersUntil) {
        request.silentAt = request.offersUntil;
    } else {
        this->giveBack(pending);
    }
}

void RequestDelegator::onOffer(const OfferReceived &event, GatewayContext &context)
{
    this->health.onReacted(event.member);
    const CoordinatorOffer &offer = event.offer;
    const auto found = this->find(offer.number, event.member);
    if (found == this->requests.end() || found->second.sent) {
        return;
    }
    if (offer.state != DelegationState::Accepted) {
        this->onDeclined(found, event.member, offer.state, context);
        return;
    }
    PendingRequest &pending = found->second;
    pending.asked.insert(pending.asked.end(), pending.silent.begin(), pending.silent.end());
    pending.silent.clear();
    std::erase_if(pending.asked,
                  [&](const MemberRecord &member) { return member.id != event.member; });
    pending.sent = true;
    pending.silentAt = forwarding::firstReceiptBy(pending.request.objectiveAt, context.now);
    ++this->delegatorCounts.delegated;
    DelegatedRequest message;
    message.number = offer.number;
    message.request = pending.request.request;
    message.sentAt = offer.sentAt;
    message.objectiveLeft = pending.request.objectiveAt - context.now - returnTime;
    message.timeLeft = pending.request.deadlineAt - context.now - returnTime;
    message.minConfigVersion = pending.minConfigVersion;
    context.emit(DelegateRequest {pending.asked.front().peerAddress, std::move(message)});
}

void RequestDelegator::onReceipt(const ReceiptReceived &event, GatewayContext &context)
{
    const DelegationReceipt &receipt = event.receipt;
    const auto found = this->find(receipt.number, event.member);
    if (found == this->requests.end()) {
        return;
    }
    if (receipt.state != DelegationState::Accepted) {
        found->second.sent = false;
        this->onDeclined(found, event.member, receipt.state, context);
        return;
    }
    found->second.silentAt =
            std::max(found->second.request.objectiveAt + forwarding::objectiveTolerance,
                     context.now + forwarding::receiptTimeout);
}

void RequestDelegator::onAnswer(const DelegatedAnswerReceived &event, GatewayContext &context)
{
    const DelegatedAnswer &answer = event.answer;
    const auto found = this->find(answer.number, event.member);
    if (found == this->requests.end()
        || found->second.request.request->requestId != answer.requestId) {
        return;
    }
    this->newestConfigVersion = std::max(this->newestConfigVersion, answer.configVersion);
    const AdmittedRequest &request = found->second.request;
    const ExchangeEnd end = endOf(request, answer.reply, context.now);
    context.emit(AnswerExchange {request.id, answer.reply, end});
    logDelegatedEnd(request, end, event.member, this->sampleOneIn, context);
    this->requests.erase(found);
}

bool RequestDelegator::onCallerLeft(ExchangeId id, GatewayContext &context)
{
    const auto found = std::ranges::find_if(
            this->requests, [id](const auto &entry) { return entry.second.request.id == id; });
    if (found == this->requests.end()) {
        return false;
    }
    const PendingRequest &pending = found->second;
    const InstanceId member = pending.asked.empty() ? InstanceId() : pending.asked.front().id;
    if (pending.sent) {
        context.emit(CancelDelegation {pending.asked.front().peerAddress, found->first});
    }
    const ExchangeEnd end {pending.request.route->name, ExchangeOutcome::CallerLeft,
                           EndReason::CallerLeft, context.now - pending.request.arrivedAt};
    logDelegatedEnd(pending.request, end, member, this->sampleOneIn, context);
    this->requests.erase(found);
    return true;
}

void RequestDelegator::onTimer(GatewayContext &context)
{
    for (auto next = this->requests.begin(); next != this->requests.end();) {
        const auto current = next++;
        PendingRequest &pending = current->second;
        if (pending.request.isCutShort && context.now >= pending.request.deadlineAt) {
            this->endCutShort(current, context);
            continue;
        }
        if (context.now < pending.silentAt) {
            continue;
        }
        for (const MemberRecord &member : pending.asked) {
            ++this->delegatorCounts.silent;
            this->health.onSilent(member.id, context.now);
        }
        if (pending.sent) {
            this->endSilent(current, context);
        } else {
            pending.silent.insert(pending.silent.end(), pending.asked.begin(), pending.asked.end());
            pending.asked.clear();
            this->continueAsking(current, context);
        }
    }
}

void RequestDelegator::endSilent(PendingRequests::iterator pending, GatewayContext &context)
{
    // The member may have used all attempts that the route allows, so none are left. A caller that
    // asks again has attempts of its own.
    CallerReply reply;
    reply.status = forwarding::statusBadGateway;
    reply.detail = "the instance that served the request for this one fell silent; it may have run";
    this->end(pending, std::move(reply), EndReason::CoordinatorSilent, context);
}

void RequestDelegator::endCutShort(PendingRequests::iterator pending, GatewayContext &context)
{
    CallerReply reply;
    if (pending->second.sent) {
        reply.status = forwarding::statusTimeout;
        reply.detail = "this instance stops before the answer arrived; the request may have run";
    } else {
        reply.status = forwarding::statusUnavailable;
        reply.retryAfter = forwarding::retryAfterRefusal;
        reply.detail = "not run: this instance stops";
    }
    this->end(pending, std::move(reply), EndReason::Stopping, context);
}

void RequestDelegator::end(PendingRequests::iterator pending, CallerReply reply, EndReason reason,
                           GatewayContext &context)
{
    const auto &[number, ended] = *pending;
    InstanceId member;
    if (ended.sent) {
        member = ended.asked.front().id;
        context.emit(CancelDelegation {ended.asked.front().peerAddress, number});
    }
    ExchangeEnd end = endOf(ended.request, reply, context.now);
    end.reason = reason;
    context.emit(AnswerExchange {ended.request.id, std::move(reply), end});
    logDelegatedEnd(ended.request, end, member, this->sampleOneIn, context);
    this->requests.erase(pending);
}

void RequestDelegator::onStopping(Instant answersDueAt)
{
    for (auto &[number, pending] : this->requests) {
        pending.request.endBy(answersDueAt);
    }
}

Instant RequestDelegator::nextTimer() const
{
    Instant next = Instant::max();
    for (const auto &[number, pending] : this->requests) {
        next = std::min({next, pending.silentAt,
                         pending.request.isCutShort ? pending.request.deadlineAt : Instant::max()});
    }
    return next;
}

} // namespace lagoondeck
