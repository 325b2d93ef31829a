#include "tests/support/simulated_cell.h"

#include "proto/peer.pb.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr std::uint32_t initialNodes = 3;
constexpr std::uint32_t maxShards = 6;
constexpr std::uint32_t initialShards = 5;
constexpr std::uint32_t replicas = 3;
constexpr std::uint32_t certShards = 4;
constexpr Duration meanBetweenRequests = std::chrono::milliseconds(6);
constexpr Duration pollInterval = std::chrono::milliseconds(500);
constexpr Duration maxListLag = std::chrono::seconds(2);
constexpr Duration storeDelay = std::chrono::milliseconds(3);
constexpr Duration watchInterval = std::chrono::milliseconds(20);
constexpr Duration peerDelay = std::chrono::milliseconds(2);
/// A leaving target may still get sub-requests for this long.
constexpr Duration leavingGrace = std::chrono::seconds(3);
constexpr Duration settleTime = std::chrono::seconds(8);
constexpr Duration stopTime = std::chrono::seconds(25);

CatalogueEntry makeEntry(const char *name, const char *service, double minimumCoverage,
                         std::uint32_t priority)
{
    CatalogueEntry entry;
    entry.name = EntryName(name);
    entry.owner = "office";
    entry.trafficClass = name;
    entry.service = ServiceName(service);
    entry.minimumCoverage = minimumCoverage;
    entry.priority = priority;
    entry.ratePerSecond = 2000.0;
    entry.concurrency = 500;
    return entry;
}

} // namespace

SimulatedCell::SimulatedCell(std::uint64_t seed)
    : random(seed),
      network(this->schedule, this->random, this->record,
              [this](std::uint64_t node, EventBody body) { this->deliver(node, std::move(body)); })
{
    this->entries = {makeEntry("fit-check", "fit", 1.0, 1), makeEntry("patterns", "fit", 0.5, 5),
                     makeEntry("booking", "fit", 1.0, 0), makeEntry("cert", "cert", 0.7, 3)};
    this->entries[1].merge = MergeKind::TopK;
    this->entries[1].topK = 3;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        this->changeCatalogue();
    }
    this->record.addVersion(SnapshotVersion(1), certShards);
    for (std::uint32_t shard = 0; shard < certShards; ++shard) {
        TargetInstance info;
        info.id = TargetId("cert-" + std::to_string(shard));
        info.service = ServiceName("cert");
        info.shard = ShardId(shard);
        info.slots = 4;
        info.connectionCap = 40;
        this->network.addTarget(info).versions[SnapshotVersion(1)] = certShards;
    }
    this->version = SnapshotVersion(10);
    this->shardCount = initialShards;
    this->record.addVersion(this->version, this->shardCount);
    for (std::uint32_t i = 0; i < maxShards * replicas; ++i) {
        this->addFitTarget(i % maxShards);
    }
    this->visibleList = this->currentList();
    for (std::uint32_t i = 0; i < initialNodes; ++i) {
        this->startNode();
    }
    this->visibleList = this->currentList();
    this->schedule.after(std::chrono::seconds(2), [this] { this->scheduleRequest(); });
}

SimulatedCell::~SimulatedCell() = default;

FakeNode &SimulatedCell::startNode()
{
    const std::uint64_t number = this->nodes.size();
    Settings settings;
    settings.id = InstanceId("entry-" + std::to_string(number));
    settings.failureDomain = FailureDomain("domain-" + std::to_string(number % 3));
    settings.peerAddress = "peer-" + std::to_string(number);
    settings.httpAddress = "http-" + std::to_string(number);
    settings.seed = this->random.number(1, 1U << 30);
    settings.expectedInstances = initialNodes + 1;
    this->nodes.push_back(std::make_unique<FakeNode>(
            number, settings, this->schedule,
            [this](FakeNode &node, const Effect &effect) { this->executeEffect(node, effect); }));
    FakeNode &node = *this->nodes.back();
    node.deliver(ProcessStarted {});
    this->pollInstances(number);
    this->scheduleListUpdate();
    return node;
}

void SimulatedCell::crashNode(FakeNode &node)
{
    node.alive = false;
    this->record.recordCrash(node.number);
    this->network.removeNode(node.number);
    this->scheduleListUpdate();
}

void SimulatedCell::stopNode(FakeNode &node)
{
    node.stopping = true;
    node.deliver(StopRequested {});
    this->scheduleListUpdate();
}

std::vector<FakeNode *> SimulatedCell::servingNodes() const
{
    std::vector<FakeNode *> found;
    for (const auto &node : this->nodes) {
        if (node->alive && !node->stopping) {
            found.push_back(node.get());
        }
    }
    return found;
}

FakeTarget &SimulatedCell::addFitTarget(std::uint32_t shard)
{
    TargetInstance info;
    info.id = TargetId("fit-" + std::to_string(shard) + "-" + std::to_string(++this->lastTarget));
    info.service = ServiceName("fit");
    info.shard = ShardId(shard);
    info.slots = 3;
    info.connectionCap = 24;
    FakeTarget &target = this->network.addTarget(info);
    this->adoptVersion(target);
    this->scheduleListUpdate();
    return target;
}

std::vector<FakeTarget *> SimulatedCell::fitTargets() const
{
    std::vector<FakeTarget *> found;
    for (const auto &target : this->network.targets()) {
        if (target->info.service == ServiceName("fit")
            && !this->removedTargets.contains(target->info.id)) {
            found.push_back(target.get());
        }
    }
    return found;
}

void SimulatedCell::removeTarget(FakeTarget &target)
{
    this->removedTargets[target.info.id] = true;
    target.crash();
    this->scheduleListUpdate();
}

void SimulatedCell::adoptVersion(FakeTarget &target)
{
    if (target.info.shard.value < this->shardCount) {
        target.versions[this->version] = this->shardCount;
    }
}

void SimulatedCell::publishVersion(std::uint32_t shards)
{
    const SnapshotVersion old = this->version;
    ++this->version.value;
    this->shardCount = std::clamp(shards, 1U, maxShards);
    this->record.addVersion(this->version, this->shardCount);
    // Either each target serves both versions for some time or it replaces the old one at once.
    const Duration overlap =
            this->random.chance(0.5) ? std::chrono::milliseconds(900) : Duration::zero();
    for (FakeTarget *target : this->fitTargets()) {
        const Duration adoption = this->random.duration(Duration::zero(), std::chrono::seconds(1));
        this->schedule.after(adoption, [this, target] { this->adoptVersion(*target); });
        this->schedule.after(adoption + overlap, [target, old] { target->versions.erase(old); });
    }
}

void SimulatedCell::changeCatalogue()
{
    CatalogueEntry &entry = this->entries[this->lastRevision % this->entries.size()];
    if (this->lastRevision >= this->entries.size()) {
        entry.deadline = this->random.duration(std::chrono::milliseconds(100),
                                               std::chrono::milliseconds(200));
    }
    CatalogueChange change;
    change.revision = Revision(++this->lastRevision);
    change.changeId = "change-" + std::to_string(this->lastRevision);
    change.author = "operator";
    change.name = entry.name;
    change.entry = entry;
    this->store.putChange(change);
}

void SimulatedCell::scheduleListUpdate()
{
    this->schedule.after(this->random.duration(Duration::zero(), maxListLag),
                         [this] { this->visibleList = this->currentList(); });
}

InstanceList SimulatedCell::currentList() const
{
    InstanceList list;
    for (const auto &target : this->network.targets()) {
        if (!this->removedTargets.contains(target->info.id)) {
            list.targets.push_back(target->info);
            list.targets.back().state =
                    target->leaving ? InstanceState::Leaving : InstanceState::Live;
        }
    }
    for (const auto &node : this->nodes) {
        if (node->alive && !node->stopped) {
            const Settings &settings = node->settings;
            list.entries.push_back({settings.id, settings.peerAddress, settings.httpAddress,
                                    settings.failureDomain,
                                    node->stopping ? InstanceState::Leaving : InstanceState::Live});
        }
    }
    return list;
}

void SimulatedCell::pollInstances(std::uint64_t number)
{
    FakeNode &node = *this->nodes[number];
    if (!node.alive || node.stopped) {
        return;
    }
    node.deliver(InstancesListed {this->visibleList});
    this->schedule.after(pollInterval, [this, number] { this->pollInstances(number); });
}

void SimulatedCell::deliver(std::uint64_t node, EventBody body)
{
    this->nodes[node]->deliver(std::move(body));
}

void SimulatedCell::executeEffect(FakeNode &node, const Effect &effect)
{
    const std::uint64_t number = node.number;
    if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
        this->checkTargetNotLeaving(node, *send);
        this->network.send(number, *send);
    } else if (const auto *cancel = std::get_if<CancelSubRequest>(&effect)) {
        this->network.cancel(number, *cancel);
    } else if (const auto *open = std::get_if<OpenConnection>(&effect)) {
        this->network.open(number, *open);
    } else if (const auto *probe = std::get_if<ProbeTarget>(&effect)) {
        this->network.probe(number, *probe);
    } else if (const auto *close = std::get_if<CloseConnection>(&effect)) {
        this->network.close(number, *close);
    } else if (const auto *answer = std::get_if<AnswerCaller>(&effect)) {
        const bool wasPaused = node.wasPausedSince(this->schedule.now() - std::chrono::seconds(10));
        this->record.recordAnswer(number, *answer, this->schedule.now(), wasPaused);
    } else if (const auto *peer = std::get_if<SendPeerMessage>(&effect)) {
        this->sendPeerMessage(*peer);
    } else if (const auto *operation = std::get_if<StoreOperation>(&effect)) {
        this->executeStoreOperation(node, *operation);
    } else if (const auto *end = std::get_if<StoreWatchEnd>(&effect)) {
        node.watches.erase(end->operation);
    } else if (const auto *timer = std::get_if<SetTimer>(&effect)) {
        node.setTimer(*timer);
    } else if (const auto *log = std::get_if<WriteLog>(&effect)) {
        this->record.counts.restarts += log->event == LogEvent::QueryRestarted ? 1 : 0;
    } else if (std::holds_alternative<StopCompleted>(effect)) {
        node.stopped = true;
        this->network.removeNode(number);
        this->scheduleListUpdate();
    }
}

void SimulatedCell::checkTargetNotLeaving(const FakeNode &node, const SendSubRequest &send)
{
    const FakeTarget *target = this->network.find(send.target);
    const Instant bound = this->schedule.now() - leavingGrace;
    // An instance that was paused learns that the target is leaving only after it resumes.
    if (target != nullptr && target->leaving && target->leavingSince < bound
        && !node.wasPausedSince(bound)) {
        this->record.addViolation("sub-request to a leaving target: " + send.target.value);
    }
}

void SimulatedCell::sendPeerMessage(const SendPeerMessage &effect)
{
    if (this->random.chance(this->peerLossProbability)) {
        return;
    }
    const Duration delay = this->random.duration(peerDelay / 4, peerDelay);
    this->schedule.after(delay, [this, effect] {
        for (const auto &node : this->nodes) {
            if (node->settings.peerAddress == effect.address) {
                node->deliver(PeerMessageReceived {effect.message});
            }
        }
    });
}

void SimulatedCell::executeStoreOperation(FakeNode &node, const StoreOperation &effect)
{
    const std::uint64_t number = node.number;
    if (const auto *watch = std::get_if<StoreWatch>(&effect.request)) {
        node.watches[effect.operation] = *watch;
        this->pollWatch(node, effect.operation, watch->fromRevision);
        return;
    }
    StoreReplied reply;
    Duration delay = this->random.duration(storeDelay / 3, storeDelay);
    if (this->storeDown) {
        delay = this->random.chance(0.5) ? delay : effect.timeout;
    } else {
        reply = this->store.execute(effect.request);
    }
    if (!this->storeDown && this->random.chance(this->storeReplyLossProbability)) {
        reply = {};
        reply.status = StoreStatus::ReplyLost;
        delay = effect.timeout;
    }
    reply.operation = effect.operation;
    this->schedule.after(delay, [this, number, reply] { this->deliver(number, reply); });
}

void SimulatedCell::pollWatch(FakeNode &node, StoreOpId operation, std::uint64_t from)
{
    this->schedule.after(watchInterval, [this, &node, operation, from] {
        const auto found = node.watches.find(operation);
        if (found == node.watches.end() || !node.alive || node.stopped) {
            return;
        }
        StoreReplied reply;
        if (!this->storeDown) {
            reply = this->store.changesSince(found->second.key, found->second.rangeEnd, from);
        }
        reply.operation = operation;
        if (this->storeDown) {
            reply.status = StoreStatus::ReplyLost;
            node.watches.erase(found);
            node.deliver(reply);
            return;
        }
        if (!reply.values.empty() || !reply.deletedKeys.empty()) {
            node.deliver(reply);
        }
        this->pollWatch(node, operation, reply.storeRevision + 1);
    });
}

CallerRequest SimulatedCell::newRequest()
{
    const CatalogueEntry &entry = this->random.oneOf(this->entries);
    CallerRequest request;
    request.entry = entry.name;
    request.caller = CallerName("caller-" + std::to_string(this->random.number(0, 4)));
    request.requestId = RequestId("r" + std::to_string(++this->lastRequest));
    request.timeLimit =
            this->random.duration(std::chrono::milliseconds(20), std::chrono::milliseconds(150));
    request.idempotent = entry.name != EntryName("booking");
    if (!request.idempotent || this->random.chance(0.1)) {
        request.shard = ShardId(static_cast<std::uint32_t>(this->random.number(0, maxShards - 1)));
    }
    if (this->random.chance(0.1)) {
        request.minimumCoverage = 0.4;
    }
    const Instant now = this->schedule.now();
    request.issuedAt = WallTime(std::chrono::seconds(1796371200)) + now.time_since_epoch();
    // Each request has a different body. With equal bodies, quarantine would treat all requests
    // as one.
    request.body = std::make_shared<const std::string>(
            "{\"lot\":" + std::to_string(this->lastRequest) + "}");
    return request;
}

void SimulatedCell::scheduleRequest()
{
    if (!this->isSendingRequests) {
        return;
    }
    std::vector<FakeNode *> serving = this->servingNodes();
    if (!serving.empty()) {
        const CallerRequest request = this->newRequest();
        const auto resends = static_cast<std::uint32_t>(this->random.number(0, 2));
        this->sendRequest(*this->random.oneOf(serving), request,
                          request.idempotent || !this->resendsAtMostOnceRequests ? 0 : resends);
    }
    const auto mean = Duration(static_cast<Duration::rep>(
            static_cast<double>(meanBetweenRequests.count()) / this->loadFactor));
    this->schedule.after(this->random.exponential(mean), [this] { this->scheduleRequest(); });
}

void SimulatedCell::sendRequest(FakeNode &node, CallerRequest request, std::uint32_t resends)
{
    request.query = QueryId(++node.lastQuery);
    this->record.recordRequest(node.number, request, this->schedule.now());
    if (this->random.chance(0.02) && request.idempotent) {
        const QueryId query = request.query;
        this->schedule.after(this->random.duration(Duration::zero(), std::chrono::milliseconds(20)),
                             [&node, query] { node.deliver(CallerGone {query}); });
    }
    node.deliver(request);
    if (resends == 0) {
        return;
    }
    // The caller repeats the request, possibly through another instance and before the first
    // answer.
    const Duration wait = this->random.duration(Duration::zero(), std::chrono::milliseconds(500));
    this->schedule.after(wait, [this, request, resends] {
        std::vector<FakeNode *> serving = this->servingNodes();
        if (this->isSendingRequests && !serving.empty()) {
            this->sendRequest(*this->random.oneOf(serving), request, resends - 1);
        }
    });
}

void SimulatedCell::runFor(Duration duration)
{
    this->schedule.runUntil(this->schedule.now() + duration);
    this->collectNodeViolations();
}

void SimulatedCell::collectNodeViolations()
{
    for (const auto &node : this->nodes) {
        if (!node->violation.empty()) {
            this->record.addViolation(node->settings.id.value + ": " + node->violation);
            node->violation.clear();
        }
    }
}

void SimulatedCell::finish()
{
    this->isSendingRequests = false;
    this->runFor(settleTime);
    for (FakeNode *node : this->servingNodes()) {
        if (node->status().catalogueRevision != Revision(this->lastRevision)) {
            this->record.addViolation("catalogue change not in force: " + node->settings.id.value);
        }
        this->stopNode(*node);
    }
    this->runFor(stopTime);
    for (const auto &node : this->nodes) {
        this->record.counts.events += node->eventsApplied;
        if (node->alive && !node->stopped) {
            this->record.addViolation("stop not completed: " + node->settings.id.value);
        }
    }
    this->record.checkAtEnd();
}

} // namespace lagoondeck
