#pragma once

#include "logic/fanout/query.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace lagoondeck {

/// The attempts that are out, each on a connection of its own.
class AttemptTable
{
public:
    void add(const Attempt &attempt);
    /// Takes an attempt out when its connection is settled; empty when it is unknown or the
    /// connection is not the one that carries it.
    std::optional<Attempt> take(AttemptId id, ConnectionId connection);
    Attempt *find(AttemptId id);
    std::size_t size() const { return this->attempts.size(); }

private:
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<ConnectionId, AttemptId> carriers;
};

} // namespace lagoondeck
