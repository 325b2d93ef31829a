#pragma once

#include "logic/workload/group_queue.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck::workloadtest {

using std::chrono::milliseconds;

/// The queue that the gateway had before: the oldest part first, and nothing is given up before its
/// time has passed.
class FirstInFirstOut
{
public:
    void add(const WaitingPart &part, const WaitingSender &, Instant, Instant)
    {
        this->parts.push_back(part);
    }
    std::optional<WaitingPart> take(Instant)
    {
        if (this->parts.empty()) {
            return std::nullopt;
        }
        const WaitingPart part = this->parts.front();
        this->parts.pop_front();
        return part;
    }
    void remove(const WaitingPart &part, Instant) { std::erase(this->parts, part); }
    void onCompleted(Instant) { }
    std::optional<WaitingPart> takeLate(Instant) { return std::nullopt; }
    std::optional<LatePart> outlook(const WaitingSender &, Instant, Instant)
    {
        return std::nullopt;
    }
    void countRefused(const WaitingSender &) { }
    Duration retryDelay(Instant, RandomEngine &) { return milliseconds(20); }
    std::size_t size() const { return this->parts.size(); }

private:
    std::deque<WaitingPart> parts;
};

/// The queue of the product.
class Fair
{
public:
    void add(const WaitingPart &part, const WaitingSender &sender, Instant startBy, Instant now)
    {
        this->queue.add(part, sender, startBy, now);
    }
    std::optional<WaitingPart> take(Instant now)
    {
        const FairQueue::Entry *entry = this->queue.next();
        if (entry == nullptr) {
            return std::nullopt;
        }
        const WaitingPart part = entry->part;
        this->queue.takeNext(now);
        return part;
    }
    void remove(const WaitingPart &part, Instant now) { this->queue.remove(part, now); }
    void onCompleted(Instant now) { this->queue.onCompleted(1, now); }
    std::optional<WaitingPart> takeLate(Instant now)
    {
        const auto late = this->queue.takeLate(now);
        return late ? std::optional(late->part) : std::nullopt;
    }
    std::optional<LatePart> outlook(const WaitingSender &sender, Instant startBy, Instant now)
    {
        return this->queue.outlook(sender, startBy, now);
    }
    void countRefused(const WaitingSender &sender) { this->queue.countRefused(sender); }
    Duration retryDelay(Instant now, RandomEngine &random)
    {
        return this->queue.retryDelay(now, random);
    }
    std::size_t size() const { return this->queue.queue().size(); }

private:
    GroupQueue queue;
};

/// A caller that sends requests at random times, at a rate that may change.
struct SimulatedCaller
{
    WaitingSender sender;
    /// The requests per second at a time since the start.
    std::function<double(Duration)> rate;
    /// How often a request that is refused is sent again.
    int repeats = 0;
    /// Whether it is sent again at once, or as late as the refusal asks for.
    bool repeatsAtOnce = false;
};

/// What became of the requests of one caller in one interval.
struct SimulatedResult
{
    /// The requests without the repetitions.
    std::size_t sent = 0;
    std::size_t served = 0;

    double share() const
    {
        return this->sent == 0
                ? 1.0
                : static_cast<double>(this->served) / static_cast<double>(this->sent);
    }
};

/// Simulates callers and the targets of one group on a simulated clock.
template <typename Queue>
class QueueSimulation
{
public:
    struct Options
    {
        /// How many requests run at once at a time since the start.
        std::function<std::size_t(Duration)> slots = [](Duration) { return std::size_t {10}; };
        Duration serviceTime = milliseconds(50);
        /// For how long a request waits in the queue at most.
        Duration maxWait = milliseconds(100);
        std::uint64_t seed = 20261206;
    };

    QueueSimulation(std::vector<SimulatedCaller> callers, Options options)
        : callers(std::move(callers)), options(std::move(options)), random(this->options.seed)
    {
        for (std::size_t i = 0; i < this->callers.size(); ++i) {
            this->scheduleNext(i);
        }
    }

    void run(Duration until)
    {
        while (!this->events.empty() && this->events.top().at - this->start <= until) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event);
        }
        this->now = this->start + until;
    }

    /// Returns the results of the matching callers for requests that were first sent in the given
    /// interval.
    SimulatedResult result(const std::function<bool(const SimulatedCaller &)> &matches,
                           Duration from, Duration to) const
    {
        SimulatedResult result;
        for (const auto &[id, request] : this->requests) {
            const Duration sentAt = request.sentAt - this->start;
            if (sentAt >= from && sentAt < to && matches(this->callers[request.caller])) {
                ++result.sent;
                result.served += request.served ? 1 : 0;
            }
        }
        return result;
    }

    std::size_t waiting() const { return this->queue.size(); }
    /// The number of refusals that came before the time in the queue had passed.
    std::size_t refusedAtOnce() const { return this->earlyRefusals; }

private:
    enum class EventKind { Arrival, Repeat, Expiry, Completion };
    struct Event
    {
        Instant at {};
        std::uint64_t order = 0;
        EventKind kind = EventKind::Arrival;
        /// The number of the caller or request.
        std::uint64_t id = 0;
        /// The number of times that the request was sent, at an expiry.
        int sendings = 0;

        bool operator>(const Event &other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };
    struct Request
    {
        std::size_t caller = 0;
        Instant sentAt {};
        int sendings = 0;
        bool waiting = false;
        bool served = false;
    };

    void schedule(Instant at, EventKind kind, std::uint64_t id, int sendings = 0)
    {
        this->events.push({at, ++this->lastOrder, kind, id, sendings});
    }

    void scheduleNext(std::size_t caller)
    {
        // Draws at the highest rate and skips times at which the rate is lower.
        std::exponential_distribution<double> gap(maxRate);
        const auto wait = std::chrono::duration<double>(gap(this->random));
        this->schedule(this->now + std::chrono::duration_cast<Duration>(wait), EventKind::Arrival,
                       caller);
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Arrival: {
            std::uniform_real_distribution<double> draw(0.0, maxRate);
            if (draw(this->random) < this->callers[event.id].rate(this->now - this->start)) {
                const std::uint64_t id = ++this->lastRequest;
                this->requests[id] = {event.id, this->now};
                this->send(id);
            }
            this->scheduleNext(event.id);
            break;
        }
        case EventKind::Repeat:
            this->send(event.id);
            break;
        case EventKind::Expiry: {
            Request &request = this->requests.at(event.id);
            if (request.waiting && request.sendings == event.sendings) {
                this->queue.remove({ExchangeId(event.id), 0}, this->now);
                this->refuse(event.id);
            }
            break;
        }
        case EventKind::Completion:
            --this->running;
            this->queue.onCompleted(this->now);
            this->startWaiting();
            this->refuseLate();
            break;
        }
    }

    void send(std::uint64_t id)
    {
        Request &request = this->requests.at(id);
        ++request.sendings;
        if (this->running < this->options.slots(this->now - this->start)) {
            this->startRequest(id);
            return;
        }
        const WaitingSender &sender = this->callers[request.caller].sender;
        const Instant startBy = this->now + this->options.maxWait;
        if (this->queue.outlook(sender, startBy, this->now)) {
            this->queue.countRefused(sender);
            ++this->earlyRefusals;
            this->refuse(id);
            return;
        }
        request.waiting = true;
        this->queue.add({ExchangeId(id), 0}, sender, startBy, this->now);
        this->schedule(startBy, EventKind::Expiry, id, request.sendings);
        this->refuseLate();
    }

    void startRequest(std::uint64_t id)
    {
        Request &request = this->requests.at(id);
        request.waiting = false;
        request.served = true;
        ++this->running;
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        const auto time = std::chrono::duration_cast<Duration>(this->options.serviceTime
                                                               * factor(this->random));
        this->schedule(this->now + time, EventKind::Completion, id);
    }

    void startWaiting()
    {
        while (this->running < this->options.slots(this->now - this->start)) {
            const auto next = this->queue.take(this->now);
            if (!next) {
                return;
            }
            this->startRequest(next->exchange.value);
        }
    }

    void refuseLate()
    {
        while (const auto late = this->queue.takeLate(this->now)) {
            ++this->earlyRefusals;
            this->refuse(late->exchange.value);
        }
    }

    void refuse(std::uint64_t id)
    {
        Request &request = this->requests.at(id);
        request.waiting = false;
        const SimulatedCaller &caller = this->callers[request.caller];
        if (request.sendings <= caller.repeats) {
            const Duration delay = caller.repeatsAtOnce
                    ? milliseconds(1)
                    : std::max<Duration>(milliseconds(20),
                                         this->queue.retryDelay(this->now, this->random));
            this->schedule(this->now + delay, EventKind::Repeat, id);
        }
    }

    /// No caller sends more requests per second.
    static constexpr double maxRate = 600.0;

    std::vector<SimulatedCaller> callers;
    Options options;
    RandomEngine random;
    const Instant start {std::chrono::seconds(100)};
    Instant now {start};
    Queue queue;
    std::size_t running = 0;
    std::size_t earlyRefusals = 0;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastOrder = 0;
    std::unordered_map<std::uint64_t, Request> requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

/// Returns a rate that is multiplied by a factor in the given interval.
inline std::function<double(Duration)> surging(double usual, double factor, Duration from,
                                               Duration to)
{
    return [=](Duration at) { return at >= from && at < to ? usual * factor : usual; };
}

inline std::function<double(Duration)> steady(double rate)
{
    return [=](Duration) { return rate; };
}

} // namespace lagoondeck::workloadtest
