#include "logic/shares/shares.h"

#include "logic/catalogue/catalogue.h"
#include "logic/context.h"
#include "logic/jitter.h"
#include "logic/membership/membership.h"
#include "logic/membership/peer_message.h"
#include "logic/shares/share_division.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <iterator>
#include <memory>

namespace lagoondeck {

namespace {

constexpr Duration gossipInterval = std::chrono::milliseconds(300);
constexpr double gossipJitter = 0.2;
/// The number of members that each instance sends its table to in each interval.
constexpr std::ptrdiff_t gossipFanOut = 2;
/// Within this time a new record reaches all members. A share grows only after it.
constexpr Duration propagationTime = std::chrono::seconds(2);
/// A member without a new record for this long counts as silent; limits are then not divided by
/// demand.
constexpr Duration silenceTimeout = std::chrono::seconds(2);
constexpr Duration recordLifetime = std::chrono::seconds(30);
/// A new instance uses only this fraction of its equal share until the other members know of it.
constexpr double initialShareFraction = 0.1;
/// Published demand exceeds the measured demand by this factor. It is updated only when the
/// measured demand rises above it or falls well below it, so that small changes do not affect the
/// shares.
constexpr double publishedHeadroom = 1.04;
constexpr double renewThreshold = 0.96;

double applyHysteresis(double demand, double published)
{
    const bool isInRange =
            demand <= published && demand * publishedHeadroom >= renewThreshold * published;
    return isInRange ? published : demand * publishedHeadroom;
}

} // namespace

Shares::Shares(const Catalogue &catalogue, const Membership &membership)
    : catalogue(catalogue), membership(membership)
{ }

void Shares::start(Context &context)
{
    this->startedAt = context.now;
    this->lastTimerAt = context.now;
    // Based on the wall clock, so that a restarted process with the same id continues with a higher
    // sequence number.
    this->sequence = static_cast<std::uint64_t>(toMilliseconds(context.wall.time_since_epoch()));
    this->setTimer(context);
}

void Shares::onTimer(Context &context)
{
    this->lastTimerAt = context.now;
    this->publish(context);
    this->table.removeOlderThan(context.now - recordLifetime);
    this->recompute(context.now);
    this->send(context);
    this->setTimer(context);
}

void Shares::onPeerMessage(const proto::PeerMessage &message, Context &context)
{
    if (message.has_demand()) {
        this->table.merge(message.demand(), DemandTable::hashOf(this->membership.view().self.id),
                          context.now);
    }
}

void Shares::setDemand(const EntryName &entry, double rate, double inFlight)
{
    this->localDemands[entry] = {rate, inFlight};
}

double Shares::rateShare(const EntryName &entry) const
{
    if (const auto found = this->shares.find(entry); found != this->shares.end()) {
        return found->second.rate.get();
    }
    const CatalogueEntry *known = this->catalogue.find(entry);
    return known == nullptr ? 0.0 : this->initialShare(*known).rate;
}

double Shares::concurrencyShare(const EntryName &entry) const
{
    if (const auto found = this->shares.find(entry); found != this->shares.end()) {
        return found->second.concurrency.get();
    }
    const CatalogueEntry *known = this->catalogue.find(entry);
    return known == nullptr ? 0.0 : this->initialShare(*known).concurrency;
}

NodeLimits Shares::limitsOf(const EntryName &entry) const
{
    const double concurrency = std::max(1.0, this->concurrencyShare(entry));
    return {this->rateShare(entry), static_cast<std::uint32_t>(concurrency)};
}

/// Returns all members that may admit queries, this instance first.
std::vector<DemandTable::MemberHash> Shares::members() const
{
    std::vector<DemandTable::MemberHash> members {
            DemandTable::hashOf(this->membership.view().self.id)};
    for (const Member &member : this->membership.view().others) {
        members.push_back(DemandTable::hashOf(member.id));
    }
    for (const Member &member : this->membership.deadButListed()) {
        members.push_back(DemandTable::hashOf(member.id));
    }
    return members;
}

void Shares::publish(Context &context)
{
    for (const auto &[entry, demand] : this->localDemands) {
        Demand &known = this->publishedDemands[entry];
        known.rate = applyHysteresis(demand.rate, known.rate);
        known.inFlight = applyHysteresis(demand.inFlight, known.inFlight);
    }
    const auto unknown = [this](const auto &item) {
        return this->catalogue.find(item.first) == nullptr;
    };
    std::erase_if(this->localDemands, unknown);
    std::erase_if(this->publishedDemands, unknown);
    this->table.setLocalRecord(DemandTable::hashOf(this->membership.view().self.id),
                               this->publishedDemands, ++this->sequence, context.now);
}

void Shares::recompute(Instant now)
{
    const std::vector<DemandTable::MemberHash> members = this->members();
    this->allMembersHeard = std::ranges::all_of(members, [&](DemandTable::MemberHash member) {
        const std::optional<Instant> lastHeard = this->table.lastHeardAt(member);
        return lastHeard && now - *lastHeard < silenceTimeout;
    });
    std::erase_if(this->shares,
                  [this](const auto &item) { return this->catalogue.find(item.first) == nullptr; });
    for (const auto &[name, entry] : this->catalogue.entries()) {
        this->recomputeEntry(entry, members, now);
    }
}

void Shares::recomputeEntry(const CatalogueEntry &entry,
                            const std::vector<DemandTable::MemberHash> &members, Instant now)
{
    const ShareValues equalSplit = this->equalShare(entry, members.size());
    const auto [share, isNew] = this->shares.try_emplace(entry.name);
    if (isNew) {
        const ShareValues initial = this->initialShare(entry);
        share->second.rate.set(initial.rate, now, propagationTime);
        share->second.concurrency.set(initial.concurrency, now, propagationTime);
    }
    double rate = equalSplit.rate;
    double concurrency = equalSplit.concurrency;
    if (this->allMembersHeard) {
        std::vector<double> rates;
        std::vector<double> inFlightDemands;
        for (const DemandTable::MemberHash member : members) {
            const Demand demand = this->table.demandOf(member, entry.name);
            rates.push_back(demand.rate);
            inFlightDemands.push_back(demand.inFlight);
        }
        rate = divideLimit(entry.ratePerSecond, rates).front();
        concurrency = divideLimit(entry.concurrency, inFlightDemands).front();
    }
    share->second.rate.set(rate, now, propagationTime);
    share->second.concurrency.set(concurrency, now, propagationTime);
}

Shares::ShareValues Shares::equalShare(const CatalogueEntry &entry, std::size_t members)
{
    const auto count = static_cast<double>(members);
    return {entry.ratePerSecond / count, entry.concurrency / count};
}

/// Returns the share of an entry that has none yet. An entry that is new in the whole cell is
/// divided equally at once. A new instance uses only a small part of all entries until the other
/// members know of it.
Shares::ShareValues Shares::initialShare(const CatalogueEntry &entry) const
{
    const std::size_t members = this->members().size();
    const bool known = members == 1 || this->lastTimerAt - this->startedAt >= propagationTime;
    const ShareValues equalSplit = equalShare(entry, members);
    const double factor = known ? 1.0 : initialShareFraction;
    return {equalSplit.rate * factor, equalSplit.concurrency * factor};
}

void Shares::send(Context &context) const
{
    auto message = newPeerMessage(this->membership.view().self);
    this->table.write(*message->mutable_demand());
    std::vector<Member> receivers;
    std::ranges::sample(this->membership.view().others, std::back_inserter(receivers), gossipFanOut,
                        context.random);
    for (const Member &receiver : receivers) {
        context.emit(SendPeerMessage {receiver.peerAddress, message});
    }
}

void Shares::setTimer(Context &context) const
{
    context.emit(SetTimer {Timer {TimerKind::Shares},
                           context.now + jittered(gossipInterval, gossipJitter, context.random)});
}

} // namespace lagoondeck
