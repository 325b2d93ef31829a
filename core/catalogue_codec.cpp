#include "core/catalogue_codec.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <limits>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr double maxRatePerSecond = 10'000'000.0;
constexpr std::uint32_t maxConcurrency = 1'000'000;
constexpr std::uint32_t lowestPriority = 9;
constexpr Duration minDeadline = std::chrono::milliseconds(1);
constexpr Duration maxDeadline = std::chrono::minutes(5);
constexpr std::uint32_t maxTopK = 10'000;
constexpr double maxHedgeBudget = 0.5;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
}

/// Allows only few characters in names, because names become parts of keys and paths.
void checkName(FieldReader &reader, const char *field, const std::string &name)
{
    if (name.empty() || name.size() > maxNameLength
        || !std::ranges::all_of(name, isNameCharacter)) {
        reader.addProblem(field, FieldProblemKind::BadFormat,
                          "expected 1 to 64 of a-z, 0-9, '-' and '.'");
    }
}

void readMerge(FieldReader &reader, CatalogueEntry &entry)
{
    std::string merge = entry.merge == MergeKind::TopK ? "topK" : "concatenate";
    reader.read("merge", merge);
    if (merge != "topK" && merge != "concatenate") {
        reader.addProblem("merge", FieldProblemKind::OutOfRange, "expected concatenate or topK");
    }
    entry.merge = merge == "topK" ? MergeKind::TopK : MergeKind::Concatenate;
}

void readLimits(FieldReader &reader, CatalogueEntry &entry, std::vector<FieldProblem> &problems,
                const std::string &prefix)
{
    const nlohmann::json *limits = reader.find("limits");
    if (limits == nullptr) {
        return;
    }
    FieldReader limitReader(*limits, problems, prefix + "limits.");
    limitReader.read("ratePerSecond", entry.ratePerSecond, 0.0, maxRatePerSecond);
    limitReader.read("concurrency", entry.concurrency, 0, maxConcurrency);
    limitReader.rejectUnknownFields();
}

CatalogueEntry readEntry(const nlohmann::json &json, std::vector<FieldProblem> &problems,
                         const std::string &prefix)
{
    CatalogueEntry entry;
    FieldReader reader(json, problems, prefix);
    reader.require({"name", "owner", "class", "service", "limits"});
    reader.read("name", entry.name.value);
    reader.read("owner", entry.owner);
    reader.read("class", entry.trafficClass);
    reader.read("service", entry.service.value);
    reader.read("priority", entry.priority, 0, lowestPriority);
    reader.readMilliseconds("deadlineMs", entry.deadline, minDeadline, maxDeadline);
    reader.read("minimumCoverage", entry.minimumCoverage, 0.0, 1.0);
    reader.read("hedgeBudget", entry.hedgeBudget, 0.0, maxHedgeBudget);
    reader.read("canary", entry.canary);
    reader.read("topK", entry.topK, 1, maxTopK);
    readMerge(reader, entry);
    readLimits(reader, entry, problems, prefix);
    reader.rejectUnknownFields();
    if (reader.isObject()) {
        checkName(reader, "name", entry.name.value);
        checkName(reader, "class", entry.trafficClass);
        checkName(reader, "service", entry.service.value);
        if (entry.owner.empty()) {
            reader.addProblem("owner", FieldProblemKind::OutOfRange, "the owner must not be empty");
        }
    }
    return entry;
}

nlohmann::json entryToJson(const CatalogueEntry &entry)
{
    return {{"name", entry.name.value},
            {"owner", entry.owner},
            {"class", entry.trafficClass},
            {"service", entry.service.value},
            {"limits",
             {{"ratePerSecond", entry.ratePerSecond}, {"concurrency", entry.concurrency}}},
            {"priority", entry.priority},
            {"deadlineMs", toFractionalMilliseconds(entry.deadline)},
            {"minimumCoverage", entry.minimumCoverage},
            {"hedgeBudget", entry.hedgeBudget},
            {"canary", entry.canary},
            {"merge", entry.merge == MergeKind::TopK ? "topK" : "concatenate"},
            {"topK", entry.topK}};
}

} // namespace

leaf::result<CatalogueEntry> parseCatalogueEntry(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    std::vector<FieldProblem> problems;
    CatalogueEntry entry = readEntry(json, problems, "");
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return entry;
}

std::string writeCatalogueEntry(const CatalogueEntry &entry)
{
    return entryToJson(entry).dump();
}

leaf::result<CatalogueChange> parseCatalogueChange(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    std::vector<FieldProblem> problems;
    CatalogueChange change;
    FieldReader reader(json, problems);
    reader.require({"revision", "changeId", "name"});
    reader.read("revision", change.revision.value, 1, std::numeric_limits<std::uint64_t>::max());
    reader.read("changeId", change.changeId);
    reader.read("author", change.author);
    reader.read("name", change.name.value);
    std::uint64_t acceptedAt = 0;
    reader.read("acceptedAtUs", acceptedAt, 0,
                static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    change.acceptedAt = WallTime(Duration(static_cast<Duration::rep>(acceptedAt)));
    if (const nlohmann::json *entry = reader.find("entry"); entry != nullptr && !entry->is_null()) {
        change.entry = readEntry(*entry, problems, "entry.");
        if (change.entry->name != change.name) {
            reader.addProblem("name", FieldProblemKind::Conflict, "differs from the entry's name");
        }
    }
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return change;
}

std::string writeCatalogueChange(const CatalogueChange &change)
{
    nlohmann::json json {{"revision", change.revision.value},
                         {"changeId", change.changeId},
                         {"author", change.author},
                         {"name", change.name.value},
                         {"acceptedAtUs", change.acceptedAt.time_since_epoch().count()}};
    if (change.entry) {
        json["entry"] = entryToJson(*change.entry);
    }
    return json.dump();
}

leaf::result<CatalogueHead> parseCatalogueHead(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    std::vector<FieldProblem> problems;
    CatalogueHead head;
    FieldReader reader(json, problems);
    reader.require({"revision", "changeId"});
    reader.read("revision", head.revision.value, 0, std::numeric_limits<std::uint64_t>::max());
    reader.read("changeId", head.changeId);
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return head;
}

std::string writeCatalogueHead(const CatalogueHead &head)
{
    return nlohmann::json {{"revision", head.revision.value}, {"changeId", head.changeId}}.dump();
}

} // namespace lagoondeck
