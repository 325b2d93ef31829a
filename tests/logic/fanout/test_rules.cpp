#include "logic/catalogue/catalogue.h"
#include "logic/fanout/attempt_counts.h"
#include "logic/fanout/attempt_table.h"
#include "logic/fanout/dispatcher.h"
#include "logic/fanout/extra_load_budget.h"
#include "logic/fanout/merge.h"
#include "logic/fanout/reply_handler.h"
#include "logic/invariant.h"
#include "logic/stop_rule.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;

namespace {

/// Returns the invariant that the action violated; nullopt when it violated none.
template <typename Action>
std::optional<Invariant> violatedInvariant(Action &&action)
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

AttemptCounts anyCounts()
{
    AttemptCounts counts;
    counts.sent = *rc::gen::inRange<std::uint32_t>(0, 20);
    counts.provedNotRun = *rc::gen::inRange<std::uint32_t>(0, counts.sent + 1);
    counts.provedRan = *rc::gen::inRange<std::uint32_t>(0, counts.sent - counts.provedNotRun + 1);
    return counts;
}

} // namespace

TEST_CASE("The outcome follows from what is proved about the sub-requests")
{
    CHECK(rc::check("not run exactly when each sub-request is proved not run", [] {
        const AttemptCounts counts = anyCounts();
        const Outcome outcome = decideOutcome(counts, false);
        RC_ASSERT((outcome == Outcome::NotRun) == (counts.provedNotRun == counts.sent));
        RC_ASSERT((outcome == Outcome::Failed) == (counts.provedRan > 0));
        RC_ASSERT((outcome == Outcome::Unknown)
                  == (counts.provedRan == 0 && counts.unproved() > 0));
    }));
    CHECK(rc::check("enough coverage is always an answer",
                    [] { RC_ASSERT(decideOutcome(anyCounts(), true) == Outcome::Answered); }));
    CHECK(rc::check("checkOutcome accepts every decided outcome", [] {
        const AttemptCounts counts = anyCounts();
        checkOutcome(decideOutcome(counts, false), counts);
    }));
    CHECK(rc::check("with one more unproved sub-request the outcome is never not run", [] {
        AttemptCounts counts = anyCounts();
        ++counts.sent;
        RC_ASSERT(decideOutcome(counts, false) != Outcome::NotRun);
    }));
}

TEST_CASE("Merging a consistent query violates no invariant")
{
    Query query = answeredQuery();
    CHECK(coverageOf(query).shardsAnswered == 2);
    CHECK(mergeHits(query).size() == 2);
}

TEST_CASE("OneSnapshotPerAnswer fires for a reply from another version")
{
    Query query = answeredQuery();
    query.shards[1].answeredBy->snapshot = SnapshotVersion(8);
    CHECK(violatedInvariant([&] { coverageOf(query); }) == Invariant::OneSnapshotPerAnswer);
    CHECK(violatedInvariant([&] { mergeHits(query); }) == Invariant::OneSnapshotPerAnswer);
}

TEST_CASE("CoverageIsTrue fires for an answered shard without a reply to its own attempt")
{
    Query query = answeredQuery();
    query.shards[0].answeredBy.reset();
    CHECK(violatedInvariant([&] { coverageOf(query); }) == Invariant::CoverageIsTrue);
    query = answeredQuery();
    query.shards[0].answeredBy->shard = ShardId(1);
    CHECK(violatedInvariant([&] { coverageOf(query); }) == Invariant::CoverageIsTrue);
}

TEST_CASE("CoverageAddsUp fires when a needed shard is neither answered nor missing")
{
    Query query = answeredQuery();
    query.shards.pop_back();
    CHECK(violatedInvariant([&] { coverageOf(query); }) == Invariant::CoverageAddsUp);
}

TEST_CASE("ReplyBelongsToAttempt fires for another shard, another query or after a restart")
{
    Query query = answeredQuery();
    Attempt attempt;
    attempt.query = QueryId(1);
    attempt.key = {ServiceName("fit"), ShardId(1)};
    CHECK_FALSE(violatedInvariant([&] { checkReplyBelongs(query, query.shards[1], attempt); }));
    CHECK(violatedInvariant([&] { checkReplyBelongs(query, query.shards[0], attempt); })
          == Invariant::ReplyBelongsToAttempt);
    attempt.query = QueryId(2);
    CHECK(violatedInvariant([&] { checkReplyBelongs(query, query.shards[1], attempt); })
          == Invariant::ReplyBelongsToAttempt);
    attempt.query = QueryId(1);
    query.restarts = 1;
    CHECK(violatedInvariant([&] { checkReplyBelongs(query, query.shards[1], attempt); })
          == Invariant::ReplyBelongsToAttempt);
}

TEST_CASE("NotRunIsProved fires when a sub-request has no proof")
{
    CHECK(violatedInvariant([] {
              checkOutcome(Outcome::NotRun, {3, 2, 0});
          })
          == Invariant::NotRunIsProved);
    CHECK(violatedInvariant([] {
              checkOutcome(Outcome::Failed, {1, 1, 1});
          })
          == Invariant::NotRunIsProved);
}

TEST_CASE("AtMostOneSend fires for the second send of a request that is not idempotent")
{
    Query query;
    query.request.idempotent = false;
    ShardWork work;
    CHECK_FALSE(violatedInvariant([&] { checkSendAllowed(query, work); }));
    work.attemptsSent = 1;
    query.attemptCounts.sent = 1;
    CHECK(violatedInvariant([&] { checkSendAllowed(query, work); }) == Invariant::AtMostOneSend);
}

TEST_CASE("ConnectionCarriesOneAttempt fires for a second attempt on one connection")
{
    AttemptTable table;
    Attempt attempt;
    attempt.id = AttemptId(1);
    attempt.reservation.connection = ConnectionId(5);
    table.add(attempt);
    attempt.id = AttemptId(2);
    CHECK(violatedInvariant([&] { table.add(attempt); }) == Invariant::ConnectionCarriesOneAttempt);
    CHECK_FALSE(table.take(AttemptId(1), ConnectionId(6)));
    CHECK(table.take(AttemptId(1), ConnectionId(5)));
    CHECK_FALSE(table.take(AttemptId(1), ConnectionId(5)));
}

TEST_CASE("HedgeWithinBudget fires for a hedge that is not earned")
{
    ExtraLoadBudget budget(50.0, 0.0);
    budget.earn(0.05, 19);
    CHECK_FALSE(budget.canSpend());
    budget.earn(0.05);
    CHECK(budget.canSpend());
    budget.spend();
    CHECK(violatedInvariant([&] { budget.spend(); }) == Invariant::HedgeWithinBudget);
}

TEST_CASE("StopCutsNoRequest fires for a stop while a request is pending")
{
    CHECK_FALSE(violatedInvariant([] { checkStopIsComplete(0, false); }));
    CHECK_FALSE(violatedInvariant([] { checkStopIsComplete(1, true); }));
    CHECK(violatedInvariant([] { checkStopIsComplete(1, false); }) == Invariant::StopCutsNoRequest);
}

TEST_CASE("RevisionOnlyGrows fires for a change that is applied twice")
{
    Catalogue catalogue;
    CatalogueChange change;
    change.revision = Revision(1);
    change.name = EntryName("fit-check");
    catalogue.apply(change);
    CHECK(violatedInvariant([&] { catalogue.apply(change); }) == Invariant::RevisionOnlyGrows);
}
