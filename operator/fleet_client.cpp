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

constexpr std::size_t maxConcurrentCalls = 16;
constexpr Duration pollInterval = std::chrono::milliseconds(50);
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

leaf::result<InstanceReport> readStatus(const EntryInstance &instance, Duration timeout)
{
    const PlatformRequest request {"GET", "/v1/status", ""};
    BOOST_LEAF_AUTO(text, fetch(instance.httpAddress, request, statusOk, timeout));
    InstanceReport report {instance, true};
    BOOST_LEAF_ASSIGN(report.status, parseJson(text));
    std::vector<FieldProblem> problems;
    FieldReader reader(report.status, problems);
    reader.require({"catalogueRevision"});
    reader.read("catalogueRevision", report.catalogueRevision.value, 0,
                std::numeric_limits<std::uint64_t>::max());
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return report;
}

InstanceReport fetchReport(const EntryInstance &instance, Duration timeout)
{
    const auto makeUnreachable = [&](std::string why) {
        return InstanceReport {instance, false, std::move(why)};
    };
    return leaf::try_handle_all(
            [&] { return readStatus(instance, timeout); },
            [&](const CallFailed &failed) { return makeUnreachable(failed.detail); },
            [&](const MalformedInput &) { return makeUnreachable("the reply is not JSON"); },
            [&](const InvalidInput &input) {
                const FieldProblem &first = input.problems.front();
                return makeUnreachable(first.path + ": " + first.detail);
            },
            [&] { return makeUnreachable("unknown failure"); });
}

/// Fetches the status of all instances, several at a time.
std::vector<InstanceReport> fetchReports(const std::vector<EntryInstance> &instances,
                                         Duration timeout)
{
    std::vector<InstanceReport> reports(instances.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < instances.size(); i = next++) {
            reports[i] = fetchReport(instances[i], timeout);
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(maxConcurrentCalls, instances.size()); ++i) {
        threads.emplace_back(work);
    }
    threads.clear();
    return reports;
}

std::vector<LaggingInstance> findLagging(const std::vector<InstanceReport> &reports,
                                         Revision revision)
{
    std::vector<LaggingInstance> lagging;
    for (const InstanceReport &report : reports) {
        if (!report.reachable || report.catalogueRevision < revision) {
            lagging.push_back(
                    {report.instance.id, report.instance.httpAddress,
                     report.reachable ? std::optional(report.catalogueRevision) : std::nullopt});
        }
    }
    return lagging;
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

leaf::result<std::vector<InstanceReport>> FleetClient::statuses()
{
    BOOST_LEAF_AUTO(instances, this->entries());
    return fetchReports(instances, this->timeout);
}

leaf::result<std::vector<LaggingInstance>> FleetClient::waitInForce(Revision revision,
                                                                    Duration bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (true) {
        BOOST_LEAF_AUTO(instances, this->entries());
        std::erase_if(instances, [](const EntryInstance &instance) {
            return instance.state != InstanceState::Live;
        });
        std::vector<LaggingInstance> lagging =
                findLagging(fetchReports(instances, this->timeout), revision);
        if (lagging.empty() || std::chrono::steady_clock::now() >= end) {
            return lagging;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

leaf::result<void> FleetClient::drain(const EntryInstance &instance)
{
    const PlatformRequest request {"POST", "/v1/drain", ""};
    BOOST_LEAF_CHECK(fetch(instance.httpAddress, request, statusAccepted, this->timeout));
    return {};
}

bool FleetClient::waitUntilStopped(const EntryInstance &instance, Duration bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    const PlatformRequest request {"GET", "/v1/health", ""};
    while (std::chrono::steady_clock::now() < end) {
        // Only a failed connection attempt shows that the process has ended.
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
        std::this_thread::sleep_for(pollInterval);
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
