#include "logic/workload/connection_eviction.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

namespace lagoondeck {

namespace {

/// A peer that neither sent nor read for less than this is not slow: the event loop looks at a
/// connection only a few times a second when many others are busy.
constexpr Duration minQuietTime = std::chrono::seconds(1);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A connection and how strongly it should be closed.
struct Candidate
{
    std::uint64_t id = 0;
    std::size_t heldBytes = 0;
    double weight = 0.0;
    /// Candidates of a lower rank are closed first.
    int rank = 0;
};

void sortByWeight(std::vector<Candidate> &candidates)
{
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) {
        return left.rank != right.rank        ? left.rank < right.rank
                : left.weight != right.weight ? left.weight > right.weight
                                              : left.id < right.id;
    });
}

/// Returns true if the connections in a phase hold at most half of what all hold.
bool holdAtMostHalf(const std::vector<ConnectionLoad> &loads, ConnectionLoad::Phase phase)
{
    std::size_t inPhase = 0;
    std::size_t all = 0;
    for (const ConnectionLoad &load : loads) {
        inPhase += load.phase == phase ? load.heldBytes : 0;
        all += load.heldBytes;
    }
    return inPhase <= all / 2;
}

/// Returns the order in which connections are replaced, or -1 for one that is kept.
int replacementRank(const ConnectionLoad &load)
{
    const bool isSlow = load.quietFor >= minQuietTime;
    switch (load.phase) {
    case ConnectionLoad::Phase::Idle:
        return 0;
    case ConnectionLoad::Phase::Receiving:
        return isSlow ? 1 : 2;
    case ConnectionLoad::Phase::Answering:
        return isSlow ? 3 : -1;
    case ConnectionLoad::Phase::Waiting:
        break;
    }
    return -1;
}

} // namespace

std::vector<std::uint64_t>
ConnectionEviction::chooseHolders(const std::vector<ConnectionLoad> &loads, std::size_t excessBytes)
{
    std::map<std::string_view, double> bytesByPeer;
    for (const ConnectionLoad &load : loads) {
        bytesByPeer[load.peer] += static_cast<double>(load.heldBytes);
    }
    const bool sparesWaiting = holdAtMostHalf(loads, ConnectionLoad::Phase::Waiting);
    std::vector<Candidate> candidates;
    for (const ConnectionLoad &load : loads) {
        if (load.heldBytes == 0) {
            continue;
        }
        const bool peerMustAct = load.phase != ConnectionLoad::Phase::Waiting;
        const double slowness = 1.0 + (peerMustAct ? toSeconds(load.quietFor) : 0.0);
        const double size = std::sqrt(static_cast<double>(load.heldBytes) * bytesByPeer[load.peer]);
        const int rank = sparesWaiting && !peerMustAct ? 1 : 0;
        candidates.push_back({load.id, load.heldBytes, size * slowness, rank});
    }
    sortByWeight(candidates);
    std::vector<std::uint64_t> chosen;
    std::size_t freed = 0;
    for (const Candidate &candidate : candidates) {
        if (freed >= excessBytes) {
            break;
        }
        freed += candidate.heldBytes;
        chosen.push_back(candidate.id);
    }
    return chosen;
}

std::vector<std::uint64_t>
ConnectionEviction::chooseReplaceable(const std::vector<ConnectionLoad> &loads, std::size_t count)
{
    std::map<std::string_view, double> connectionsByPeer;
    for (const ConnectionLoad &load : loads) {
        connectionsByPeer[load.peer] += 1.0;
    }
    std::vector<Candidate> candidates;
    for (const ConnectionLoad &load : loads) {
        if (const int rank = replacementRank(load); rank >= 0) {
            candidates.push_back(
                    {load.id, 0, connectionsByPeer[load.peer] * toSeconds(load.quietFor), rank});
        }
    }
    sortByWeight(candidates);
    std::vector<std::uint64_t> chosen;
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i) {
        chosen.push_back(candidates[i].id);
    }
    return chosen;
}

} // namespace lagoondeck
