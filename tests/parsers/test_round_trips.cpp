#include "core/catalogue_codec.h"
#include "core/catalogue_keys.h"
#include "core/instance_list_codec.h"
#include "drivers/edge/delegation_messages.h"
#include "drivers/edge/learned_state_messages.h"
#include "drivers/store_codec.h"
#include "mutation.h"
#include "platform/store_value_codec.h"
#include "proto/peer.pb.h"

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

namespace {

ClientAccount anyAccount()
{
    ClientAccount account;
    account.name = anyName();
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        account.keys.push_back(anyText());
    }
    if (*rc::gen::arbitrary<bool>()) {
        account.priority = *rc::gen::arbitrary<std::uint32_t>();
    }
    account.requestsPerSecond = *rc::gen::inRange(0, 1'000'000) / 7.0;
    account.burst = *rc::gen::inRange(0, 1'000'000) / 3.0;
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
        account.allowedRegions.emplace_back(anyText());
    }
    return account;
}

nlohmann::json accountJson(const ClientAccount &account)
{
    nlohmann::json regions = nlohmann::json::array();
    for (const Region &region : account.allowedRegions) {
        regions.push_back(region.value);
    }
    return {{"name", account.name},
            {"api_keys", account.keys},
            {"priority",
             account.priority ? nlohmann::json(*account.priority) : nlohmann::json(nullptr)},
            {"rate_per_s", account.requestsPerSecond},
            {"burst", account.burst},
            {"allowed_regions", std::move(regions)}};
}

HeaderFields anyIdentityFields()
{
    HeaderFields fields;
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        fields.emplace_back(*rc::gen::element<std::string>("Authorization", "authorization",
                                                           "Tenant", "TENANT"),
                            anyText());
    }
    return fields;
}

proto::PeerMessage delegatedMessage()
{
    ForwardedRequest request;
    request.method = "GET";
    request.path = "/a";
    request.requestId = anyText();
    request.fields = {{"X", anyText()}};
    request.identityFields = anyIdentityFields();
    request.account = *rc::gen::arbitrary<bool>() ? anyName() : "";
    DelegatedRequest query;
    query.request = std::make_shared<const ForwardedRequest>(std::move(request));
    return *writeDelegatedRequest(query, "b", "127.0.0.1:2");
}

} // namespace

TEST_CASE("Client accounts of a configuration are read as they were written")
{
    rc::prop("every field is kept", [] {
        nlohmann::json list = nlohmann::json::array();
        std::vector<ClientAccount> accounts;
        for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
            accounts.push_back(anyAccount());
            list.push_back(accountJson(accounts.back()));
        }
        const nlohmann::json document {
                {"version", 3}, {"routes", nlohmann::json::array()}, {"tenants", list}};
        const RoutingConfigPtr config = wire::readConfig(document.dump()).value();
        RC_ASSERT(config->accounts.size() == accounts.size());
        for (std::size_t i = 0; i < accounts.size(); ++i) {
            const ClientAccount &read = config->accounts[i];
            RC_ASSERT(read.name == accounts[i].name);
            RC_ASSERT(read.keys == accounts[i].keys);
            RC_ASSERT(read.priority == accounts[i].priority);
            RC_ASSERT(read.requestsPerSecond == accounts[i].requestsPerSecond);
            RC_ASSERT(read.burst == accounts[i].burst);
            RC_ASSERT(read.allowedRegions == accounts[i].allowedRegions);
        }
    });
}

TEST_CASE("A delegated request keeps the account, and its identity fields apart from the others")
{
    rc::prop("the fields are told apart", [] {
        const proto::PeerMessage message = delegatedMessage();
        const auto event = readDelegationMessage(message);
        RC_ASSERT(event.has_value());
        const ForwardedRequest &read = *std::get<RequestDelegated>(*event).query.request;
        RC_ASSERT(read.account == message.delegated_request().account());
        RC_ASSERT(read.fields.size() == 1U);
        const std::size_t sent =
                static_cast<std::size_t>(message.delegated_request().fields_size()) - 1;
        RC_ASSERT(read.identityFields.size() == sent);
    });
}

TEST_CASE("Mutated messages about accounts are read or refused, never more than that")
{
    rc::prop("no mutation ends the process", [] {
        LearnedState state;
        state.configVersion = *rc::gen::arbitrary<std::uint64_t>();
        const std::string valid = *rc::gen::arbitrary<bool>()
                ? delegatedMessage().SerializeAsString()
                : writeLearnedState(state, "b", "127.0.0.1:2")->SerializeAsString();
        proto::PeerMessage message;
        if (!message.ParseFromString(testing::mutateBytes(valid))) {
            return;
        }
        if (const auto event = readDelegationMessage(message);
            event && std::holds_alternative<RequestDelegated>(*event)) {
            for (const auto &[name, value] :
                 std::get<RequestDelegated>(*event).query.request->fields) {
                RC_ASSERT(!equalsIgnoringCase(name, "Authorization"));
                RC_ASSERT(!equalsIgnoringCase(name, "Tenant"));
            }
        }
        readLearnedState(message);
    });
}
