#include "logic/replication/state_digest.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

using namespace lagoondeck;

namespace {

StoreChange targetItem(const std::string &id, bool leaving = false, Duration warmupLeft = {})
{
    StoreChange change;
    change.kind = StoreKeyKind::Target;
    change.key = "targets/" + id;
    change.id = id;
    TargetRecord record;
    record.id = TargetId(id);
    record.leaving = leaving;
    record.warmupLeft = warmupLeft;
    change.content = record;
    return change;
}

std::map<std::string, StoreChange> stateOf(std::initializer_list<StoreChange> items)
{
    std::map<std::string, StoreChange> state;
    for (const StoreChange &item : items) {
        state.emplace(item.key, item);
    }
    return state;
}

std::size_t countDifferences(const std::vector<std::uint64_t> &left,
                             const std::vector<std::uint64_t> &right)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        count += left[i] == right[i] ? 0 : 1;
    }
    return count;
}

} // namespace

// Guards against a member that is sent nothing although it misses a change.
TEST_CASE("a change of one key changes the hash of its part only")
{
    const auto before = bucketDigests(stateOf({targetItem("a"), targetItem("b"), targetItem("c")}));
    CHECK(before.size() == stateBuckets);
    CHECK(countDifferences(
                  before,
                  bucketDigests(stateOf({targetItem("a"), targetItem("b", true), targetItem("c")})))
          == 1);
    CHECK(countDifferences(before, bucketDigests(stateOf({targetItem("a"), targetItem("c")})))
          == 1);
}

// Guards against state that is sent again and again because targets write their entries often.
TEST_CASE("the remaining warm-up time of a target does not count")
{
    CHECK(bucketDigests(stateOf({targetItem("a")}))
          == bucketDigests(stateOf({targetItem("a", false, std::chrono::seconds(2))})));
}

TEST_CASE("the value of a member's registration counts, and the configuration does not")
{
    StoreChange member;
    member.kind = StoreKeyKind::Member;
    member.key = "members/a";
    member.encodedValue = std::make_shared<const std::string>("one");
    const auto before = bucketDigests(stateOf({member}));
    member.encodedValue = std::make_shared<const std::string>("two");
    CHECK(countDifferences(before, bucketDigests(stateOf({member}))) == 1);

    StoreChange config;
    config.kind = StoreKeyKind::Config;
    config.key = "config";
    const auto digests = bucketDigests(stateOf({config}));
    CHECK(std::ranges::count(digests, 0U) == static_cast<std::ptrdiff_t>(stateBuckets));
}
