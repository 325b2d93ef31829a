// Guards against hot spots: the coordinators must be few enough to know their targets, and many
// enough for the instances that are connected to them.

#include "logic/gateway/coordinator_capacity.h"
#include "logic/gateway/coordinator_ranking.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lagoondeck;

namespace {

std::map<std::string, MemberRecord> fleetOf(std::size_t count, std::size_t domains)
{
    std::map<std::string, MemberRecord> members;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string id = "n" + std::to_string(i);
        const std::uint32_t capacity = i / domains % 10 == 0 ? 3000 : 700;
        members[id] = {InstanceId(id), "10.0.0.1:" + std::to_string(1000 + i),
                       FailureDomain("d" + std::to_string(i % domains)), capacity};
    }
    return members;
}

std::vector<FailureDomain> domainsOf(std::size_t count)
{
    std::vector<FailureDomain> domains;
    for (std::size_t i = 0; i < count; ++i) {
        domains.emplace_back("d" + std::to_string(i));
    }
    return domains;
}

} // namespace

TEST_CASE("a small fleet has no coordinators")
{
    CHECK(rankCoordinators(fleetOf(9, 3), domainsOf(3), InstanceId("n1")).domains.empty());
    CHECK(rankCoordinators(fleetOf(195, 5), {}, InstanceId("n1")).domains.empty());
}

TEST_CASE("members without a known capacity never coordinate")
{
    auto members = fleetOf(195, 5);
    for (auto &[id, member] : members) {
        member.partsPerSecond = 0;
    }
    CHECK(rankCoordinators(members, domainsOf(3), InstanceId("n1")).domains.empty());
}

TEST_CASE("all instances choose among the same largest members of the domains with replicas")
{
    const auto members = fleetOf(195, 5);
    std::set<InstanceId> chosen;
    for (const auto &[id, member] : members) {
        const CoordinatorRanking ranking = rankCoordinators(members, domainsOf(3), InstanceId(id));
        CHECK(ranking.coordinators.size() == 6);
        REQUIRE(ranking.domains.size() == 3);
        bool isChosen = false;
        for (const DomainCoordinators &domain : ranking.domains) {
            CHECK(domain.members.size() == 2);
            for (const MemberRecord &coordinator : domain.members) {
                CHECK(coordinator.failureDomain == domain.domain);
                CHECK(coordinator.partsPerSecond == 3000);
                chosen.insert(coordinator.id);
                isChosen = isChosen || coordinator.id == member.id;
            }
        }
        CHECK(ranking.includesSelf == isChosen);
    }
    CHECK(chosen.size() == 6);
}

TEST_CASE("a departed coordinator is replaced, and the others stay")
{
    auto members = fleetOf(195, 5);
    const InstanceId self("n1");
    const CoordinatorRanking before = rankCoordinators(members, domainsOf(3), self);
    const InstanceId departed = before.domains[0].members[0].id;
    const InstanceId kept = before.domains[0].members[1].id;
    members.erase(departed.value);
    const CoordinatorRanking after = rankCoordinators(members, domainsOf(3), self);
    CHECK(after.coordinators.size() == 6);
    std::set<InstanceId> ids;
    for (const MemberRecord &member : after.domains[0].members) {
        ids.insert(member.id);
    }
    CHECK(ids.contains(kept));
    CHECK_FALSE(ids.contains(departed));
    CHECK(after.domains[1].members == before.domains[1].members);
}

TEST_CASE("at the design size no coordinator is used by more than a few hundred instances")
{
    const auto members = fleetOf(5200, 6);
    std::map<InstanceId, std::size_t> users;
    std::size_t coordinators = 0;
    for (std::size_t i = 0; i < 5200; i += 13) {
        const CoordinatorRanking ranking =
                rankCoordinators(members, domainsOf(3), InstanceId("n" + std::to_string(i)));
        coordinators = ranking.coordinators.size();
        for (const DomainCoordinators &domain : ranking.domains) {
            for (const MemberRecord &coordinator : domain.members) {
                ++users[coordinator.id];
            }
        }
    }
    CHECK(coordinators == 54);
    for (const auto &[id, count] : users) {
        // Every 13th instance was asked, and 400 instances share 18 coordinators of each domain.
        CHECK(count * 13 <= 1000);
    }
}

TEST_CASE("the capacity follows the slower of processor and link")
{
    GatewaySettings settings;
    CHECK(coordinatorCapacity(settings) == 0);
    settings.processorShare = 0.5;
    const std::uint32_t byProcessor = coordinatorCapacity(settings);
    CHECK(byProcessor > 0);
    settings.linkMbps = 1000.0;
    CHECK(coordinatorCapacity(settings) == byProcessor);
    settings.linkMbps = 20.0;
    CHECK(coordinatorCapacity(settings) < byProcessor);
    settings.processorShare = 1e9;
    settings.linkMbps = 0.0;
    CHECK(coordinatorCapacity(settings) > byProcessor);
}
