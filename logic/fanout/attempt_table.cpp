#include "logic/fanout/attempt_table.h"

#include "logic/invariant.h"

namespace lagoondeck {

void AttemptTable::add(const Attempt &attempt)
{
    const bool inserted =
            this->attemptByConnection.emplace(attempt.reservation.connection, attempt.id).second;
    ensure(inserted, Invariant::ConnectionCarriesOneAttempt,
           [&] { return std::to_string(attempt.reservation.connection.value); });
    this->attempts.emplace(attempt.id, attempt);
}

std::optional<Attempt> AttemptTable::take(AttemptId id, ConnectionId connection)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end() || found->second.reservation.connection != connection) {
        return std::nullopt;
    }
    std::optional<Attempt> attempt(std::move(found->second));
    this->attempts.erase(found);
    this->attemptByConnection.erase(connection);
    return attempt;
}

Attempt *AttemptTable::find(AttemptId id)
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() ? nullptr : &found->second;
}

} // namespace lagoondeck
