// What WorldSync tells the other members and learns from them.

#include "logic/gateway/relay_tree.h"
#include "logic/gateway/world_sync.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>
#include <variant>
#include <xxhash.h>

namespace lagoondeck {

namespace {

/// No member waits longer than for this rank.
constexpr std::ptrdiff_t mostRank = 3;
/// Between two readings because of beliefs that differ.
constexpr Duration compareInterval = std::chrono::seconds(5);
constexpr Duration wishInterval = std::chrono::milliseconds(500);
/// News without a change are passed on again after this long: they tell that somebody asks. Less
/// than the pause between two questions at the store.
constexpr Duration relayPause = std::chrono::milliseconds(200);

} // namespace

std::ptrdiff_t WorldSync::rank() const
{
    return std::distance(this->memberTable.begin(),
                         this->memberTable.lower_bound(this->self.value));
}

Duration WorldSync::patience() const
{
    return this->askInterval + this->rankDelay * std::min(this->rank(), mostRank);
}

bool WorldSync::isNews(const WorldChange &change) const
{
    const auto *record = std::get_if<TargetRecord>(&change.content);
    const auto known = this->items.find(change.key);
    if (change.part == WorldPart::Other) {
        return false;
    }
    if (record == nullptr || known == this->items.end()) {
        // A key that was removed is news when it is back, even if its target was not dropped yet.
        return true;
    }
    const auto *before = std::get_if<TargetRecord>(&known->second.content);
    if (before == nullptr) {
        return true;
    }
    TargetRecord same = *before;
    same.warmupLeft = record->warmupLeft;
    return same != *record;
}

std::shared_ptr<WorldNews> WorldSync::newsOf(const StoreAnswer &answer) const
{
    auto news = std::make_shared<WorldNews>();
    news->from = this->revision;
    news->to = answer.revision;
    std::ranges::copy_if(answer.changes, std::back_inserter(news->changes),
                         [this](const WorldChange &change) { return this->isNews(change); });
    return news;
}

void WorldSync::tellOthers(const std::shared_ptr<WorldNews> &news, GatewayContext &context)
{
    TellNews effect {this->relayReceivers(this->self), news};
    if (effect.receivers.empty() || news->to < news->from) {
        return;
    }
    news->origin = this->self;
    news->grace = std::max<Duration>(this->graceUntil - context.now, Duration(0));
    news->digest = this->digest();
    context.emit(std::move(effect));
}

std::vector<std::string> WorldSync::otherMembers() const
{
    std::vector<std::string> others;
    for (const auto &[id, member] : this->memberTable) {
        if (member.peerAddress != this->ownAddress) {
            others.push_back(member.peerAddress);
        }
    }
    return others;
}

std::vector<std::string> WorldSync::relayReceivers(const InstanceId &origin) const
{
    std::vector<std::string> members;
    for (const auto &[id, member] : this->memberTable) {
        members.push_back(member.peerAddress);
    }
    const auto placeOf = [this](const std::string &id) {
        return static_cast<std::size_t>(
                std::distance(this->memberTable.begin(), this->memberTable.lower_bound(id)));
    };
    std::vector<std::string> receivers;
    for (const std::size_t place :
         relayChildren(placeOf(origin.value), placeOf(this->self.value), members.size())) {
        if (members[place] != this->ownAddress) {
            receivers.push_back(members[place]);
        }
    }
    return receivers;
}

void WorldSync::relay(const WorldNews &news, GatewayContext &context)
{
    // While views differ, news may come round again.
    const bool known = news.to < this->relayedTo
            || (news.to == this->relayedTo && context.now - this->relayedAt < relayPause);
    if (news.origin.value.empty() || news.origin == this->self || known) {
        return;
    }
    this->relayedTo = news.to;
    this->relayedAt = context.now;
    auto rest = std::make_shared<WorldNews>(news);
    if (!this->reading && news.from <= this->revision) {
        // Several members may have asked at once: what was passed on before is not sent again.
        rest->from = std::min(this->revision, news.to);
        std::erase_if(rest->changes, [this](const WorldChange &change) {
            return change.revision <= this->revision;
        });
    }
    TellNews effect {this->relayReceivers(news.origin), std::move(rest)};
    if (!effect.receivers.empty()) {
        context.emit(std::move(effect));
    }
}

void WorldSync::onNews(const WorldNewsReceived &event, GatewayContext &context)
{
    const WorldNews &news = event.news;
    if (news.wants) {
        this->answerWish(event, context);
        return;
    }
    if (news.full) {
        this->takeFullNews(news, context);
        return;
    }
    this->relay(news, context);
    if (this->reading || news.from > this->revision || news.to < this->revision) {
        // Something in between was missed, or the sender knows less.
        return;
    }
    this->graceUntil = std::max(this->graceUntil, context.now + news.grace);
    this->takeNewer(news.changes, context);
    this->revision = news.to;
    this->heardAt = context.now;
    if (!this->operation && !this->health.isAway() && this->rank() > 0) {
        this->askAt = context.now + this->patience();
    }
    this->compare(news, context);
}

std::uint64_t WorldSync::digest() const
{
    std::uint64_t sum = 1;
    for (const auto &[key, item] : this->items) {
        std::string text = key;
        if (const auto *target = std::get_if<TargetRecord>(&item.content)) {
            text += "|" + std::to_string(target->startedAtMs) + "|" + target->group.value + "|"
                    + target->address + (target->leaving ? "|leaving" : "");
        } else if (const auto *config = std::get_if<RoutingConfigPtr>(&item.content)) {
            text += "|" + std::to_string((*config)->version);
        }
        sum += XXH3_64bits(text.data(), text.size());
    }
    return sum;
}

void WorldSync::compare(const WorldNews &news, GatewayContext &context)
{
    if (news.digest == 0 || news.digest == this->digest()
        || context.now - this->comparedAt < compareInterval) {
        return;
    }
    this->comparedAt = context.now;
    context.log(LogEvent::BeliefsDiffer,
                {numberField("storeRevision", static_cast<std::int64_t>(news.to))});
    if (!this->operation) {
        this->beginReading();
        this->askAt = context.now;
        this->ask(context);
    }
}

void WorldSync::takeFullNews(const WorldNews &news, GatewayContext &context)
{
    const bool needed = !this->targetsKnown || this->health.isAway();
    if (!needed || news.to < this->revision) {
        return;
    }
    this->graceUntil = std::max(this->graceUntil, context.now + news.grace);
    this->named.clear();
    for (const WorldChange &change : news.changes) {
        this->take(change, context);
        this->named.insert(change.key);
    }
    this->revision = news.to;
    this->heardAt = context.now;
    const Instant ask = this->askAt;
    this->finishReading(context);
    // The store is tried as before; the members are asked again until it answers.
    this->askAt = ask;
    this->wishAt = context.now + wishInterval;
}

void WorldSync::answerWish(const WorldNewsReceived &event, GatewayContext &context)
{
    if (!this->ready() || this->reading || this->revision <= event.news.to) {
        return;
    }
    auto news = std::make_shared<WorldNews>();
    news->to = this->revision;
    news->full = true;
    news->grace = std::max<Duration>(this->graceUntil - context.now, Duration(0));
    for (const auto &[key, item] : this->items) {
        news->changes.push_back(item);
    }
    context.emit(TellNews {{event.sender}, std::move(news)});
}

void WorldSync::wish(GatewayContext &context)
{
    this->wishAt = context.now + wishInterval;
    std::vector<std::string> known = this->otherMembers();
    known.insert(known.end(), this->seeds.begin(), this->seeds.end());
    if (known.empty()) {
        return;
    }
    auto news = std::make_shared<WorldNews>();
    news->wants = true;
    news->to = this->revision;
    std::uniform_int_distribution<std::size_t> any(0, known.size() - 1);
    context.emit(TellNews {{known[any(context.random)]}, std::move(news)});
}

} // namespace lagoondeck
