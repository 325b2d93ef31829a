#include "account_fleet.h"

#include "logic/accounts/account_holders.h"

#include <algorithm>
#include <random>
#include <variant>

namespace lagoondeck::accounttest {

namespace {

constexpr std::size_t domains = 4;
constexpr Duration window = seconds(5);

} // namespace

AccountFleet::AccountFleet(const ClientAccount &account, std::size_t instances, std::uint64_t seed)
    : nodes(instances), random(seed)
{
    for (std::size_t i = 0; i < instances; ++i) {
        this->records.push_back({InstanceId("i" + std::to_string(i)), addressOf(i),
                                 FailureDomain("d" + std::to_string(i % domains))});
        this->indexByAddress[addressOf(i)] = i;
    }
    for (std::size_t i = 0; i < instances; ++i) {
        this->nodes[i].random.seed(this->random());
        this->nodes[i].view = this->records;
        this->nodes[i].configs.push_back({account});
        this->start(i, true);
    }
}

void AccountFleet::start(std::size_t instance, bool isFirstStart)
{
    Node &node = this->nodes[instance];
    ++node.run;
    node.caps = std::make_unique<AccountCaps>(this->records[instance].id, isFirstStart);
    node.caps->start(this->now);
    node.caps->setMembers(node.view, this->now);
}

void AccountFleet::apply(std::size_t instance, const Action &action)
{
    Node &node = this->nodes[instance];
    if (node.pausedUntil > this->now) {
        this->steps.emplace(node.pausedUntil,
                            [this, instance, action] { this->apply(instance, action); });
        return;
    }
    if (node.awayUntil > this->now) {
        return;
    }
    std::vector<GatewayEffect> effects;
    GatewayContext context {this->now, effects, node.random, this->ids};
    action(*node.caps, context);
    this->served.insert(this->served.end(), node.caps->takeAdmitted().size(), this->now);
    node.caps->sendAsks(context);
    for (const GatewayEffect &effect : effects) {
        this->execute(instance, effect);
    }
    if (const Instant at = node.caps->nextTimer(); at != Instant::max()) {
        this->steps.emplace(std::max(at, this->now), [this, instance, at, run = node.run] {
            const Node &current = this->nodes[instance];
            if (current.run == run && current.caps->nextTimer() <= at) {
                this->apply(instance, [](AccountCaps &caps, GatewayContext &timerContext) {
                    caps.onTimer(timerContext);
                });
            }
        });
    }
}

void AccountFleet::execute(std::size_t instance, const GatewayEffect &effect)
{
    if (const auto *ask = std::get_if<AskAccountTokens>(&effect)) {
        this->deliver(instance, ask->receiver,
                      [this, instance,
                       event = AccountTokensAsked {addressOf(instance), ask->number, ask->wishes},
                       to = this->indexByAddress.at(ask->receiver)](AccountCaps &caps,
                                                                    GatewayContext &context) {
                          const AccountDirectory directory(this->nodes[to].configs.back());
                          caps.onAsked(event, directory, context);
                      });
    } else if (const auto *grant = std::get_if<GrantAccountTokens>(&effect)) {
        this->deliver(
                instance, grant->receiver,
                [event = AccountTokensGranted {addressOf(instance), grant->number, grant->tokens}](
                        AccountCaps &caps, GatewayContext &context) {
                    caps.onGranted(event, context);
                });
    } else if (const auto *answer = std::get_if<AnswerExchange>(&effect)) {
        this->retries.push_back(answer->reply.retryAfter);
    }
}

void AccountFleet::deliver(std::size_t from, const std::string &address, const Action &action)
{
    const std::size_t to = this->indexByAddress.at(address);
    ++this->messages;
    if (this->nodes[from].isCut != this->nodes[to].isCut) {
        return;
    }
    std::uniform_int_distribution<int> delay(100, from % domains == to % domains ? 300 : 4400);
    this->steps.emplace(this->now + Duration(delay(this->random)),
                        [this, to, action, run = this->nodes[to].run] {
                            if (this->nodes[to].run == run) {
                                this->apply(to, action);
                            }
                        });
}

void AccountFleet::send(double perSecond, Duration duration,
                        const std::vector<std::size_t> &entries)
{
    const auto count =
            static_cast<std::size_t>(perSecond * std::chrono::duration<double>(duration).count());
    std::uniform_int_distribution<std::size_t> choose(0, entries.size() - 1);
    for (std::size_t i = 0; i < count; ++i) {
        this->steps.emplace(this->now + i * duration / count,
                            [this, entry = entries[choose(this->random)]] { this->submit(entry); });
    }
    this->run(duration);
}

ExchangeId AccountFleet::submit(std::size_t instance)
{
    const ExchangeId id(++this->lastExchange);
    this->apply(instance, [this, instance, id](AccountCaps &caps, GatewayContext &context) {
        const ClientAccount &account = this->nodes[instance].configs.back().front();
        AdmittedRequest request;
        request.id = id;
        request.request = std::make_shared<const ForwardedRequest>();
        request.route = &this->route;
        request.account = &account;
        request.arrivedAt = this->now;
        request.deadlineAt = this->now + seconds(1);
        request.storeDataAge = this->now - this->nodes[instance].storeLostAt.value_or(this->now);
        if (AccountCaps::decides(request)) {
            caps.submit(std::move(request), context);
        } else {
            this->served.push_back(this->now);
        }
    });
    return id;
}

void AccountFleet::leave(std::size_t instance, ExchangeId exchange)
{
    this->apply(instance, [exchange](AccountCaps &caps, GatewayContext &context) {
        caps.onCallerLeft(exchange, context);
    });
}

void AccountFleet::run(Duration duration)
{
    const Instant end = this->now + duration;
    while (!this->steps.empty() && this->steps.begin()->first <= end) {
        const auto step = this->steps.extract(this->steps.begin());
        this->now = step.key();
        step.mapped()();
    }
    this->now = end;
}

void AccountFleet::restart(std::size_t instance, Duration downtime)
{
    Node &node = this->nodes[instance];
    node.awayUntil = this->now + downtime;
    ++node.run;
    this->steps.emplace(node.awayUntil, [this, instance] { this->start(instance, false); });
}

void AccountFleet::pause(std::size_t instance, Duration duration)
{
    this->nodes[instance].pausedUntil = this->now + duration;
}

void AccountFleet::cut(const std::vector<std::size_t> &instances)
{
    for (Node &node : this->nodes) {
        node.isCut = false;
    }
    for (const std::size_t instance : instances) {
        this->nodes[instance].isCut = true;
    }
}

void AccountFleet::loseStore(const std::vector<std::size_t> &instances)
{
    for (Node &node : this->nodes) {
        node.storeLostAt.reset();
    }
    for (const std::size_t instance : instances) {
        this->nodes[instance].storeLostAt = this->now;
    }
}

void AccountFleet::setView(std::size_t instance, const std::vector<std::size_t> &members)
{
    Node &node = this->nodes[instance];
    node.view.clear();
    for (const std::size_t member : members) {
        node.view.push_back(this->records[member]);
    }
    node.caps->setMembers(node.view, this->now);
}

void AccountFleet::setAccount(std::size_t instance, const ClientAccount &account)
{
    this->nodes[instance].configs.push_back({account});
}

std::vector<std::size_t> AccountFleet::all() const
{
    std::vector<std::size_t> indexes(this->nodes.size());
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        indexes[i] = i;
    }
    return indexes;
}

std::vector<std::size_t> AccountFleet::holders() const
{
    std::vector<std::size_t> found;
    for (const MemberRecord &holder : accountHolders(this->records, "acme")) {
        found.push_back(this->indexByAddress.at(holder.peerAddress));
    }
    return found;
}

std::size_t AccountFleet::mostServed() const
{
    std::size_t most = 0;
    std::size_t end = 0;
    for (std::size_t begin = 0; begin < this->served.size(); ++begin) {
        while (end < this->served.size() && this->served[end] - this->served[begin] < window) {
            ++end;
        }
        most = std::max(most, end - begin);
    }
    return most;
}

} // namespace lagoondeck::accounttest
