#pragma once

#include "tests/support/simulated_cell.h"

#include <cstdint>

namespace lagoondeck {

/// Injects random faults into a simulation. Several can be active at once; most of them are undone
/// after a random time.
class FaultInjector
{
public:
    explicit FaultInjector(SimulatedCell &simulation) : simulation(simulation) { }

    /// Schedules the first fault; each fault schedules the next one.
    void start();
    /// Injects no further faults; active ones are still undone.
    void stop() { this->active = false; }

private:
    void injectFault();
    void injectTargetFault();
    void injectNetworkFault();
    void injectPlatformFault();
    void injectNodeFault();
    void drainTarget(FakeTarget &target);
    void replaceNode(bool graceful);
    /// Calls the function that undoes a fault after a random time.
    void scheduleUndo(std::function<void()> undo);

    SimulatedCell &simulation;
    bool active = true;
};

} // namespace lagoondeck
