#include "operator/fleet_client.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/instance_list_codec.h"
#include "core/json_input.h"
#include "drivers/platform_session.h"

#include <algorithm>
#include <atomic>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <limits>
#include <thread>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t callsAtOnce = 16;
constexpr Duration pauseBetweenRounds = std::chrono::milliseconds(50);
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;

leaf::result<std::string> fetch(const std::string &address, const PlatformRequest &request,
                                int expected, Duration timeout)
{
    PlatformSession session(address);
    BOOST_LEAF_AUTO(reply, session.call(request, timeout));
    if (reply.status != expected) {
        return leaf::new_error(CallFailed {address, "status " + std::to_string(reply.status)});
    }
    return std::move(reply.body);
}

leaf::result<NodeReport> readStatus(const EntryInstance &instance, Duration timeout)
{
    const PlatformRequest request {"GET", "/v1/status", ""};
    BOOST_LEAF_AUTO(text, fetch(instance.httpAddress, request, statusOk, timeout));
    NodeReport node {instance, true};
    BOOST_LEAF_ASSIGN(node.status, parseJson(text));
    std::vector<FieldProblem> problems;
    FieldReader reader(node.status, problems);
    reader.require({"catalogueRevision"});
    reader.read("catalogueRevision", node.catalogueRevision.value, 0,
                std::numeric_limits<std::uint64_t>::max());
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return node;
}

NodeReport statusOrFailure(const EntryInstance &instance, Duration timeout)
{
    const auto unreachable = [&](std::string why) {
        return NodeReport {instance, false, std::move(why)};
    };
    return leaf::try_handle_all(
            [&] { return readStatus(instance, timeout); },
            [&](const CallFailed &failed) { return unreachable(failed.detail); },
            [&](const MalformedInput &) { return unreachable("no JSON"); },
            [&](const InvalidInput &input) {
                const FieldProblem &first = input.problems.front();
                return unreachable(first.path + ": " + first.detail);
            },
            [&] { return unreachable("unknown failure"); });
}

/// Asks several instances at once.
std::vector<NodeReport> askAll(const std::vector<EntryInstance> &instances, Duration timeout)
{
    std::vector<NodeReport> nodes(instances.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < instances.size(); i = next++) {
            nodes[i] = statusOrFailure(instances[i], timeout);
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(callsAtOnce, instances.size()); ++i) {
        threads.emplace_back(work);
    }
    threads.clear();
    return nodes;
}

std::vector<Laggard> lackingOf(const std::vector<NodeReport> &nodes, Revision revision)
{
    std::vector<Laggard> lacking;
    for (const NodeReport &node : nodes) {
        if (!node.reachable || node.catalogueRevision < revision) {
            lacking.push_back(
                    {node.instance.id, node.instance.httpAddress,
                     node.reachable ? std::optional(node.catalogueRevision) : std::nullopt});
        }
    }
    return lacking;
}

} // namespace

FleetClient::FleetClient(std::string instanceListAddress, Duration timeout)
    : instanceListAddress(std::move(instanceListAddress)), timeout(timeout)
{ }

leaf::result<std::vector<EntryInstance>> FleetClient::entries()
{
    const PlatformRequest request {"GET", "/v1/instances", ""};
    BOOST_LEAF_AUTO(text, fetch(this->instanceListAddress, request, statusOk, this->timeout));
    BOOST_LEAF_AUTO(list, parseInstanceList(text));
    return std::move(list.entries);
}

leaf::result<std::vector<NodeReport>> FleetClient::statuses()
{
    BOOST_LEAF_AUTO(instances, this->entries());
    return askAll(instances, this->timeout);
}

leaf::result<std::vector<Laggard>> FleetClient::waitInForce(Revision revision, Duration bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (true) {
        BOOST_LEAF_AUTO(instances, this->entries());
        std::erase_if(instances, [](const EntryInstance &instance) {
            return instance.state != InstanceState::Live;
        });
        std::vector<Laggard> lacking = lackingOf(askAll(instances, this->timeout), revision);
        if (lacking.empty() || std::chrono::steady_clock::now() >= end) {
            return lacking;
        }
        std::this_thread::sleep_for(pauseBetweenRounds);
    }
}

leaf::result<void> FleetClient::drain(const EntryInstance &instance)
{
    const PlatformRequest request {"POST", "/v1/drain", ""};
    BOOST_LEAF_CHECK(fetch(instance.httpAddress, request, statusAccepted, this->timeout));
    return {};
}

bool FleetClient::waitGone(const EntryInstance &instance, Duration bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    const PlatformRequest request {"GET", "/v1/health", ""};
    while (std::chrono::steady_clock::now() < end) {
        // Only a connection that can't be made shows that the process is gone.
        const bool refused = leaf::try_handle_all(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_CHECK(fetch(instance.httpAddress, request, statusOk, this->timeout));
                    return false;
                },
                [](const CallFailed &failed) { return !failed.mayHaveTakenEffect; },
                [] { return false; });
        if (refused) {
            return true;
        }
        std::this_thread::sleep_for(pauseBetweenRounds);
    }
    return false;
}

std::string FleetClient::metrics(const EntryInstance &instance)
{
    return leaf::try_handle_all(
            [&] {
                return fetch(instance.httpAddress, {"GET", "/metrics", ""}, statusOk,
                             this->timeout);
            },
            [] { return std::string(); });
}

} // namespace lagoondeck
