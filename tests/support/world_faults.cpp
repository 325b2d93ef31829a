#include "tests/support/world_faults.h"

#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration meanBetweenFaults = std::chrono::milliseconds(400);
constexpr Duration shortestFault = std::chrono::milliseconds(300);
constexpr Duration longestFault = std::chrono::seconds(3);
/// A target that leaves is gone after this.
constexpr Duration drainTime = std::chrono::seconds(5);
constexpr std::size_t fewestNodes = 2;

} // namespace

void WorldFaults::start()
{
    this->world.schedule.after(this->world.random.exponential(meanBetweenFaults), [this] {
        if (this->active) {
            this->next();
            this->start();
        }
    });
}

void WorldFaults::healLater(std::function<void()> heal)
{
    this->world.schedule.after(this->world.random.duration(shortestFault, longestFault),
                               std::move(heal));
}

void WorldFaults::next()
{
    switch (this->world.random.number(0, 9)) {
    case 0:
    case 1:
    case 2:
    case 3:
        this->targetFault();
        break;
    case 4:
    case 5:
        this->networkFault();
        break;
    case 6:
    case 7:
        this->platformFault();
        break;
    default:
        this->nodeFault();
        break;
    }
}

void WorldFaults::targetFault()
{
    std::vector<FakeTarget *> targets = this->world.fitTargets();
    FakeTarget &target = *this->world.random.oneOf(targets);
    switch (this->world.random.number(0, 6)) {
    case 0:
        target.slowness = 10.0;
        this->healLater([&target] { target.slowness = 1.0; });
        break;
    case 1:
        target.crash();
        this->healLater([&target] { target.restart(); });
        break;
    case 2:
        target.pauseFor(this->world.random.duration(shortestFault, longestFault));
        break;
    case 3:
        target.shedPart = 0.5;
        this->healLater([&target] { target.shedPart = 0.0; });
        break;
    case 4:
        target.lies = true;
        this->healLater([&target] { target.lies = false; });
        break;
    case 5:
        this->drain(target);
        break;
    default:
        this->world.makeVersion(static_cast<std::uint32_t>(this->world.random.number(4, 6)));
        break;
    }
}

void WorldFaults::drain(FakeTarget &target)
{
    if (target.leaving) {
        return;
    }
    target.leaving = true;
    target.leavingSince = this->world.schedule.now();
    this->world.listChanged();
    this->world.addFitTarget(target.info.shard.value);
    this->world.schedule.after(drainTime, [this, &target] { this->world.removeTarget(target); });
}

void WorldFaults::networkFault()
{
    switch (this->world.random.number(0, 4)) {
    case 0:
        this->world.network.breakSome(0.1);
        break;
    case 3:
        this->world.network.lostPart = 0.1;
        this->healLater([this] { this->world.network.lostPart = 0.0; });
        break;
    case 1:
        this->world.network.forgedPart = 0.1;
        this->healLater([this] { this->world.network.forgedPart = 0.0; });
        break;
    case 2:
        this->world.network.extraDelay = std::chrono::milliseconds(20);
        this->healLater([this] { this->world.network.extraDelay = Duration::zero(); });
        break;
    default:
        this->world.peerMessagesLost = 0.7;
        this->healLater([this] { this->world.peerMessagesLost = 0.0; });
        break;
    }
}

void WorldFaults::platformFault()
{
    switch (this->world.random.number(0, 3)) {
    case 0:
        this->world.storeDown = true;
        this->healLater([this] { this->world.storeDown = false; });
        break;
    case 1:
        this->world.storeRepliesLost = 0.3;
        this->healLater([this] { this->world.storeRepliesLost = 0.0; });
        break;
    case 2:
        this->world.changeCatalogue();
        break;
    default:
        this->world.loadFactor = 4.0;
        this->healLater([this] { this->world.loadFactor = 1.0; });
        break;
    }
}

void WorldFaults::nodeFault()
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
            node.pauseFor(this->world.random.duration(shortestFault, longestFault));
        }
        break;
    }
}

void WorldFaults::replaceNode(bool graceful)
{
    std::vector<FakeNode *> nodes = this->world.servingNodes();
    if (nodes.size() <= fewestNodes) {
        this->world.startNode();
        return;
    }
    FakeNode &node = *this->world.random.oneOf(nodes);
    if (graceful) {
        this->world.stopNode(node);
    } else {
        this->world.crashNode(node);
    }
    this->healLater([this] { this->world.startNode(); });
}

} // namespace lagoondeck
