#include "gateway_fleet.h"

#include "logic/gateway/coordinator_capacity.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <tuple>

namespace lagoondeck::gatewaytest {

namespace {

/// One in so many instances of a domain is large.
constexpr std::size_t largeInstanceInterval = 10;
/// The spread of the targets' latencies.
constexpr double latencySigma = 0.35;
constexpr double tailProbability = 0.01;
constexpr double fleetLinkMbps = 100.0;
constexpr Duration targetRestartTime = std::chrono::seconds(3);
/// An instance counts as told of a limit this long after its first reply with it.
constexpr Duration toldDelay = milliseconds(500);

FailureDomain domainName(std::size_t index)
{
    return FailureDomain("domain" + std::to_string(index));
}

} // namespace

GatewayFleet::GatewayFleet(const FleetPlan &plan) : plan(plan), random(plan.seed)
{
    Route route = gatherRoute("/g/", plan.shards, plan.minimumCoverage);
    route.objective = plan.objective;
    route.timeout = plan.objective * 10;
    route.attempts = plan.attempts;
    Route urgentRoute = route;
    urgentRoute.name = urgentRoute.prefix = urgent;
    urgentRoute.priority = route.priority;
    route.priority = urgentRoute.priority + 1;
    Route single = plainRoute(plain, "plain", plan.isPlainIdempotent);
    single.objective = plan.objective;
    single.timeout = plan.objective * 10;
    this->storeState.push_back(
            GatewayHarness::configChange(configOf({route, urgentRoute, single}), 1));
    for (std::size_t i = 0; i < plan.plainTargets; ++i) {
        TargetRecord record = target("p" + std::to_string(i), "plain");
        record.failureDomain = domainName(i % plan.domains);
        this->storeState.push_back(GatewayHarness::targetChange(record, 1));
        this->targets[record.id] = {record, Duration(0), 1.0, std::nullopt, {}};
    }
    std::bernoulli_distribution isSlow(plan.slowShare);
    std::uniform_int_distribution<Duration::rep> anyOffset(0, plan.pausePeriod.count());
    for (std::size_t shard = 0; shard < plan.shards; ++shard) {
        for (std::size_t domain = 0; domain < plan.replicaDomains; ++domain) {
            TargetRecord record = target("t" + std::to_string(shard) + "-" + std::to_string(domain),
                                         "shard" + std::to_string(shard));
            record.failureDomain = domainName(domain);
            this->storeState.push_back(GatewayHarness::targetChange(record, 1));
            this->targets[record.id] = {record,
                                        Duration(anyOffset(this->random)),
                                        isSlow(this->random) ? plan.slowFactor : 1.0,
                                        std::nullopt,
                                        {}};
        }
    }
    this->lastAttemptAt.resize(plan.instances);
    for (std::size_t i = 0; i < plan.instances; ++i) {
        Node node;
        node.share =
                i / plan.domains % largeInstanceInterval == 0 ? plan.largeShare : plan.smallShare;
        this->nodes.push_back(std::move(node));
        const GatewaySettings settings = this->settingsFor(i);
        Node &added = this->nodes.back();
        added.domain = settings.failureDomain;
        added.gateway = std::make_unique<Gateway>(settings);
        this->indexById[settings.id.value] = i;
        this->indexByAddress[settings.peerAddress] = i;
        StoreChange member = GatewayHarness::memberChange(settings.id.value, settings.peerAddress);
        member.content = MemberRecord {settings.id, settings.peerAddress, settings.failureDomain,
                                       coordinatorCapacity(settings)};
        this->storeState.push_back(member);
    }
    for (std::size_t i = 0; i < plan.instances; ++i) {
        this->schedule(this->now, [this, i] { this->apply(i, GatewayStarted {}); });
    }
    this->run(milliseconds(500));
}

GatewaySettings GatewayFleet::settingsFor(std::size_t instance) const
{
    GatewaySettings settings = GatewayHarness::settingsOf({0.2, 400.0, std::chrono::seconds(10)});
    settings.id = InstanceId("n" + std::to_string(instance));
    settings.peerAddress = this->addressOf(instance);
    settings.failureDomain = domainName(instance % this->plan.domains);
    settings.linkMbps = fleetLinkMbps;
    settings.seed = this->plan.seed * 1000 + instance;
    settings.processorShare = this->plan.withCoordinators ? this->nodes[instance].share : 0.0;
    return settings;
}

void GatewayFleet::revive(std::size_t instance)
{
    this->dead.erase(instance);
    this->apply(instance, ProcessPaused {std::chrono::seconds(4)});
}

void GatewayFleet::setLimit(const std::string &target, std::optional<double> perSecond)
{
    Target &limited = this->targets.at(TargetId(target));
    limited.limit = perSecond;
    limited.toldAt.clear();
}

void GatewayFleet::restart(std::size_t instance)
{
    GatewaySettings settings = this->settingsFor(instance);
    settings.firstStart = false;
    ++this->nodes[instance].run;
    this->nodes[instance].running.clear();
    this->nodes[instance].unsent.clear();
    settings.seed += 1'000'000 * this->nodes[instance].run;
    this->nodes[instance].gateway = std::make_unique<Gateway>(settings);
    for (auto &[id, target] : this->targets) {
        target.toldAt.erase(instance);
    }
    this->apply(instance, GatewayStarted {});
}

std::string GatewayFleet::addressOf(std::size_t instance) const
{
    return "10.0." + std::to_string(instance / 250) + "." + std::to_string(instance % 250)
            + ":7000";
}

void GatewayFleet::schedule(Instant at, std::function<void()> action)
{
    this->steps.push({std::max(at, this->now), ++this->lastOrder, std::move(action)});
}

void GatewayFleet::run(Duration duration)
{
    const Instant end = this->now + duration;
    while (!this->steps.empty() && this->steps.top().at <= end) {
        const Step step = this->steps.top();
        this->steps.pop();
        this->now = step.at;
        step.action();
    }
    this->now = end;
}

void GatewayFleet::pause(std::size_t instance, Duration duration)
{
    this->nodes[instance].pausedUntil = this->now + duration;
}

std::uint64_t GatewayFleet::sendQuery(std::size_t instance, const std::string &prefix)
{
    return this->send(instance, prefix, prefix + std::to_string(this->lastQuery + 1));
}

std::uint64_t GatewayFleet::sendPlainQuery(std::size_t instance, const std::string &path)
{
    return this->send(instance, plain, path);
}

std::uint64_t GatewayFleet::send(std::size_t instance, const std::string &prefix,
                                 const std::string &path)
{
    const std::uint64_t number = ++this->lastQuery;
    ++this->queries;
    ForwardedRequest request;
    request.method = "GET";
    request.path = path;
    request.host = "h";
    request.requestId = "r" + std::to_string(number);
    if (!this->accountKey.empty()) {
        request.accountKey = this->accountKey;
        request.identityFields = {{"identity", this->accountKey}};
    }
    this->sentAt[number] = this->now;
    this->prefixes[number] = prefix;
    this->receivers[number] = instance;
    this->apply(instance,
                RequestArrived {ExchangeId(number),
                                std::make_shared<const ForwardedRequest>(std::move(request)),
                                {milliseconds(6), false}});
    return number;
}

void GatewayFleet::sendQueries(double perSecond, Duration duration, const std::string &prefix)
{
    std::exponential_distribution<double> gap(perSecond);
    std::uniform_int_distribution<std::size_t> anyInstance(0, this->nodes.size() - 1);
    const Instant end = this->now + duration;
    Instant at = this->now;
    while (true) {
        at += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(gap(this->random)));
        if (at >= end) {
            break;
        }
        std::size_t instance = anyInstance(this->random);
        while (this->dead.contains(instance) || this->excluded.contains(instance)
               || this->nodes[instance].pausedUntil > at) {
            instance = anyInstance(this->random);
        }
        this->schedule(at, [this, instance, prefix] { this->sendQuery(instance, prefix); });
    }
    this->run(duration);
}

void GatewayFleet::sendQueriesExcept(std::size_t instance, double perSecond, Duration duration)
{
    const bool wasExcluded = !this->excluded.insert(instance).second;
    this->sendQueries(perSecond, duration);
    if (!wasExcluded) {
        this->excluded.erase(instance);
    }
}

Duration GatewayFleet::delayBetween(const FailureDomain &first, const FailureDomain &second) const
{
    return first == second ? this->plan.sameDomainDelay : this->plan.crossDomainDelay;
}

void GatewayFleet::deliver(std::size_t from, const std::string &address,
                           const std::function<GatewayEvent(const std::string &sender)> &event)
{
    const auto found = this->indexByAddress.find(address);
    if (found == this->indexByAddress.end() || this->silenced.contains(from)) {
        return;
    }
    const std::size_t to = found->second;
    const Instant at = this->nodes[from].busyUntil
            + this->delayBetween(this->nodes[from].domain, this->nodes[to].domain);
    this->schedule(at, [this, to, body = event(this->addressOf(from))] { this->apply(to, body); });
}

void GatewayFleet::apply(std::size_t instance, const GatewayEvent &event)
{
    if (this->dead.contains(instance)) {
        return;
    }
    Node &node = this->nodes[instance];
    const Instant startAt = std::max(node.busyUntil, node.pausedUntil);
    if (startAt > this->now) {
        this->applyAt(startAt, instance, event);
        return;
    }
    const auto cost = std::chrono::duration_cast<Duration>(this->plan.processorTime / node.share);
    node.busyUntil = this->now + cost;
    for (const GatewayEffect &effect : node.gateway->apply(event, this->now)) {
        node.busyUntil += cost;
        this->execute(instance, effect);
    }
    if (const Instant next = node.gateway->nextTimer(); next < node.timerAt) {
        node.timerAt = next;
        this->schedule(next, [this, instance] {
            this->nodes[instance].timerAt = Instant::max();
            this->apply(instance, TimerDue {});
        });
    }
}

void GatewayFleet::recordArrival(std::size_t instance, const TargetId &id)
{
    const Target &target = this->targets.at(id);
    if (target.limit) {
        const auto told = target.toldAt.find(instance);
        this->limitedArrivals[id].push_back(
                {this->now, told != target.toldAt.end() && told->second + toldDelay <= this->now});
    }
}

void GatewayFleet::applyAt(Instant at, std::size_t instance, const GatewayEvent &event)
{
    this->schedule(at, [this, instance, event, run = this->nodes[instance].run] {
        if (this->nodes[instance].run == run) {
            this->apply(instance, event);
        }
    });
}

void GatewayFleet::setDomainLost(std::size_t domain, bool isLost)
{
    if (!isLost) {
        this->lostDomains.erase(domainName(domain));
        return;
    }
    this->lostDomains.insert(domainName(domain));
    for (std::size_t i = domain; i < this->nodes.size(); i += this->plan.domains) {
        this->kill(i);
    }
}

void GatewayFleet::cut(std::size_t instance, PathCut how)
{
    Node &node = this->nodes[instance];
    node.pathCut = how;
    if (how == PathCut::Silent || how == PathCut::Reset) {
        ++node.pathBreaks;
    }
    if (how == PathCut::Reset) {
        std::erase_if(this->connections,
                      [&](const auto &entry) { return entry.first.first == instance; });
        for (const auto &[attempt, target] : node.running) {
            this->endAttempt(instance, attempt, AttemptEndKind::Lost, {});
        }
    }
}

void GatewayFleet::crash(const TargetId &id)
{
    ++this->crashes;
    this->targets.at(id).awayUntil = this->now + targetRestartTime;
    std::erase_if(this->connections, [&](const auto &entry) { return entry.first.second == id; });
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        for (const auto &[attempt, target] : this->nodes[i].running) {
            if (target == id) {
                this->endAttempt(i, attempt, AttemptEndKind::Lost, milliseconds(1));
            }
        }
    }
}

void GatewayFleet::endAttempt(std::size_t instance, AttemptId attempt, AttemptEndKind kind,
                              Duration after)
{
    this->schedule(this->now + after,
                   [this, instance, attempt, kind, run = this->nodes[instance].run] {
                       Node &node = this->nodes[instance];
                       if (node.run == run && node.running.erase(attempt) > 0) {
                           node.unsent.erase(attempt);
                           this->apply(instance, AttemptEnded {attempt, kind});
                       }
                   });
}

void GatewayFleet::probe(std::size_t instance, const ProbePath &effect)
{
    const Node &node = this->nodes[instance];
    const Duration roundTrip = 2
            * this->delayBetween(node.domain, this->targets.at(effect.target).record.failureDomain);
    const bool isLost =
            this->lostDomains.contains(this->targets.at(effect.target).record.failureDomain);
    const bool hangs = isLost || node.pathCut == PathCut::Silent;
    this->applyAt(this->now + (hangs ? this->plan.connectTimeout : roundTrip), instance,
                  PathProbed {effect.number, !isLost && node.pathCut == PathCut::None});
}

void GatewayFleet::startAttempt(std::size_t instance, const StartAttempt &effect)
{
    Node &node = this->nodes[instance];
    const Target &target = this->targets.at(effect.target);
    node.running.emplace(effect.attempt, effect.target);
    Connection &connection = this->connections[{instance, effect.target}];
    const bool isConnected = this->now - connection.usedAt <= this->plan.idleTime
            && this->now - connection.openedAt <= this->plan.connectionAge;
    if (!isConnected && node.pathCut != PathCut::None) {
        node.unsent.insert(effect.attempt);
        this->endAttempt(
                instance, effect.attempt, AttemptEndKind::Unreachable,
                node.pathCut == PathCut::Silent
                        ? this->plan.connectTimeout
                        : 2 * this->delayBetween(node.domain, target.record.failureDomain));
        return;
    }
    const bool isLost = this->lostDomains.contains(target.record.failureDomain);
    if (isLost && !isConnected) {
        node.unsent.insert(effect.attempt);
        this->endAttempt(instance, effect.attempt, AttemptEndKind::Unreachable,
                         this->plan.connectTimeout);
        return;
    }
    if (isLost || node.pathCut == PathCut::Silent) {
        return;
    }
    if (target.awayUntil > this->now) {
        node.unsent.insert(effect.attempt);
        this->endAttempt(instance, effect.attempt, AttemptEndKind::Unreachable, milliseconds(1));
        return;
    }
    ++this->attempts;
    this->remoteAttempts += target.record.failureDomain == node.domain ? 0 : 1;
    ++this->runs[{effect.request->requestId, target.record.group.value}];
    this->lastAttemptAt[instance] = this->now;
    const Duration delay = this->delayBetween(node.domain, target.record.failureDomain);
    if (!this->crashingPrefix.empty() && effect.request->path.starts_with(this->crashingPrefix)) {
        this->schedule(this->now + delay, [this, id = effect.target] { this->crash(id); });
        return;
    }
    std::lognormal_distribution<double> spread(0.0, latencySigma);
    std::bernoulli_distribution inTail(tailProbability);
    const double factor = spread(this->random) * target.slowness
            * (inTail(this->random) ? this->plan.tailFactor : 1.0);
    Instant startAt = node.busyUntil + delay;
    if (!isConnected) {
        startAt += this->plan.connectTime + 2 * delay;
        connection.openedAt = startAt;
    }
    Instant endAt = startAt + std::chrono::duration_cast<Duration>(this->plan.workTime * factor);
    connection.usedAt = endAt;
    this->schedule(startAt,
                   [this, instance, id = effect.target] { this->recordArrival(instance, id); });
    if (this->plan.pauseLength > Duration(0)) {
        const Duration inPeriod =
                (endAt.time_since_epoch() + target.pauseOffset) % this->plan.pausePeriod;
        if (inPeriod < this->plan.pauseLength) {
            endAt += this->plan.pauseLength - inPeriod;
        }
    }
    const AttemptId attempt = effect.attempt;
    const std::uint32_t run = node.run;
    const std::uint32_t breaks = node.pathBreaks;
    this->schedule(
            endAt + delay,
            [this, instance, run, breaks, attempt, isNew = !isConnected, id = effect.target] {
                Node &receiver = this->nodes[instance];
                if (receiver.run != run || receiver.pathBreaks != breaks
                    || this->lostDomains.contains(this->targets.at(id).record.failureDomain)
                    || receiver.running.erase(attempt) == 0) {
                    return;
                }
                Target &replying = this->targets.at(id);
                auto reply = std::make_shared<ForwardedReply>();
                reply->kind = ReplyClass::Success;
                reply->status = 200;
                reply->signature = "s";
                reply->requestLimit = replying.limit;
                if (replying.limit) {
                    replying.toldAt.try_emplace(instance, this->now);
                }
                this->apply(instance, AttemptReplied {attempt, std::move(reply), isNew});
            });
}

void GatewayFleet::writeStore(StoreChange change)
{
    change.revision = ++this->storeRevision;
    std::erase_if(this->storeState,
                  [&](const StoreChange &known) { return known.key == change.key; });
    this->storeState.push_back(std::move(change));
}

void GatewayFleet::answerStore(std::size_t instance, const CallStore &effect)
{
    StoreAnswer answer;
    if (this->withoutStore.contains(instance)) {
        answer.status = StoreCallStatus::NoAnswer;
        this->applyAt(this->now + effect.timeout, instance,
                      StoreAnswered {effect.operation, std::move(answer)});
        return;
    }
    answer.status = StoreCallStatus::Done;
    answer.revision = this->storeRevision;
    Duration wait = milliseconds(4);
    if (std::holds_alternative<ReadStore>(effect.call)) {
        answer.changes = this->storeState;
    } else if (const auto *watch = std::get_if<WatchStore>(&effect.call)) {
        std::ranges::copy_if(this->storeState, std::back_inserter(answer.changes),
                             [watch](const StoreChange &change) {
                                 return change.revision > watch->afterRevision;
                             });
        wait = answer.changes.empty() ? watch->wait : wait;
    } else if (std::holds_alternative<GrantLease>(effect.call)) {
        answer.lease = instance + 1;
    } else if (const auto *record = std::get_if<RecordQuarantine>(&effect.call)) {
        this->storeState.push_back(GatewayHarness::quarantineChange(record->quarantine));
    }
    this->applyAt(this->now + wait, instance, StoreAnswered {effect.operation, std::move(answer)});
}

void GatewayFleet::execute(std::size_t instance, const GatewayEffect &effect)
{
    const InstanceId self("n" + std::to_string(instance));
    if (const auto *start = std::get_if<StartAttempt>(&effect)) {
        this->startAttempt(instance, *start);
    } else if (const auto *close = std::get_if<CloseAttempt>(&effect)) {
        this->endAttempt(instance, close->attempt, AttemptEndKind::Closed, {});
    } else if (std::holds_alternative<WithdrawUnsentAttempts>(effect)) {
        for (const AttemptId attempt : std::set(this->nodes[instance].unsent)) {
            this->endAttempt(instance, attempt, AttemptEndKind::Unreachable, {});
        }
    } else if (const auto *probe = std::get_if<ProbePath>(&effect)) {
        this->probe(instance, *probe);
    } else if (const auto *answer = std::get_if<AnswerExchange>(&effect)) {
        const std::uint64_t number = answer->exchange.value;
        this->answers[number] = {answer->reply.status, answer->reply.partsMissing,
                                 this->nodes[instance].busyUntil - this->sentAt.at(number),
                                 answer->reply.retryAfter};
    } else if (const auto *call = std::get_if<CallStore>(&effect)) {
        this->answerStore(instance, *call);
    } else if (const auto *update = std::get_if<SendStoreUpdate>(&effect)) {
        for (const std::string &receiver : update->receivers) {
            this->deliver(instance, receiver, [&](const std::string &sender) {
                return StoreUpdateReceived {sender, *update->update};
            });
        }
    } else if (const auto *request = std::get_if<RequestBudget>(&effect)) {
        this->deliver(instance, request->receiver, [&](const std::string &sender) {
            return BudgetRequested {sender, request->number, request->extras};
        });
    } else if (const auto *loan = std::get_if<LendBudget>(&effect)) {
        this->deliver(instance, loan->receiver, [&](const std::string &) { return loan->loan; });
    } else if (const auto *limits = std::get_if<ReportLimits>(&effect)) {
        for (const std::string &receiver : limits->receivers) {
            this->deliver(instance, receiver,
                          [&](const std::string &) { return LimitsReported {limits->report}; });
        }
    } else if (const auto *crash = std::get_if<ReportCrash>(&effect)) {
        for (const std::string &receiver : crash->receivers) {
            this->deliver(instance, receiver,
                          [&](const std::string &) { return CrashReported {crash->observation}; });
        }
    } else if (const auto *learning = std::get_if<RequestLearnedState>(&effect)) {
        for (const std::string &receiver : learning->receivers) {
            this->deliver(instance, receiver, [&](const std::string &sender) {
                return LearnedStateRequested {sender};
            });
        }
    } else if (const auto *learned = std::get_if<SendLearnedState>(&effect)) {
        this->deliver(instance, learned->receiver, [&](const std::string &sender) {
            return LearnedStateReceived {sender, learned->state};
        });
    } else if (const auto *wish = std::get_if<RequestLimit>(&effect)) {
        this->deliver(instance, wish->receiver, [&](const std::string &sender) {
            return LimitRequested {sender, wish->number, wish->wishes};
        });
    } else if (const auto *lent = std::get_if<LendLimit>(&effect)) {
        this->deliver(instance, lent->receiver, [&](const std::string &) { return lent->loan; });
    } else if (const auto *inquiry = std::get_if<SendInquiry>(&effect)) {
        this->deliver(instance, inquiry->receiver, [&](const std::string &sender) {
            return InquiryReceived {self, sender, inquiry->inquiry};
        });
    } else if (const auto *offer = std::get_if<SendOffer>(&effect)) {
        this->deliver(instance, offer->receiver, [&](const std::string &) {
            return OfferReceived {self, offer->offer};
        });
    } else if (const auto *query = std::get_if<DelegateRequest>(&effect)) {
        this->deliver(instance, query->receiver, [&](const std::string &sender) {
            return RequestDelegated {self, sender, query->query};
        });
    } else if (const auto *cancel = std::get_if<CancelDelegation>(&effect)) {
        this->deliver(instance, cancel->receiver, [&](const std::string &) {
            return DelegationCancelled {self, cancel->number};
        });
    } else if (const auto *receipt = std::get_if<SendReceipt>(&effect)) {
        this->deliver(instance, receipt->receiver, [&](const std::string &) {
            return ReceiptReceived {self, receipt->receipt};
        });
    } else if (const auto *delegated = std::get_if<SendDelegatedAnswer>(&effect)) {
        this->deliver(instance, delegated->receiver, [&](const std::string &) {
            return DelegatedAnswerReceived {self, delegated->answer};
        });
    }
}

std::vector<std::size_t> GatewayFleet::coordinators() const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i].gateway->status(this->now).coordinated > 0) {
            found.push_back(i);
        }
    }
    return found;
}

} // namespace lagoondeck::gatewaytest
