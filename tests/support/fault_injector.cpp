#include "tests/support/fault_injector.h"

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

void FaultInjector::start()
{
    this->simulation.schedule.after(this->simulation.random.exponential(meanBetweenFaults), [this] {
        if (this->active) {
            this->injectFault();
            this->start();
        }
    });
}

void FaultInjector::scheduleUndo(std::function<void()> undo)
{
    this->simulation.schedule.after(
            this->simulation.random.duration(minFaultDuration, maxFaultDuration), std::move(undo));
}

void FaultInjector::injectFault()
{
    switch (this->simulation.random.number(0, 9)) {
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

void FaultInjector::injectTargetFault()
{
    std::vector<FakeTarget *> targets = this->simulation.fitTargets();
    FakeTarget &target = *this->simulation.random.oneOf(targets);
    switch (this->simulation.random.number(0, 6)) {
    case 0:
        target.slowdown = 10.0;
        this->scheduleUndo([&target] { target.slowdown = 1.0; });
        break;
    case 1:
        target.crash();
        this->scheduleUndo([&target] { target.restart(); });
        break;
    case 2:
        target.pauseFor(this->simulation.random.duration(minFaultDuration, maxFaultDuration));
        break;
    case 3:
        target.shedProbability = 0.5;
        this->scheduleUndo([&target] { target.shedProbability = 0.0; });
        break;
    case 4:
        target.misreportsLoad = true;
        this->scheduleUndo([&target] { target.misreportsLoad = false; });
        break;
    case 5:
        this->drainTarget(target);
        break;
    default:
        this->simulation.publishVersion(
                static_cast<std::uint32_t>(this->simulation.random.number(4, 6)));
        break;
    }
}

void FaultInjector::drainTarget(FakeTarget &target)
{
    if (target.leaving) {
        return;
    }
    target.leaving = true;
    target.leavingSince = this->simulation.schedule.now();
    this->simulation.scheduleListUpdate();
    this->simulation.addFitTarget(target.info.shard.value);
    this->simulation.schedule.after(drainTime,
                                    [this, &target] { this->simulation.removeTarget(target); });
}

void FaultInjector::injectNetworkFault()
{
    switch (this->simulation.random.number(0, 4)) {
    case 0:
        this->simulation.network.breakConnections(0.1);
        break;
    case 3:
        this->simulation.network.replyLossProbability = 0.1;
        this->scheduleUndo([this] { this->simulation.network.replyLossProbability = 0.0; });
        break;
    case 1:
        this->simulation.network.corruptReplyProbability = 0.1;
        this->scheduleUndo([this] { this->simulation.network.corruptReplyProbability = 0.0; });
        break;
    case 2:
        this->simulation.network.extraDelay = std::chrono::milliseconds(20);
        this->scheduleUndo([this] { this->simulation.network.extraDelay = Duration::zero(); });
        break;
    default:
        this->simulation.peerLossProbability = 0.7;
        this->scheduleUndo([this] { this->simulation.peerLossProbability = 0.0; });
        break;
    }
}

void FaultInjector::injectPlatformFault()
{
    switch (this->simulation.random.number(0, 3)) {
    case 0:
        this->simulation.storeDown = true;
        this->scheduleUndo([this] { this->simulation.storeDown = false; });
        break;
    case 1:
        this->simulation.storeReplyLossProbability = 0.3;
        this->scheduleUndo([this] { this->simulation.storeReplyLossProbability = 0.0; });
        break;
    case 2:
        this->simulation.changeCatalogue();
        break;
    default:
        this->simulation.loadFactor = 4.0;
        this->scheduleUndo([this] { this->simulation.loadFactor = 1.0; });
        break;
    }
}

void FaultInjector::injectNodeFault()
{
    std::vector<FakeNode *> nodes = this->simulation.servingNodes();
    switch (this->simulation.random.number(0, 3)) {
    case 0:
        this->replaceNode(true);
        break;
    case 1:
        this->replaceNode(false);
        break;
    default:
        if (!nodes.empty()) {
            FakeNode &node = *this->simulation.random.oneOf(nodes);
            node.pauseFor(this->simulation.random.duration(minFaultDuration, maxFaultDuration));
        }
        break;
    }
}

void FaultInjector::replaceNode(bool graceful)
{
    std::vector<FakeNode *> nodes = this->simulation.servingNodes();
    if (nodes.size() <= minNodes) {
        this->simulation.startNode();
        return;
    }
    FakeNode &node = *this->simulation.random.oneOf(nodes);
    if (graceful) {
        this->simulation.stopNode(node);
    } else {
        this->simulation.crashNode(node);
    }
    this->scheduleUndo([this] { this->simulation.startNode(); });
}

} // namespace lagoondeck
