#pragma once

#include "core/time.h"
#include "logic/effects.h"

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace lagoondeck {

/// The reducer's random number generator. It is part of the reducer's state, so that a run can be
/// replayed from its seed.
using RandomEngine = std::mt19937_64;

/// Generates the ids of attempts, connections and store operations.
struct IdSource
{
    std::uint64_t last = 0;

    template <typename Id>
    Id next()
    {
        return Id {++this->last};
    }
};

/// The current time, the collected effects and the generators that the reducer's components use
/// while they apply one event.
struct Context
{
    Instant now {};
    WallTime wall {};
    std::vector<Effect> &effects;
    RandomEngine &random;
    IdSource &ids;

    template <typename AnyEffect>
    void emit(AnyEffect effect)
    {
        this->effects.emplace_back(std::move(effect));
    }

    void log(LogEvent event, std::vector<LogField> fields)
    {
        this->emit(WriteLog {event, std::move(fields)});
    }
};

} // namespace lagoondeck
