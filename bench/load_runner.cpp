#include "bench/load_runner.h"

#include "bench/answer_check.h"

#include <algorithm>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace lagoondeck {

namespace {

/// How long after its deadline a query may still be answered before it counts as without a reply.
constexpr Duration replyGrace = std::chrono::seconds(3);
constexpr Duration progressInterval = std::chrono::seconds(1);
/// The time that the workers get to start before the first query.
constexpr Duration startDelay = std::chrono::milliseconds(200);

std::string writeQuery(const LoadStream &stream, const Arrival &arrival)
{
    nlohmann::json query {{"requestId", arrival.requestId},
                          {"caller", arrival.caller},
                          {"deadlineMs", toFractionalMilliseconds(stream.deadline)},
                          {"idempotent", stream.idempotent},
                          {"body", nlohmann::json::parse(stream.body)}};
    if (!stream.idempotent) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        query["shard"] = arrival.shard;
        query["issuedAtMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }
    return query.dump();
}

} // namespace

LoadRunner::LoadRunner(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                       Balancer &balancer)
    : plan(plan), arrivals(arrivals), balancer(balancer), records(arrivals.size())
{ }

std::vector<RequestRecord> LoadRunner::run()
{
    this->start = Clock::now() + startDelay;
    std::vector<std::jthread> workers;
    workers.reserve(this->plan.workers);
    for (std::uint32_t i = 0; i < this->plan.workers; ++i) {
        workers.emplace_back([this] { this->work(); });
    }
    while (this->done < this->arrivals.size()) {
        const auto deadline = Clock::now() + progressInterval;
        while (this->done < this->arrivals.size() && Clock::now() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        this->showProgress();
    }
    workers.clear();
    return std::move(this->records);
}

void LoadRunner::work()
{
    for (std::size_t index = this->next++; index < this->arrivals.size(); index = this->next++) {
        std::this_thread::sleep_until(this->start + this->arrivals[index].at);
        try {
            this->sendOne(index);
        } catch (const std::exception &error) {
            // Counted by its reason like any other request without a reply.
            this->records[index] = {ObservedOutcome::NoReply,
                                    std::string("client-exception: ") + error.what()};
            std::cerr << "load: request " << this->arrivals[index].requestId << ": " << error.what()
                      << "\n";
        }
        ++this->done;
    }
}

void LoadRunner::sendOne(std::size_t index)
{
    const Arrival &arrival = this->arrivals[index];
    const LoadStream &stream = this->plan.streams[arrival.stream];
    const SendResult sent =
            this->balancer.send("/v1/queries/" + stream.entry, writeQuery(stream, arrival),
                                stream.deadline + replyGrace);
    const auto latency = Clock::now() - (this->start + arrival.at);
    RequestRecord &record = this->records[index];
    if (sent.outcome == SendOutcome::Replied) {
        record = checkAnswer(stream, arrival, sent.reply);
    } else {
        record.reason = sent.problem;
    }
    record.latency = std::chrono::duration_cast<Duration>(latency);
    this->answered += record.outcome == ObservedOutcome::Answered ? 1 : 0;
    this->notRun += record.outcome == ObservedOutcome::NotRun ? 1 : 0;
}

void LoadRunner::showProgress() const
{
    const std::chrono::duration<double> elapsed = Clock::now() - this->start;
    std::cerr << "load: " << static_cast<int>(elapsed.count()) << " s, " << this->done << " of "
              << this->arrivals.size() << " done, " << this->answered << " answered, "
              << this->notRun << " not run\n";
}

} // namespace lagoondeck
