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
constexpr Duration longPatience = std::chrono::seconds(20);

CatalogueEntry entryNamed(const std::string &name)
{
    CatalogueEntry entry;
    entry.name = EntryName {name};
    entry.owner = "glove-office";
    entry.trafficClass = "inspection";
    entry.service = ServiceName {"fit"};
    return entry;
}

CatalogueEdits putOf(const std::string &name, const std::string &changeId,
                     std::optional<Revision> expect = std::nullopt)
{
    return {{{EntryName {name}, entryNamed(name)}}, "ama", expect, changeId, WallTime {}};
}

/// A connection with a client, and the error of its last call.
struct Operator
{
    explicit Operator(const std::string &address, Duration patience = longPatience)
        : store(address), client(store, shortTimeout, patience)
    { }

    /// The changes made; empty when the call failed with an error.
    std::vector<CatalogueChange> apply(const CatalogueEdits &edits)
    {
        std::vector<CatalogueChange> made;
        this->error.reset();
        runCommand(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_ASSIGN(made, this->client.apply(edits));
                    return {};
                },
                [this](const CommandError &failure) { this->error = failure; });
        return made;
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

TEST_CASE("Edits of one command take consecutive revisions together")
{
    StoreFixture store;
    Operator op(store.address());
    CatalogueEdits edits = putOf("a", "first");
    edits.edits.push_back({EntryName {"b"}, entryNamed("b")});
    REQUIRE(op.apply(edits).size() == 2);
    const CatalogueInForce inForce = op.client.readInForce().value();
    CHECK(inForce.head == CatalogueHead {Revision {2}, "first"});
    REQUIRE(inForce.entries.size() == 2);
    CHECK(inForce.entries[1].revision == Revision {2});
    CHECK(inForce.entries[1].entry == entryNamed("b"));
}

TEST_CASE("A deleted entry is gone and its deletion stays in the history")
{
    StoreFixture store;
    Operator op(store.address());
    op.apply(putOf("a", "first"));
    const CatalogueEdits deletion {{{EntryName {"a"}, std::nullopt}}, "ama", {}, "second", {}};
    REQUIRE(op.apply(deletion).size() == 1);
    CHECK(op.client.readInForce().value().entries.empty());
    CHECK_FALSE(op.history().at(1).entry);
    CHECK(op.apply(deletion).empty());
    CHECK(op.error->kind == "entry-not-found");
    CHECK(op.history().size() == 2);
}

TEST_CASE("A change of an entry that changed since is refused with the other change")
{
    StoreFixture store;
    Operator op(store.address());
    op.apply(putOf("a", "first"));
    op.apply(putOf("b", "second"));
    CHECK(op.apply(putOf("a", "third", Revision {0})).empty());
    REQUIRE(op.error);
    CHECK(op.error->code == ExitCode::Conflict);
    CHECK(op.error->other->changeId == "first");
    // The other entry's change at revision 2 does not stand in the way.
    CHECK(op.apply(putOf("a", "fourth", Revision {1})).size() == 1);
    CHECK(op.apply(putOf("a", "fifth", Revision {9})).empty());
    CHECK(op.error->kind == "revision-ahead");
    CHECK(op.history().size() == 3);
}

TEST_CASE("Racing operators of different entries all succeed with dense revisions")
{
    StoreFixture store;
    std::atomic<int> accepted = 0;
    std::vector<std::jthread> operators;
    for (int i = 0; i < 6; ++i) {
        operators.emplace_back([&, i] {
            Operator op(store.address());
            const std::string name = "entry-" + std::to_string(i);
            accepted += static_cast<int>(op.apply(putOf(name, name)).size());
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

TEST_CASE("Of operators racing for one entry exactly one is accepted")
{
    StoreFixture store;
    std::atomic<int> accepted = 0;
    std::atomic<int> conflicts = 0;
    std::vector<std::jthread> operators;
    for (int i = 0; i < 6; ++i) {
        operators.emplace_back([&, i] {
            Operator op(store.address());
            accepted +=
                    static_cast<int>(op.apply(putOf("a", std::to_string(i), Revision {0})).size());
            conflicts +=
                    op.error && op.error->code == ExitCode::Conflict && op.error->other ? 1 : 0;
        });
    }
    operators.clear();
    CHECK(accepted == 1);
    CHECK(conflicts == 5);
}

TEST_CASE("Changes whose replies are lost take effect once and are told so")
{
    StoreFixture store;
    Operator op(store.address());
    REQUIRE(store.control(R"({"lostReplies":0.5})"));
    for (int i = 0; i < 8; ++i) {
        const auto made = op.apply(putOf("a", std::to_string(i)));
        REQUIRE(made.size() == 1);
        CHECK(made.front().revision == Revision {static_cast<std::uint64_t>(i + 1)});
    }
    CHECK(op.history().size() == 8);
}

TEST_CASE("A change that can't be resolved is told as uncertain, and is found by its id")
{
    StoreFixture store;
    Operator op(store.address(), std::chrono::milliseconds(400));
    REQUIRE(store.control(R"({"lostReplies":1.0})"));
    CHECK(op.apply(putOf("a", "mine")).empty());
    REQUIRE(op.error);
    CHECK(op.error->code == ExitCode::Uncertain);
    REQUIRE(store.control(R"({"lostReplies":0.0})"));
    REQUIRE(op.history().size() == 1);
    CHECK(op.history().front().changeId == "mine");
}

TEST_CASE("With the store down nothing is applied and that is said")
{
    StoreFixture store;
    Operator op(store.address(), std::chrono::milliseconds(300));
    REQUIRE(store.control(R"({"outage":true})"));
    CHECK(op.apply(putOf("a", "mine")).empty());
    REQUIRE(op.error);
    CHECK(op.error->code == ExitCode::Unavailable);
    REQUIRE(store.control(R"({"outage":false})"));
    CHECK(op.client.readInForce().value().head.revision == Revision {0});
}
