#include "operator/catalogue_client.h"
#include "operator/command_error.h"
#include "store_fixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <thread>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

constexpr Duration shortTimeout = std::chrono::milliseconds(200);
constexpr Duration longRetryTimeout = std::chrono::seconds(20);

CatalogueEntry makeEntry(const std::string &name)
{
    CatalogueEntry entry;
    entry.name = EntryName {name};
    entry.owner = "glove-office";
    entry.trafficClass = "inspection";
    entry.service = ServiceName {"fit"};
    return entry;
}

CatalogueEdits makePut(const std::string &name, const std::string &changeId,
                       std::optional<Revision> expect = std::nullopt)
{
    return {{{EntryName {name}, makeEntry(name)}}, "ama", expect, changeId, WallTime {}};
}

/// An operator's catalogue client with its connection and the error of its last call.
struct Operator
{
    explicit Operator(const std::string &address, Duration retryTimeout = longRetryTimeout)
        : store(address), client(store, shortTimeout, retryTimeout)
    { }

    /// Returns the applied changes; empty when the call failed.
    std::vector<CatalogueChange> apply(const CatalogueEdits &edits)
    {
        std::vector<CatalogueChange> changes;
        this->error.reset();
        runCommand(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_ASSIGN(changes, this->client.apply(edits));
                    return {};
                },
                [this](const CommandError &failure) { this->error = failure; });
        return changes;
    }

    std::vector<CatalogueChange> history()
    {
        return this->client.readChanges(Revision {1}, Revision {1000}).value();
    }

    StoreSession store;
    CatalogueClient client;
    std::optional<CommandError> error;
};

} // namespace

TEST_CASE("Edits of one command are applied together with consecutive revisions")
{
    StoreFixture store;
    Operator op(store.address());
    CatalogueEdits edits = makePut("a", "first");
    edits.edits.push_back({EntryName {"b"}, makeEntry("b")});
    REQUIRE(op.apply(edits).size() == 2);
    const CatalogueInForce inForce = op.client.readInForce().value();
    CHECK(inForce.head == CatalogueHead {Revision {2}, "first"});
    REQUIRE(inForce.entries.size() == 2);
    CHECK(inForce.entries[1].revision == Revision {2});
    CHECK(inForce.entries[1].entry == makeEntry("b"));
}

TEST_CASE("A deleted entry is removed and its deletion stays in the history")
{
    StoreFixture store;
    Operator op(store.address());
    op.apply(makePut("a", "first"));
    const CatalogueEdits deletion {{{EntryName {"a"}, std::nullopt}}, "ama", {}, "second", {}};
    REQUIRE(op.apply(deletion).size() == 1);
    CHECK(op.client.readInForce().value().entries.empty());
    CHECK_FALSE(op.history().at(1).entry);
    CHECK(op.apply(deletion).empty());
    CHECK(op.error->kind == "entry-not-found");
    CHECK(op.history().size() == 2);
}

TEST_CASE(
        "An edit is refused with the conflicting change when the entry changed after the expected "
        "revision")
{
    StoreFixture store;
    Operator op(store.address());
    op.apply(makePut("a", "first"));
    op.apply(makePut("b", "second"));
    CHECK(op.apply(makePut("a", "third", Revision {0})).empty());
    REQUIRE(op.error);
    CHECK(op.error->code == ExitCode::Conflict);
    CHECK(op.error->other->changeId == "first");
    // The change of the other entry at revision 2 is no conflict.
    CHECK(op.apply(makePut("a", "fourth", Revision {1})).size() == 1);
    CHECK(op.apply(makePut("a", "fifth", Revision {9})).empty());
    CHECK(op.error->kind == "revision-ahead");
    CHECK(op.history().size() == 3);
}

TEST_CASE("Operators that change different entries concurrently all succeed, with consecutive "
          "revisions")
{
    StoreFixture store;
    std::atomic<int> accepted = 0;
    std::vector<std::jthread> operators;
    for (int i = 0; i < 6; ++i) {
        operators.emplace_back([&, i] {
            Operator op(store.address());
            const std::string name = "entry-" + std::to_string(i);
            accepted += static_cast<int>(op.apply(makePut(name, name)).size());
        });
    }
    operators.clear();
    CHECK(accepted == 6);
    const auto history = Operator(store.address()).history();
    REQUIRE(history.size() == 6);
    for (std::size_t i = 0; i < history.size(); ++i) {
        CHECK(history[i].revision == Revision {i + 1});
    }
}

TEST_CASE("Of several operators that change one entry concurrently exactly one succeeds")
{
    StoreFixture store;
    std::atomic<int> accepted = 0;
    std::atomic<int> conflicts = 0;
    std::vector<std::jthread> operators;
    for (int i = 0; i < 6; ++i) {
        operators.emplace_back([&, i] {
            Operator op(store.address());
            accepted += static_cast<int>(
                    op.apply(makePut("a", std::to_string(i), Revision {0})).size());
            conflicts +=
                    op.error && op.error->code == ExitCode::Conflict && op.error->other ? 1 : 0;
        });
    }
    operators.clear();
    CHECK(accepted == 1);
    CHECK(conflicts == 5);
}

TEST_CASE("A change whose reply is lost is applied once and reported as applied")
{
    StoreFixture store;
    Operator op(store.address());
    REQUIRE(store.control(R"({"lostReplies":0.5})"));
    for (int i = 0; i < 8; ++i) {
        const auto changes = op.apply(makePut("a", std::to_string(i)));
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().revision == Revision {static_cast<std::uint64_t>(i + 1)});
    }
    CHECK(op.history().size() == 8);
}

TEST_CASE("A change without any reply is reported as uncertain and can be found by its id")
{
    StoreFixture store;
    Operator op(store.address(), std::chrono::milliseconds(400));
    REQUIRE(store.control(R"({"lostReplies":1.0})"));
    CHECK(op.apply(makePut("a", "mine")).empty());
    REQUIRE(op.error);
    CHECK(op.error->code == ExitCode::Uncertain);
    REQUIRE(store.control(R"({"lostReplies":0.0})"));
    REQUIRE(op.history().size() == 1);
    CHECK(op.history().front().changeId == "mine");
}

TEST_CASE("A change is not applied and reported as unavailable while the store is down")
{
    StoreFixture store;
    Operator op(store.address(), std::chrono::milliseconds(300));
    REQUIRE(store.control(R"({"outage":true})"));
    CHECK(op.apply(makePut("a", "mine")).empty());
    REQUIRE(op.error);
    CHECK(op.error->code == ExitCode::Unavailable);
    REQUIRE(store.control(R"({"outage":false})"));
    CHECK(op.client.readInForce().value().head.revision == Revision {0});
}
