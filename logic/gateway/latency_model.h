#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace lagoondeck {

/// How long the sub-requests of one route took lately.
class LatencyModel
{
public:
    /// Until enough is known, the objective stands for it.
    explicit LatencyModel(Duration objective);

    void add(Duration latency);

    Duration median() const { return this->p50; }
    Duration late() const { return this->p90; }
    Duration veryLate() const { return this->p97; }
    bool learned() const { return this->count >= refreshEvery; }

private:
    static constexpr std::size_t kept = 256;
    static constexpr std::size_t refreshEvery = 16;

    void refresh();

    std::array<Duration, kept> samples {};
    std::size_t count = 0;
    Duration p50;
    Duration p90;
    Duration p97;
};

} // namespace lagoondeck
