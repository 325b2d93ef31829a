#pragma once

#include "logic/fanout/query.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace lagoondeck {

/// The attempts in flight. Each one occupies a connection alone.
class AttemptTable
{
public:
    void add(const Attempt &attempt);
    /// Removes and returns an attempt once its reply has arrived or its connection has closed.
    /// Returns nullopt when the attempt is unknown or is carried by another connection.
    std::optional<Attempt> take(AttemptId id, ConnectionId connection);
    Attempt *find(AttemptId id);
    std::size_t size() const { return this->attempts.size(); }

private:
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<ConnectionId, AttemptId> attemptByConnection;
};

} // namespace lagoondeck
