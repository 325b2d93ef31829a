#pragma once

#include "bench/arrival.h"
#include "bench/balancer.h"
#include "bench/load_plan.h"
#include "bench/request_record.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace lagoondeck {

/// Sends a plan's queries at their scheduled times, whether or not earlier ones were answered.
class LoadRunner
{
public:
    LoadRunner(const LoadPlan &plan, const std::vector<Arrival> &arrivals, Balancer &balancer);

    /// Returns one record for each arrival. Writes a progress line to standard error each second.
    std::vector<RequestRecord> run();

private:
    using Clock = std::chrono::steady_clock;

    void work();
    void sendOne(std::size_t index);
    void showProgress() const;

    const LoadPlan &plan;
    const std::vector<Arrival> &arrivals;
    Balancer &balancer;
    Clock::time_point start;
    std::vector<RequestRecord> records;
    std::atomic<std::size_t> next = 0;
    std::atomic<std::size_t> done = 0;
    std::atomic<std::size_t> answered = 0;
    std::atomic<std::size_t> notRun = 0;
};

} // namespace lagoondeck
