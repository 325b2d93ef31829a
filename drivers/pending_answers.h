#pragma once

#include "core/answer.h"
#include "core/ids.h"

#include <atomic>
#include <cstdint>
#include <future>
#include <mutex>
#include <unordered_map>

namespace lagoondeck {

/// Passes each answer to the thread that waits for it. May be used from any thread.
class PendingAnswers
{
public:
    struct Ticket
    {
        QueryId query;
        std::future<Answer> answer;
    };

    Ticket open();
    void fulfil(QueryId query, Answer answer);
    /// Returns the number of queries that wait for an answer.
    std::size_t waitingCount() const;

private:
    std::atomic<std::uint64_t> lastQuery {0};
    mutable std::mutex mutex;
    std::unordered_map<QueryId, std::promise<Answer>> promises;
};

} // namespace lagoondeck
