#pragma once

#include "tests/support/fake_world.h"

#include <cstdint>

namespace lagoondeck {

/// Makes faults happen in a fake world at random, several at once, and heals each after a while.
class WorldFaults
{
public:
    explicit WorldFaults(FakeWorld &world) : world(world) { }

    /// Begins with the next fault; each one is followed by another.
    void start();
    /// No new faults.
    void stop() { this->active = false; }

private:
    void next();
    void targetFault();
    void networkFault();
    void platformFault();
    void nodeFault();
    void drain(FakeTarget &target);
    void replaceNode(bool graceful);
    /// Undoes a fault after a while.
    void healLater(std::function<void()> heal);

    FakeWorld &world;
    bool active = true;
};

} // namespace lagoondeck
