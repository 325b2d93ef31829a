#include "logic/gateway/relay_tree.h"

namespace lagoondeck {

std::vector<std::size_t> relayChildren(std::size_t origin, std::size_t self, std::size_t count)
{
    std::vector<std::size_t> children;
    if (origin >= count || self >= count) {
        return children;
    }
    const std::size_t fromOrigin = (self + count - origin) % count;
    for (std::size_t i = 1; i <= relayFanOut; ++i) {
        const std::size_t child = fromOrigin * relayFanOut + i;
        if (child < count) {
            children.push_back((origin + child) % count);
        }
    }
    return children;
}

} // namespace lagoondeck
