// A gateway while a failure domain with some of its targets does not answer.

#include "tests/logic/gateway/gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr std::size_t targetsPerDomain = 4;
constexpr Duration replyTime = milliseconds(10);

/// Targets of the domains x and y, of which those in the silent domains don't reply. The groups are
/// g, with targets in both domains, and h with targets in x alone.
class TwoDomains
{
public:
    TwoDomains()
        : harness(configOf({plainRoute("/p/", "g", true), plainRoute("/h/", "h", true)}), targets())
    { }

    static std::vector<TargetRecord> targets()
    {
        std::vector<TargetRecord> records;
        for (std::size_t i = 0; i < targetsPerDomain; ++i) {
            for (const auto &[domain, group] :
                 {std::pair("x", "g"), std::pair("y", "g"), std::pair("x", "h")}) {
                TargetRecord record =
                        target(std::string(domain) + group + std::to_string(i), group);
                record.failureDomain = FailureDomain(domain);
                records.push_back(record);
            }
        }
        return records;
    }

    /// Sends a request every few milliseconds for a while. Returns the attempts at targets in x.
    std::size_t sendFor(Duration duration, const std::string &prefix = "/p/")
    {
        const std::size_t before = this->attemptsInX;
        const Instant end = this->harness.now + duration;
        while (this->harness.now < end) {
            this->harness.sendRequest(prefix + std::to_string(++this->requests));
            this->takeStarted();
            for (int i = 0; i < 10; ++i) {
                this->harness.advance(milliseconds(1));
                this->takeStarted();
                this->sendReplies();
            }
        }
        return this->attemptsInX - before;
    }

    std::size_t logged(LogEvent event) const
    {
        return static_cast<std::size_t>(
                std::ranges::count(this->harness.logs, event, &WriteLog::event));
    }

    GatewayHarness harness;
    std::set<std::string> silent;

private:
    void takeStarted()
    {
        for (; this->seen < this->harness.started.size(); ++this->seen) {
            const StartAttempt &attempt = this->harness.started[this->seen];
            const std::string domain = attempt.target.value.substr(0, 1);
            this->attemptsInX += domain == "x" ? 1 : 0;
            this->running.emplace_back(this->harness.now + replyTime, attempt.attempt, domain);
        }
    }

    void sendReplies()
    {
        for (const auto &[at, attempt, domain] : std::exchange(this->running, {})) {
            if (at > this->harness.now) {
                this->running.emplace_back(at, attempt, domain);
            } else if (!this->silent.contains(domain)) {
                this->harness.reply(attempt, ReplyClass::Success);
            }
        }
        this->takeStarted();
    }

    std::vector<std::tuple<Instant, AttemptId, std::string>> running;
    std::size_t seen = 0;
    std::size_t attemptsInX = 0;
    std::uint64_t requests = 0;
};

} // namespace

TEST_CASE("lost domain: after one round of timeouts only single requests go to its targets")
{
    TwoDomains domains;
    REQUIRE(domains.sendFor(std::chrono::seconds(1)) > 20);
    domains.silent = {"x"};
    domains.sendFor(milliseconds(150));
    CHECK(domains.harness.gateway.status(domains.harness.now).lostDomains == 1);
    CHECK(domains.logged(LogEvent::DomainLost) == 1);
    // Trials after 0.5 s, 1 s and 2 s more.
    CHECK(domains.sendFor(std::chrono::seconds(5)) <= 4);
    CHECK(domains.harness.gateway.status(domains.harness.now).placement.lost > 100);
}

TEST_CASE("lost domain: it is used again after some of its targets replied")
{
    TwoDomains domains;
    domains.sendFor(std::chrono::seconds(1));
    domains.silent = {"x"};
    domains.sendFor(std::chrono::seconds(2));
    REQUIRE(domains.harness.gateway.status(domains.harness.now).lostDomains == 1);
    domains.silent.clear();
    domains.sendFor(std::chrono::seconds(6));
    CHECK(domains.harness.gateway.status(domains.harness.now).lostDomains == 0);
    CHECK(domains.logged(LogEvent::DomainReturned) == 1);
    CHECK(domains.sendFor(std::chrono::seconds(1)) > 20);
}

TEST_CASE("lost domain: a group with replicas in no other domain is still tried")
{
    TwoDomains domains;
    domains.sendFor(std::chrono::seconds(1));
    domains.silent = {"x"};
    domains.sendFor(milliseconds(200));
    REQUIRE(domains.harness.gateway.status(domains.harness.now).lostDomains == 1);
    const std::size_t before = domains.harness.started.size();
    domains.harness.sendRequest("/h/1");
    CHECK(domains.harness.started.size() == before + 1);
}

TEST_CASE("lost domain: a broken path of the instance itself is not taken for it")
{
    TwoDomains domains;
    domains.sendFor(std::chrono::seconds(1));
    domains.silent = {"x", "y"};
    domains.sendFor(milliseconds(300));
    CHECK(domains.harness.gateway.status(domains.harness.now).path != PathState::Up);
    CHECK(domains.logged(LogEvent::DomainLost) == 0);
}
