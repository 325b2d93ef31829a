#include "logic/catalogue/catalogue.h"
#include "logic/catalogue/catalogue_records.h"
#include "logic/invariant.h"
#include "proto/peer.pb.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

namespace {

CatalogueChange changeOf(std::uint64_t revision, const std::string &name, bool deleted = false)
{
    CatalogueChange change;
    change.revision = Revision(revision);
    change.changeId = "change-" + std::to_string(revision);
    change.author = "operator";
    change.acceptedAt = WallTime(Duration(1000 + revision));
    change.name = EntryName(name);
    if (!deleted) {
        change.entry = CatalogueEntry {};
        change.entry->name = change.name;
        change.entry->owner = "owner";
        change.entry->hedgeBudget = 0.25;
        change.entry->merge = MergeKind::TopK;
    }
    return change;
}

} // namespace

TEST_CASE("Changes are applied in order, deletions included")
{
    Catalogue catalogue;
    catalogue.apply(changeOf(1, "fit"));
    catalogue.apply(changeOf(2, "patterns"));
    catalogue.apply(changeOf(3, "fit", true));
    CHECK(catalogue.find(EntryName("fit")) == nullptr);
    REQUIRE(catalogue.find(EntryName("patterns")) != nullptr);
    CHECK(catalogue.revision() == Revision(3));
    CHECK(catalogue.headChangeId() == "change-3");
}

TEST_CASE("Applying a revision that does not follow the current one throws InvariantViolation")
{
    Catalogue catalogue;
    catalogue.apply(changeOf(1, "fit"));
    CHECK_THROWS_AS(catalogue.apply(changeOf(1, "fit")), InvariantViolation);
    CHECK_THROWS_AS(catalogue.apply(changeOf(3, "fit")), InvariantViolation);
    CHECK_THROWS_AS(catalogue.adopt({Revision(0), "", {}}), InvariantViolation);
    CHECK_THROWS_AS(catalogue.adopt({Revision(1), "another", {}}), InvariantViolation);
}

TEST_CASE("The log returns missing changes only as far as it reaches back")
{
    Catalogue catalogue;
    catalogue.adopt({Revision(10), "change-10", {}});
    catalogue.apply(changeOf(11, "fit"));
    catalogue.apply(changeOf(12, "fit"));
    CHECK(catalogue.changesAfter(Revision(10))->size() == 2);
    CHECK(catalogue.changesAfter(Revision(11))->front().revision == Revision(12));
    CHECK(catalogue.changesAfter(Revision(12))->empty());
    CHECK_FALSE(catalogue.changesAfter(Revision(9)).has_value());
    CHECK(catalogue.changeIdAt(Revision(10)) == "change-10");
    CHECK(catalogue.changeIdAt(Revision(11)) == "change-11");
    CHECK_FALSE(catalogue.changeIdAt(Revision(9)).has_value());
}

TEST_CASE("The log of changes is bounded")
{
    Catalogue catalogue;
    for (std::uint64_t revision = 1; revision <= 1000; ++revision) {
        catalogue.apply(changeOf(revision, "fit"));
    }
    CHECK_FALSE(catalogue.changesAfter(Revision(500)).has_value());
    CHECK(catalogue.changesAfter(Revision(990))->size() == 10);
    CHECK(catalogue.changeIdAt(Revision(990)) == "change-990");
}

TEST_CASE("A change survives conversion to a peer message record and back")
{
    for (const bool deleted : {false, true}) {
        const CatalogueChange change = changeOf(7, "fit", deleted);
        proto::ChangeRecord record;
        writeRecord(change, record);
        CHECK(readRecord(record) == change);
    }
    CHECK_FALSE(readRecord(proto::ChangeRecord()).has_value());
}
