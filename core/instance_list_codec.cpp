#include "core/instance_list_codec.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <boost/leaf/error.hpp>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint32_t maxShard = 1'000'000;
constexpr std::uint32_t maxSlots = 10'000;

void readState(FieldReader &reader, InstanceState &state)
{
    std::string text = "live";
    reader.read("state", text);
    if (text != "live" && text != "leaving") {
        reader.addProblem("state", FieldProblemKind::OutOfRange, "expected live or leaving");
    }
    state = text == "leaving" ? InstanceState::Leaving : InstanceState::Live;
}

const char *stateName(InstanceState state)
{
    return state == InstanceState::Leaving ? "leaving" : "live";
}

TargetInstance readTarget(const nlohmann::json &json, std::vector<FieldProblem> &problems,
                          const std::string &prefix)
{
    TargetInstance target;
    FieldReader reader(json, problems, prefix);
    reader.require({"id", "service", "shard", "address"});
    reader.read("id", target.id.value);
    reader.read("service", target.service.value);
    reader.read("shard", target.shard.value, 0, maxShard);
    reader.read("address", target.address);
    reader.read("failureDomain", target.failureDomain.value);
    reader.read("slots", target.slots, 1, maxSlots);
    reader.read("connectionCap", target.connectionCap, 1, maxSlots);
    readState(reader, target.state);
    return target;
}

EntryInstance readEntry(const nlohmann::json &json, std::vector<FieldProblem> &problems,
                        const std::string &prefix)
{
    EntryInstance entry;
    FieldReader reader(json, problems, prefix);
    reader.require({"id", "peerAddress"});
    reader.read("id", entry.id.value);
    reader.read("peerAddress", entry.peerAddress);
    reader.read("httpAddress", entry.httpAddress);
    reader.read("failureDomain", entry.failureDomain.value);
    readState(reader, entry.state);
    return entry;
}

/// Reads an array field, each element with the given function.
template <typename Element, typename ReadElement>
void readArray(FieldReader &reader, const char *name, std::vector<FieldProblem> &problems,
               std::vector<Element> &elements, ReadElement readElement)
{
    const nlohmann::json *array = reader.find(name);
    if (array == nullptr) {
        return;
    }
    if (!array->is_array()) {
        reader.addProblem(name, FieldProblemKind::WrongType, "expected an array");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const std::string prefix = std::string(name) + "[" + std::to_string(i) + "].";
        elements.push_back(readElement((*array)[i], problems, prefix));
    }
}

} // namespace

leaf::result<InstanceList> parseInstanceList(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    InstanceList list;
    std::vector<FieldProblem> problems;
    FieldReader reader(json, problems);
    readArray(reader, "targets", problems, list.targets, readTarget);
    readArray(reader, "entries", problems, list.entries, readEntry);
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return list;
}

std::string writeInstanceList(const InstanceList &list)
{
    nlohmann::json targets = nlohmann::json::array();
    for (const TargetInstance &target : list.targets) {
        targets.push_back({{"id", target.id.value},
                           {"service", target.service.value},
                           {"shard", target.shard.value},
                           {"address", target.address},
                           {"failureDomain", target.failureDomain.value},
                           {"state", stateName(target.state)},
                           {"slots", target.slots},
                           {"connectionCap", target.connectionCap}});
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const EntryInstance &entry : list.entries) {
        entries.push_back({{"id", entry.id.value},
                           {"peerAddress", entry.peerAddress},
                           {"httpAddress", entry.httpAddress},
                           {"failureDomain", entry.failureDomain.value},
                           {"state", stateName(entry.state)}});
    }
    return nlohmann::json {{"targets", std::move(targets)}, {"entries", std::move(entries)}}.dump();
}

} // namespace lagoondeck
