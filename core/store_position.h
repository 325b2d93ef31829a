#pragma once

#include <compare>
#include <cstdint>

namespace lagoondeck {

/// A point in the sequence of the store's changes. When the store is restored from a copy, a new
/// history begins in which revisions are given out again, so revisions compare only within one
/// history.
struct StorePosition
{
    /// Increases each time that the store is restored from a copy. 0 if it is not known.
    std::uint64_t history = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const StorePosition &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lagoondeck
