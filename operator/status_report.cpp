#include "operator/status_report.h"

#include "operator/table.h"

namespace lagoondeck {

namespace {

const char *stateName(InstanceState state)
{
    return state == InstanceState::Leaving ? "leaving" : "live";
}

/// Returns a field of the status as a table cell; a dash when the status does not have it.
std::string cell(const nlohmann::json &status, const char *name)
{
    const auto found = status.is_object() ? status.find(name) : status.end();
    if (found == status.end() || found->is_structured()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

} // namespace

std::string statusTable(const std::vector<InstanceReport> &reports)
{
    Table table({"INSTANCE", "DOMAIN", "ADDRESS", "LISTED", "ANSWERS", "READY", "REVISION",
                 "IN-FLIGHT", "CONNECTIONS", "TARGETS"});
    for (const InstanceReport &report : reports) {
        const EntryInstance &instance = report.instance;
        table.add({instance.id.value, instance.failureDomain.value, instance.httpAddress,
                   stateName(instance.state), report.reachable ? "yes" : "no: " + report.failure,
                   cell(report.status, "ready"), cell(report.status, "catalogueRevision"),
                   cell(report.status, "queriesInFlight"), cell(report.status, "connections"),
                   cell(report.status, "targets")});
    }
    return table.toText();
}

nlohmann::json statusJson(const std::vector<InstanceReport> &reports)
{
    nlohmann::json list = nlohmann::json::array();
    for (const InstanceReport &report : reports) {
        nlohmann::json item {{"id", report.instance.id.value},
                             {"httpAddress", report.instance.httpAddress},
                             {"failureDomain", report.instance.failureDomain.value},
                             {"listed", stateName(report.instance.state)},
                             {"reachable", report.reachable}};
        if (report.reachable) {
            item["status"] = report.status;
        } else {
            item["failure"] = report.failure;
        }
        list.push_back(std::move(item));
    }
    return {{"instances", std::move(list)}};
}

} // namespace lagoondeck
