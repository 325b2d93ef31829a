#include "logic/replication/relay_tree.h"

#include <algorithm>
#include <map>
#include <span>

namespace lagoondeck {

namespace {

using Positions = std::vector<std::size_t>;

/// Returns the members of each failure domain. Each list begins after the origin in the cyclic
/// order of all members, so that the inner nodes of the trees differ from origin to origin.
std::map<std::size_t, Positions> membersByDomain(const std::vector<std::size_t> &domains,
                                                 std::size_t origin)
{
    std::map<std::size_t, Positions> members;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        const std::size_t position = (origin + i) % domains.size();
        members[domains[position]].push_back(position);
    }
    return members;
}

/// Appends the children of a member in the tree of a list whose first member is the root.
void appendChildren(std::span<const std::size_t> tree, std::size_t self, Positions &children)
{
    const auto index = static_cast<std::size_t>(std::ranges::find(tree, self) - tree.begin());
    if (index == tree.size()) {
        return;
    }
    const std::size_t first = std::min(index * relayFanOut + 1, tree.size());
    const std::size_t last = std::min(first + relayFanOut, tree.size());
    children.insert(children.end(), tree.begin() + static_cast<std::ptrdiff_t>(first),
                    tree.begin() + static_cast<std::ptrdiff_t>(last));
}

} // namespace

std::vector<std::size_t> relayChildren(const std::vector<std::size_t> &domains, std::size_t origin,
                                       std::size_t self)
{
    Positions children;
    if (origin >= domains.size() || self >= domains.size()) {
        return children;
    }
    for (const auto &[domain, members] : membersByDomain(domains, origin)) {
        if (domain == domains[origin]) {
            appendChildren(members, self, children);
            continue;
        }
        const std::size_t partSize =
                (members.size() + relayEntriesPerDomain - 1) / relayEntriesPerDomain;
        for (std::size_t begin = 0; begin < members.size(); begin += partSize) {
            const std::span<const std::size_t> part =
                    std::span(members).subspan(begin, std::min(partSize, members.size() - begin));
            if (self == origin) {
                children.push_back(part.front());
            } else {
                appendChildren(part, self, children);
            }
        }
    }
    return children;
}

} // namespace lagoondeck
