#pragma once

#include "core/time.h"
#include "logic/effects.h"

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace lagoondeck {

/// The reducer's random numbers; a part of its state, so that a seed replays a run.
using RandomEngine = std::mt19937_64;

/// Gives each attempt, connection and store operation its number.
struct IdSource
{
    std::uint64_t last = 0;

    template <typename Id>
    Id next()
    {
        return Id {++this->last};
    }
};

/// What a part of the reducer works with while one event is applied.
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
