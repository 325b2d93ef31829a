#pragma once

#include "core/answer.h"
#include "core/ids.h"

#include <atomic>
#include <cstdint>
#include <future>
#include <mutex>
#include <unordered_map>

namespace lagoondeck {

/// Hands each answer to the thread that waits for it. May be used by any thread.
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
    /// Callers that wait for an answer.
    std::size_t waiting() const;

private:
    std::atomic<std::uint64_t> lastQuery {0};
    mutable std::mutex mutex;
    std::unordered_map<QueryId, std::promise<Answer>> promises;
};

} // namespace lagoondeck
