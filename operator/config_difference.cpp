#include "operator/config_difference.h"

#include "core/ids.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace lagoondeck {

namespace {

std::string format(const std::string &value)
{
    return value;
}

std::string format(bool value)
{
    return value ? "yes" : "no";
}

std::string format(Duration value)
{
    std::ostringstream text;
    text << toFractionalMilliseconds(value) << " ms";
    return text.str();
}

std::string format(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string format(std::uint32_t value)
{
    return std::to_string(value);
}

std::string format(std::size_t value)
{
    return std::to_string(value);
}

std::string format(const std::optional<std::uint32_t> &value)
{
    return value ? std::to_string(*value) : "none";
}

std::string format(const WeightedGroup &value)
{
    return value.group.value + " " + format(value.weight);
}

std::string format(const GroupName &value)
{
    return value.value;
}

std::string format(const Region &value)
{
    return value.value;
}

template <typename Item>
std::string format(const std::vector<Item> &items)
{
    std::string text;
    for (const Item &item : items) {
        text += (text.empty() ? "" : ", ") + format(item);
    }
    return text.empty() ? "none" : text;
}

/// Collects what has changed of one subject.
class ChangeList
{
public:
    template <typename Value>
    void compare(const char *name, const Value &before, const Value &after)
    {
        if (!(before == after)) {
            this->add(std::string(name) + " " + format(before) + " to " + format(after));
        }
    }

    void add(const std::string &change) { this->text += (this->text.empty() ? "" : "; ") + change; }

    void moveTo(std::vector<ConfigDifference> &differences, const std::string &subject) const
    {
        if (!this->text.empty()) {
            differences.push_back({DifferenceKind::Changed, subject, this->text});
        }
    }

private:
    std::string text;
};

void compareEntries(const Route &before, const Route &after, ChangeList &changes)
{
    changes.compare("host", before.host, after.host);
    changes.compare("prefix", before.prefix, after.prefix);
    changes.compare("groups", before.split, after.split);
    changes.compare("gathered groups", before.gather, after.gather);
    changes.compare("may be repeated", before.idempotent, after.idempotent);
    changes.compare("timeout", before.timeout, after.timeout);
    changes.compare("objective", before.objective, after.objective);
    changes.compare("priority", before.priority, after.priority);
    changes.compare("attempts", before.attempts, after.attempts);
    changes.compare("records", before.topK, after.topK);
    changes.compare("minimum coverage", before.minimumCoverage, after.minimumCoverage);
    changes.compare("public", before.isPublic, after.isPublic);
    changes.compare("allowed regions", before.allowedRegions, after.allowedRegions);
}

void compareEntries(const ClientAccount &before, const ClientAccount &after, ChangeList &changes)
{
    changes.compare("priority", before.priority, after.priority);
    changes.compare("rate per second", before.requestsPerSecond, after.requestsPerSecond);
    changes.compare("burst", before.burst, after.burst);
    changes.compare("allowed regions", before.allowedRegions, after.allowedRegions);
    const std::set<std::string> keysBefore(before.keys.begin(), before.keys.end());
    const std::set<std::string> keysAfter(after.keys.begin(), after.keys.end());
    const auto countMissing = [](const std::set<std::string> &keys,
                                 const std::set<std::string> &others) {
        return std::ranges::count_if(keys,
                                     [&](const std::string &key) { return !others.contains(key); });
    };
    if (const auto added = countMissing(keysAfter, keysBefore); added > 0) {
        changes.add("keys added: " + std::to_string(added));
    }
    if (const auto removed = countMissing(keysBefore, keysAfter); removed > 0) {
        changes.add("keys removed: " + std::to_string(removed));
    }
}

void compareEntries(const std::uint32_t &before, const std::uint32_t &after, ChangeList &changes)
{
    changes.compare("connection cap", before, after);
}

void compareEntries(const ColdLimit &before, const ColdLimit &after, ChangeList &changes)
{
    changes.compare("warm-up", before.warmup, after.warmup);
    changes.compare("requests per second", before.requestsPerSecond, after.requestsPerSecond);
}

/// The entries by name, ordered so that the output is, too.
template <typename Entry>
using EntryTable = std::map<std::string, const Entry *>;

template <typename Entry>
EntryTable<Entry> tableOf(const std::vector<Entry> &entries)
{
    EntryTable<Entry> table;
    for (const Entry &entry : entries) {
        table.emplace(entry.name, &entry);
    }
    return table;
}

template <typename Entry>
EntryTable<Entry> tableOf(const std::unordered_map<GroupName, Entry> &entries)
{
    EntryTable<Entry> table;
    for (const auto &[group, entry] : entries) {
        table.emplace(group.value, &entry);
    }
    return table;
}

template <typename Entries>
void compareTables(const std::string &noun, const Entries &before, const Entries &after,
                   std::vector<ConfigDifference> &differences)
{
    const auto tableBefore = tableOf(before);
    const auto tableAfter = tableOf(after);
    for (const auto &[name, entry] : tableBefore) {
        if (!tableAfter.contains(name)) {
            differences.push_back({DifferenceKind::Removed, noun + " " + name, ""});
        }
    }
    for (const auto &[name, entry] : tableAfter) {
        const auto found = tableBefore.find(name);
        if (found == tableBefore.end()) {
            differences.push_back({DifferenceKind::Added, noun + " " + name, ""});
            continue;
        }
        ChangeList changes;
        compareEntries(*found->second, *entry, changes);
        changes.moveTo(differences, noun + " " + name);
    }
}

} // namespace

std::string_view toString(DifferenceKind kind)
{
    switch (kind) {
    case DifferenceKind::Added:
        return "added";
    case DifferenceKind::Removed:
        return "removed";
    case DifferenceKind::Changed:
        return "changed";
    }
    return "unknown";
}

std::vector<ConfigDifference> compareConfigs(const RoutingConfig &inForce,
                                             const RoutingConfig &config)
{
    std::vector<ConfigDifference> differences;
    compareTables("route", inForce.routes, config.routes, differences);
    compareTables("account", inForce.accounts, config.accounts, differences);
    compareTables("group", inForce.connectionCaps, config.connectionCaps, differences);
    compareTables("cold limit of group", inForce.coldLimits, config.coldLimits, differences);
    ChangeList changes;
    changes.compare("header bytes", inForce.limits.headerBytes, config.limits.headerBytes);
    changes.compare("body bytes", inForce.limits.bodyBytes, config.limits.bodyBytes);
    changes.compare("header timeout", inForce.limits.headerTimeout, config.limits.headerTimeout);
    changes.compare("idle timeout", inForce.limits.idleTimeout, config.limits.idleTimeout);
    changes.moveTo(differences, "callers' limits");
    return differences;
}

std::optional<ConfigFinding> checkVersion(const RoutingConfig &inForce, const RoutingConfig &config)
{
    if (config.version > inForce.version) {
        return std::nullopt;
    }
    return ConfigFinding {ConfigFindingKind::VersionNotNewer,
                          "version " + std::to_string(config.version),
                          "instances ignore it, because version " + std::to_string(inForce.version)
                                  + " is in force"};
}

} // namespace lagoondeck
