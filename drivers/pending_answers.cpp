#include "drivers/pending_answers.h"

#include <utility>

namespace lagoondeck {

PendingAnswers::Ticket PendingAnswers::open()
{
    const QueryId query(++this->lastQuery);
    const std::lock_guard lock(this->mutex);
    return {query, this->promises[query].get_future()};
}

void PendingAnswers::fulfil(QueryId query, Answer answer)
{
    std::promise<Answer> promise;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->promises.find(query);
        if (found == this->promises.end()) {
            return;
        }
        promise = std::move(found->second);
        this->promises.erase(found);
    }
    promise.set_value(std::move(answer));
}

std::size_t PendingAnswers::waitingCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->promises.size();
}

} // namespace lagoondeck
