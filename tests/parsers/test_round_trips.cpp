#include "core/catalogue_codec.h"
#include "core/catalogue_keys.h"
#include "core/instance_list_codec.h"
#include "drivers/store_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

using namespace lagoondeck;

namespace {

std::string anyName()
{
    const auto character = rc::gen::elementOf(std::string("abcxyz019-."));
    return *rc::gen::resize(20, rc::gen::nonEmpty(rc::gen::container<std::string>(character)));
}

std::string anyText()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

CatalogueEntry anyEntry()
{
    CatalogueEntry entry;
    entry.name = EntryName {anyName()};
    entry.owner = "o" + anyText();
    entry.trafficClass = anyName();
    entry.service = ServiceName {anyName()};
    entry.ratePerSecond = *rc::gen::inRange(0, 1'000'000) / 7.0;
    entry.concurrency = *rc::gen::inRange<std::uint32_t>(0, 1'000'000);
    entry.priority = *rc::gen::inRange<std::uint32_t>(0, 10);
    entry.deadline = Duration(*rc::gen::inRange(1000, 300'000'000));
    entry.minimumCoverage = *rc::gen::inRange(0, 1000) / 999.0;
    entry.hedgeBudget = *rc::gen::inRange(0, 1000) / 2000.0;
    entry.canary = *rc::gen::arbitrary<bool>();
    entry.merge = *rc::gen::element(MergeKind::Concatenate, MergeKind::TopK);
    entry.topK = *rc::gen::inRange<std::uint32_t>(1, 10'000);
    return entry;
}

CatalogueChange anyChange()
{
    CatalogueChange change;
    change.revision = Revision {*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000'000ULL)};
    change.changeId = anyText();
    change.author = anyText();
    change.acceptedAt = WallTime(Duration(*rc::gen::inRange<std::int64_t>(0, 1LL << 60)));
    change.entry = anyEntry();
    change.name = change.entry->name;
    if (*rc::gen::arbitrary<bool>()) {
        change.entry.reset();
    }
    return change;
}

InstanceState anyState()
{
    return *rc::gen::element(InstanceState::Live, InstanceState::Leaving);
}

InstanceList anyInstanceList()
{
    InstanceList list;
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        const auto number = *rc::gen::inRange<std::uint32_t>(1, 10'000);
        list.targets.push_back({TargetId {anyText()}, ServiceName {anyText()}, ShardId {number},
                                anyText(), FailureDomain {anyText()}, anyState(), number, number});
        list.entries.push_back({InstanceId {anyText()}, anyText(), anyText(),
                                FailureDomain {anyText()}, anyState()});
    }
    return list;
}

/// Returns a number as JSON, either as a number or as a string; the store uses both.
nlohmann::json numberOf(std::uint64_t value)
{
    return *rc::gen::arbitrary<bool>() ? nlohmann::json(value)
                                       : nlohmann::json(std::to_string(value));
}

} // namespace

TEST_CASE("Catalogue entries, changes and heads are read back unchanged")
{
    rc::prop("entry", [] {
        const CatalogueEntry entry = anyEntry();
        RC_ASSERT(parseCatalogueEntry(writeCatalogueEntry(entry)).value() == entry);
    });
    rc::prop("change", [] {
        const CatalogueChange change = anyChange();
        RC_ASSERT(parseCatalogueChange(writeCatalogueChange(change)).value() == change);
    });
    rc::prop("head", [](std::uint64_t revision) {
        const CatalogueHead head {Revision {revision}, anyText()};
        RC_ASSERT(parseCatalogueHead(writeCatalogueHead(head)).value() == head);
    });
}

TEST_CASE("An instance list is read back unchanged")
{
    rc::prop("instance list", [] {
        const InstanceList list = anyInstanceList();
        RC_ASSERT(parseInstanceList(writeInstanceList(list)).value() == list);
    });
}

TEST_CASE("Keys of changes sort in the order of their revisions")
{
    rc::prop("order", [] {
        const auto left = *rc::gen::inRange<std::uint64_t>(0, 1'000'000'000'000ULL);
        const auto right = *rc::gen::inRange<std::uint64_t>(0, 1'000'000'000'000ULL);
        const std::string leftKey = catalogueChangeKey(Revision {left});
        const std::string rightKey = catalogueChangeKey(Revision {right});
        RC_ASSERT((leftKey < rightKey) == (left < right));
        RC_ASSERT(leftKey < catalogueChangesEnd());
    });
}

TEST_CASE("Keys and values with arbitrary bytes are read back from the store unchanged")
{
    // The reply is built from the encoded put request, because both use the same encoding.
    rc::prop("bytes", [](const std::string &key, const std::string &value, std::uint64_t revision) {
        StoreTransaction transaction;
        transaction.puts.push_back({key, value});
        const auto request = nlohmann::json::parse(writeStoreRequest(transaction));
        nlohmann::json item = request["success"][0]["request_put"];
        item["mod_revision"] = numberOf(revision);
        const nlohmann::json reply {{"header", {{"revision", numberOf(revision)}}},
                                    {"kvs", {std::move(item)}}};
        const StoreReply read = parseStoreReply(StoreRange {}, reply.dump()).value();
        RC_ASSERT(read.storeRevision == revision);
        RC_ASSERT(read.values == std::vector<StoreKeyValue>({{key, value, revision, 0}}));
    });
}
