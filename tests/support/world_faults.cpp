#include "tests/support/world_faults.h"

#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration meanBetweenFaults = std::chrono::milliseconds(400);
constexpr Duration minFaultDuration = std::chrono::milliseconds(300);
constexpr Duration maxFaultDuration = std::chrono::seconds(3);
/// A leaving target is removed after this time.
constexpr Duration drainTime = std::chrono::seconds(5);
constexpr std::size_t minNodes = 2;

} // namespace

void WorldFaults::start()
{
    this->world.schedule.after(this->world.random.exponential(meanBetweenFaults), [this] {
        if (this->active) {
            this->injectFault();
            this->start();
        }
    });
}

void WorldFaults::scheduleHeal(std::function<void()> heal)
{
    this->world.schedule.after(this->world.random.duration(minFaultDuration, maxFaultDuration),
                               std::move(heal));
}

void WorldFaults::injectFault()
{
    switch (this->world.random.number(0, 9)) {
    case 0:
    case 1:
    case 2:
    case 3:
        this->injectTargetFault();
        break;
    case 4:
    case 5:
        this->injectNetworkFault();
        break;
    case 6:
    case 7:
        this->injectPlatformFault();
        break;
    default:
        this->injectNodeFault();
        break;
    }
}

void WorldFaults::injectTargetFault()
{
    std::vector<FakeTarget *> targets = this->world.fitTargets();
    FakeTarget &target = *this->world.random.oneOf(targets);
    switch (this->world.random.number(0, 6)) {
    case 0:
        target.slowdown = 10.0;
        this->scheduleHeal([&target] { target.slowdown = 1.0; });
        break;
    case 1:
        target.crash();
        this->scheduleHeal([&target] { target.restart(); });
        break;
    case 2:
        target.pauseFor(this->world.random.duration(minFaultDuration, maxFaultDuration));
        break;
    case 3:
        target.shedProbability = 0.5;
        this->scheduleHeal([&target] { target.shedProbability = 0.0; });
        break;
    case 4:
        target.misreportsLoad = true;
        this->scheduleHeal([&target] { target.misreportsLoad = false; });
        break;
    case 5:
        this->drainTarget(target);
        break;
    default:
        this->world.publishVersion(static_cast<std::uint32_t>(this->world.random.number(4, 6)));
        break;
    }
}

void WorldFaults::drainTarget(FakeTarget &target)
{
    if (target.leaving) {
        return;
    }
    target.leaving = true;
    target.leavingSince = this->world.schedule.now();
    this->world.scheduleListUpdate();
    this->world.addFitTarget(target.info.shard.value);
    this->world.schedule.after(drainTime, [this, &target] { this->world.removeTarget(target); });
}

void WorldFaults::injectNetworkFault()
{
    switch (this->world.random.number(0, 4)) {
    case 0:
        this->world.network.breakConnections(0.1);
        break;
    case 3:
        this->world.network.replyLossProbability = 0.1;
        this->scheduleHeal([this] { this->world.network.replyLossProbability = 0.0; });
        break;
    case 1:
        this->world.network.corruptReplyProbability = 0.1;
        this->scheduleHeal([this] { this->world.network.corruptReplyProbability = 0.0; });
        break;
    case 2:
        this->world.network.extraDelay = std::chrono::milliseconds(20);
        this->scheduleHeal([this] { this->world.network.extraDelay = Duration::zero(); });
        break;
    default:
        this->world.peerLossProbability = 0.7;
        this->scheduleHeal([this] { this->world.peerLossProbability = 0.0; });
        break;
    }
}

void WorldFaults::injectPlatformFault()
{
    switch (this->world.random.number(0, 3)) {
    case 0:
        this->world.storeDown = true;
        this->scheduleHeal([this] { this->world.storeDown = false; });
        break;
    case 1:
        this->world.storeReplyLossProbability = 0.3;
        this->scheduleHeal([this] { this->world.storeReplyLossProbability = 0.0; });
        break;
    case 2:
        this->world.changeCatalogue();
        break;
    default:
        this->world.loadFactor = 4.0;
        this->scheduleHeal([this] { this->world.loadFactor = 1.0; });
        break;
    }
}

void WorldFaults::injectNodeFault()
{
    std::vector<FakeNode *> nodes = this->world.servingNodes();
    switch (this->world.random.number(0, 3)) {
    case 0:
        this->replaceNode(true);
        break;
    case 1:
        this->replaceNode(false);
        break;
    default:
        if (!nodes.empty()) {
            FakeNode &node = *this->world.random.oneOf(nodes);
            node.pauseFor(this->world.random.duration(minFaultDuration, maxFaultDuration));
        }
        break;
    }
}

void WorldFaults::replaceNode(bool graceful)
{
    std::vector<FakeNode *> nodes = this->world.servingNodes();
    if (nodes.size() <= minNodes) {
        this->world.startNode();
        return;
    }
    FakeNode &node = *this->world.random.oneOf(nodes);
    if (graceful) {
        this->world.stopNode(node);
    } else {
        this->world.crashNode(node);
    }
    this->scheduleHeal([this] { this->world.startNode(); });
}

} // namespace lagoondeck
