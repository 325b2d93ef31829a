#include "logic/catalogue/catalogue.h"
#include "logic/fanout/attempt_ledger.h"
#include "logic/fanout/attempt_table.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/extra_load_budget.h"
#include "logic/fanout/merge.h"
#include "logic/fanout/reply_taker.h"
#include "logic/invariant.h"
#include "logic/stop_rule.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;

namespace {

/// The rule that the action broke; none when it broke none.
template <typename Action>
std::optional<Invariant> brokenBy(Action &&action)
{
    try {
        action();
    } catch (const InvariantViolation &violation) {
        return violation.invariant();
    }
    return std::nullopt;
}

/// A query of two shards, both answered from its snapshot.
Query answeredQuery()
{
    Query query;
    query.request.query = QueryId(1);
    query.entry.service = ServiceName("fit");
    query.snapshot = {SnapshotVersion(7), 2};
    query.shardsNeeded = 2;
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
        ShardWork work;
        work.shard = ShardId(shard);
        work.phase = ShardPhase::Answered;
        work.answeredBy = ShardReply {AttemptId(shard + 1), ShardId(shard), SnapshotVersion(7)};
        work.hits = {{0.5, "1"}};
        query.shards.push_back(work);
    }
    return query;
}

AttemptLedger anyLedger()
{
    AttemptLedger ledger;
    ledger.sent = *rc::gen::inRange<std::uint32_t>(0, 20);
    ledger.provedNotRun = *rc::gen::inRange<std::uint32_t>(0, ledger.sent + 1);
    ledger.provedRan = *rc::gen::inRange<std::uint32_t>(0, ledger.sent - ledger.provedNotRun + 1);
    return ledger;
}

} // namespace

TEST_CASE("Outcomes follow from what is proved")
{
    CHECK(rc::check("not run exactly when each sub-request is proved not run", [] {
        const AttemptLedger ledger = anyLedger();
        const Outcome outcome = decideOutcome(ledger, false);
        RC_ASSERT((outcome == Outcome::NotRun) == (ledger.provedNotRun == ledger.sent));
        RC_ASSERT((outcome == Outcome::Failed) == (ledger.provedRan > 0));
        RC_ASSERT((outcome == Outcome::Unknown)
                  == (ledger.provedRan == 0 && ledger.unproved() > 0));
    }));
    CHECK(rc::check("enough coverage is always an answer",
                    [] { RC_ASSERT(decideOutcome(anyLedger(), true) == Outcome::Answered); }));
    CHECK(rc::check("the check lets every decided outcome pass", [] {
        const AttemptLedger ledger = anyLedger();
        checkOutcome(decideOutcome(ledger, false), ledger);
    }));
    CHECK(rc::check("one more sub-request without a proof is never not run", [] {
        AttemptLedger ledger = anyLedger();
        ++ledger.sent;
        RC_ASSERT(decideOutcome(ledger, false) != Outcome::NotRun);
    }));
}

TEST_CASE("The merge of a true query breaks no rule")
{
    Query query = answeredQuery();
    CHECK(coverageOf(query).shardsAnswered == 2);
    CHECK(mergeHits(query).size() == 2);
}

TEST_CASE("OneSnapshotPerAnswer fires for a reply from another version")
{
    Query query = answeredQuery();
    query.shards[1].answeredBy->snapshot = SnapshotVersion(8);
    CHECK(brokenBy([&] { coverageOf(query); }) == Invariant::OneSnapshotPerAnswer);
    CHECK(brokenBy([&] { mergeHits(query); }) == Invariant::OneSnapshotPerAnswer);
}

TEST_CASE("CoverageIsTrue fires for an answered shard without a reply of its own")
{
    Query query = answeredQuery();
    query.shards[0].answeredBy.reset();
    CHECK(brokenBy([&] { coverageOf(query); }) == Invariant::CoverageIsTrue);
    query = answeredQuery();
    query.shards[0].answeredBy->shard = ShardId(1);
    CHECK(brokenBy([&] { coverageOf(query); }) == Invariant::CoverageIsTrue);
}

TEST_CASE("CoverageAddsUp fires when a needed shard is forgotten")
{
    Query query = answeredQuery();
    query.shards.pop_back();
    CHECK(brokenBy([&] { coverageOf(query); }) == Invariant::CoverageAddsUp);
}

TEST_CASE("ReplyBelongsToAttempt fires for a foreign shard, query or round")
{
    Query query = answeredQuery();
    Attempt attempt;
    attempt.query = QueryId(1);
    attempt.key = {ServiceName("fit"), ShardId(1)};
    CHECK_FALSE(brokenBy([&] { checkBelongs(query, query.shards[1], attempt); }));
    CHECK(brokenBy([&] { checkBelongs(query, query.shards[0], attempt); })
          == Invariant::ReplyBelongsToAttempt);
    attempt.query = QueryId(2);
    CHECK(brokenBy([&] { checkBelongs(query, query.shards[1], attempt); })
          == Invariant::ReplyBelongsToAttempt);
    attempt.query = QueryId(1);
    query.restarts = 1;
    CHECK(brokenBy([&] { checkBelongs(query, query.shards[1], attempt); })
          == Invariant::ReplyBelongsToAttempt);
}

TEST_CASE("NotRunIsProved fires when a sub-request has no proof")
{
    CHECK(brokenBy([] { checkOutcome(Outcome::NotRun, {3, 2, 0}); }) == Invariant::NotRunIsProved);
    CHECK(brokenBy([] { checkOutcome(Outcome::Failed, {1, 1, 1}); }) == Invariant::NotRunIsProved);
}

TEST_CASE("AtMostOneSend fires for the second send of a request that is not idempotent")
{
    Query query;
    query.request.idempotent = false;
    ShardWork work;
    CHECK_FALSE(brokenBy([&] { checkMaySend(query, work); }));
    work.attemptsSent = 1;
    query.ledger.sent = 1;
    CHECK(brokenBy([&] { checkMaySend(query, work); }) == Invariant::AtMostOneSend);
}

TEST_CASE("ConnectionCarriesOneAttempt fires for a second attempt on one connection")
{
    AttemptTable table;
    Attempt attempt;
    attempt.id = AttemptId(1);
    attempt.reservation.connection = ConnectionId(5);
    table.add(attempt);
    attempt.id = AttemptId(2);
    CHECK(brokenBy([&] { table.add(attempt); }) == Invariant::ConnectionCarriesOneAttempt);
    CHECK_FALSE(table.take(AttemptId(1), ConnectionId(6)));
    CHECK(table.take(AttemptId(1), ConnectionId(5)));
    CHECK_FALSE(table.take(AttemptId(1), ConnectionId(5)));
}

TEST_CASE("HedgeWithinBudget fires for a hedge that is not earned")
{
    ExtraLoadBudget budget(50.0, 0.0);
    budget.earn(0.05, 19);
    CHECK_FALSE(budget.allows());
    budget.earn(0.05);
    CHECK(budget.allows());
    budget.spend();
    CHECK(brokenBy([&] { budget.spend(); }) == Invariant::HedgeWithinBudget);
}

TEST_CASE("StopCutsNoRequest fires for a stop that leaves a request behind")
{
    CHECK_FALSE(brokenBy([] { checkStopCutsNothing(0, false); }));
    CHECK_FALSE(brokenBy([] { checkStopCutsNothing(1, true); }));
    CHECK(brokenBy([] { checkStopCutsNothing(1, false); }) == Invariant::StopCutsNoRequest);
}

TEST_CASE("RevisionOnlyGrows fires for a change that comes again")
{
    Catalogue catalogue;
    CatalogueChange change;
    change.revision = Revision(1);
    change.name = EntryName("fit-check");
    catalogue.apply(change);
    CHECK(brokenBy([&] { catalogue.apply(change); }) == Invariant::RevisionOnlyGrows);
}
