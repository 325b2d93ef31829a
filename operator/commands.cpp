#include "operator/commands.h"

#include "core/catalogue_codec.h"
#include "core/errors.h"
#include "operator/catalogue_client.h"
#include "operator/check_config.h"
#include "operator/command_error.h"
#include "operator/entry_input.h"
#include "operator/explain.h"
#include "operator/fleet_client.h"
#include "operator/latency_view.h"
#include "operator/status_report.h"
#include "operator/table.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <ostream>
#include <random>
#include <sstream>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

using Arguments = std::vector<std::string>;

/// A catalogue client with its connection to the store.
struct CatalogueSession
{
    explicit CatalogueSession(const CommandLine &line)
        : store(line.storeAddress), client(store, line.timeout, line.retryTimeout)
    { }

    StoreSession store;
    CatalogueClient client;
};

leaf::result<void> requireStoreAddress(const CommandLine &line)
{
    if (line.storeAddress.empty()) {
        return leaf::new_error(UsageError {"--store or --settings is required"});
    }
    return {};
}

leaf::result<void> requireInstanceListAddress(const CommandLine &line)
{
    if (line.instanceListAddress.empty()) {
        return leaf::new_error(UsageError {"--instances or --settings is required"});
    }
    return {};
}

std::string newChangeId()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device() << device() << device();
    return text.str();
}

std::string resolveAuthor(const CommandLine &line)
{
    if (!line.author.empty()) {
        return line.author;
    }
    const char *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string formatTime(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(
            std::chrono::time_point_cast<std::chrono::system_clock::duration>(time));
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[] = "0000-00-00T00:00:00Z";
    return std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts) > 0 ? text : "";
}

nlohmann::json changeJson(const CatalogueChange &change)
{
    return nlohmann::json::parse(writeCatalogueChange(change));
}

nlohmann::json changesJson(const std::vector<CatalogueChange> &changes)
{
    nlohmann::json json = nlohmann::json::array();
    for (const CatalogueChange &change : changes) {
        json.push_back(changeJson(change));
    }
    return json;
}

std::string entriesTable(const std::vector<CatalogueChange> &changes)
{
    Table table({"NAME", "REVISION", "OWNER", "CLASS", "SERVICE", "RATE/S", "CONCURRENCY",
                 "PRIORITY", "DEADLINE-MS", "MIN-COVERAGE", "HEDGE", "CANARY"});
    for (const CatalogueChange &change : changes) {
        if (!change.entry) {
            continue;
        }
        const CatalogueEntry &entry = *change.entry;
        table.add({entry.name.value, std::to_string(change.revision.value), entry.owner,
                   entry.trafficClass, entry.service.value, formatNumber(entry.ratePerSecond),
                   std::to_string(entry.concurrency), std::to_string(entry.priority),
                   formatNumber(toFractionalMilliseconds(entry.deadline)),
                   formatNumber(entry.minimumCoverage), formatNumber(entry.hedgeBudget),
                   entry.canary ? "on" : "off"});
    }
    return table.toText();
}

std::string changesTable(const std::vector<CatalogueChange> &changes)
{
    Table table({"REVISION", "ACCEPTED-AT", "AUTHOR", "ENTRY", "WHAT", "CHANGE-ID"});
    for (const CatalogueChange &change : changes) {
        table.add({std::to_string(change.revision.value), formatTime(change.acceptedAt),
                   change.author, change.name.value, change.entry ? "put" : "delete",
                   change.changeId});
    }
    return table.toText();
}

leaf::result<void> listEntries(const CommandLine &line, std::ostream &out)
{
    CatalogueSession session(line);
    BOOST_LEAF_AUTO(inForce, session.client.readInForce());
    if (line.json) {
        out << nlohmann::json {{"revision", inForce.head.revision.value},
                               {"entries", changesJson(inForce.entries)}}
                        .dump(2)
            << "\n";
        return {};
    }
    out << entriesTable(inForce.entries) << "catalogue revision " << inForce.head.revision.value
        << "\n";
    return {};
}

leaf::result<void> getEntry(const CommandLine &line, std::ostream &out)
{
    CatalogueSession session(line);
    BOOST_LEAF_AUTO(inForce, session.client.readInForce());
    const EntryName name {line.positionalArguments[2]};
    const auto found = std::ranges::find(inForce.entries, name, &CatalogueChange::name);
    if (found == inForce.entries.end() || !found->entry) {
        return leaf::new_error(EntryNotFound {name});
    }
    if (line.json) {
        out << changeJson(*found).dump(2) << "\n";
        return {};
    }
    out << "// revision " << found->revision.value << " by " << found->author << " at "
        << formatTime(found->acceptedAt) << "\n"
        << nlohmann::json::parse(writeCatalogueEntry(*found->entry)).dump(2) << "\n";
    return {};
}

leaf::result<void> showHistory(const CommandLine &line, std::ostream &out)
{
    CatalogueSession session(line);
    BOOST_LEAF_AUTO(inForce, session.client.readInForce());
    const std::uint64_t last = inForce.head.revision.value;
    const Revision first {last >= line.limit ? last - line.limit + 1 : 1};
    BOOST_LEAF_AUTO(changes, session.client.readChanges(first, inForce.head.revision));
    if (line.json) {
        out << nlohmann::json {{"revision", last}, {"changes", changesJson(changes)}}.dump(2)
            << "\n";
        return {};
    }
    out << changesTable(changes);
    return {};
}

/// Waits until the revision is in force when --wait was given. The change is already accepted, so a
/// failed status query is reported as NotInForce and not as a failure of the change.
leaf::result<void> waitInForce(const CommandLine &line, Revision revision)
{
    if (!line.wait) {
        return {};
    }
    FleetClient fleet(line.instanceListAddress, line.timeout);
    const auto unconfirmed = [&](const std::string &why) -> leaf::result<void> {
        return leaf::new_error(NotInForce {revision, {}, "the instance list: " + why});
    };
    return leaf::try_handle_some(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(lagging, fleet.waitInForce(revision, *line.wait));
                if (!lagging.empty()) {
                    return leaf::new_error(NotInForce {revision, std::move(lagging), ""});
                }
                return {};
            },
            [&](const CallFailed &failed) { return unconfirmed(failed.detail); },
            [&](const MalformedInput &input) { return unconfirmed(input.detail); },
            [&](const InvalidInput &input) { return unconfirmed(input.problems.front().detail); });
}

leaf::result<void> applyEdits(const CommandLine &line, std::vector<CatalogueEdit> edits,
                              std::ostream &out)
{
    if (line.wait) {
        BOOST_LEAF_CHECK(requireInstanceListAddress(line));
    }
    CatalogueSession session(line);
    const auto now = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    const CatalogueEdits request {std::move(edits), resolveAuthor(line), line.expectRevision,
                                  newChangeId(), now};
    BOOST_LEAF_AUTO(changes, session.client.apply(request));
    // The accepted changes are printed before the wait, because the wait may fail.
    if (!line.json) {
        out << changesTable(changes) << std::flush;
    }
    BOOST_LEAF_CHECK(waitInForce(line, changes.back().revision));
    if (line.json) {
        out << nlohmann::json {{"changes", changesJson(changes)},
                               {"revision", changes.back().revision.value},
                               {"inForceEverywhere", line.wait.has_value()}}
                        .dump(2)
            << "\n";
    } else if (line.wait) {
        out << "in force on every live instance\n";
    }
    return {};
}

leaf::result<void> putEntries(const CommandLine &line, std::ostream &out)
{
    BOOST_LEAF_AUTO(entries,
                    readEntryFiles(Arguments(line.positionalArguments.begin() + 2,
                                             line.positionalArguments.end())));
    std::vector<CatalogueEdit> edits;
    for (CatalogueEntry &entry : entries) {
        const EntryName name = entry.name;
        edits.push_back({name, std::move(entry)});
    }
    return applyEdits(line, std::move(edits), out);
}

leaf::result<void> deleteEntries(const CommandLine &line, std::ostream &out)
{
    std::vector<CatalogueEdit> edits;
    for (auto name = line.positionalArguments.begin() + 2; name != line.positionalArguments.end();
         ++name) {
        if (std::find(line.positionalArguments.begin() + 2, name, *name) == name) {
            edits.push_back({EntryName {*name}, std::nullopt});
        }
    }
    return applyEdits(line, std::move(edits), out);
}

leaf::result<void> runCatalogue(const CommandLine &line, std::ostream &out)
{
    BOOST_LEAF_CHECK(requireStoreAddress(line));
    const std::string verb = line.positionalArguments.size() > 1 ? line.positionalArguments[1] : "";
    const std::size_t operands = line.positionalArguments.size()
            - std::min<std::size_t>(line.positionalArguments.size(), 2);
    if (verb == "list" && operands == 0) {
        return listEntries(line, out);
    }
    if (verb == "get" && operands == 1) {
        return getEntry(line, out);
    }
    if (verb == "history" && operands == 0) {
        return showHistory(line, out);
    }
    if (verb == "put" && operands > 0) {
        return putEntries(line, out);
    }
    if (verb == "delete" && operands > 0) {
        return deleteEntries(line, out);
    }
    return leaf::new_error(UsageError {"catalogue takes list, get NAME, put FILE..., "
                                       "delete NAME... or history"});
}

leaf::result<void> showStatus(const CommandLine &line, std::ostream &out)
{
    BOOST_LEAF_CHECK(requireInstanceListAddress(line));
    FleetClient fleet(line.instanceListAddress, line.timeout);
    BOOST_LEAF_AUTO(reports, fleet.statuses());
    if (line.json) {
        out << statusJson(reports).dump(2) << "\n";
        return {};
    }
    out << statusTable(reports);
    LatencyView latencies;
    for (const InstanceReport &report : reports) {
        if (report.reachable) {
            latencies.add(fleet.metrics(report.instance));
        }
    }
    out << latencies.toText();
    return {};
}

leaf::result<void> drainInstance(const CommandLine &line, std::ostream &out)
{
    BOOST_LEAF_CHECK(requireInstanceListAddress(line));
    if (line.positionalArguments.size() != 2) {
        return leaf::new_error(UsageError {"drain takes one instance"});
    }
    FleetClient fleet(line.instanceListAddress, line.timeout);
    BOOST_LEAF_AUTO(instances, fleet.entries());
    const InstanceId id {line.positionalArguments[1]};
    const auto found = std::ranges::find(instances, id, &EntryInstance::id);
    if (found == instances.end()) {
        return leaf::new_error(InstanceNotFound {id});
    }
    BOOST_LEAF_CHECK(fleet.drain(*found));
    if (line.wait && !fleet.waitUntilStopped(*found, *line.wait)) {
        return leaf::new_error(StillRunning {id});
    }
    const char *state = line.wait ? "stopped" : "draining";
    if (line.json) {
        out << nlohmann::json {{"id", id.value}, {"state", state}}.dump() << "\n";
    } else {
        out << id.value << " " << state << "\n";
    }
    return {};
}

leaf::result<void> explain(const CommandLine &line, std::ostream &out)
{
    if (line.positionalArguments.size() < 2) {
        return leaf::new_error(UsageError {"explain takes a request's id and log files"});
    }
    RequestTrace trace(line.positionalArguments[1]);
    if (line.positionalArguments.size() == 2) {
        trace.read(std::cin);
    }
    for (std::size_t i = 2; i < line.positionalArguments.size(); ++i) {
        std::ifstream file(line.positionalArguments[i]);
        if (!file) {
            return leaf::new_error(FileUnreadable {line.positionalArguments[i]});
        }
        trace.read(file);
    }
    if (line.json) {
        out << trace.toJson().dump(2) << "\n";
    } else {
        trace.writeText(out);
    }
    return {};
}

} // namespace

leaf::result<void> runCommandLine(const CommandLine &line, std::ostream &out)
{
    const std::string command =
            line.positionalArguments.empty() ? "" : line.positionalArguments.front();
    if (command == "catalogue") {
        return runCatalogue(line, out);
    }
    if (command == "status" && line.positionalArguments.size() == 1) {
        return showStatus(line, out);
    }
    if (command == "drain") {
        return drainInstance(line, out);
    }
    if (command == "explain") {
        return explain(line, out);
    }
    if (command == "check-config") {
        return checkConfigFile(line, out);
    }
    return leaf::new_error(
            UsageError {"the commands are catalogue, status, drain, check-config and explain"});
}

} // namespace lagoondeck
