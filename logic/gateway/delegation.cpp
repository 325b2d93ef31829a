#include "logic/gateway/delegation.h"

namespace lagoondeck {

const char *toString(DelegationState state)
{
    switch (state) {
    case DelegationState::Accepted:
        return "accepted";
    case DelegationState::Busy:
        return "busy";
    case DelegationState::Leaving:
        return "leaving";
    case DelegationState::Outdated:
        return "outdated";
    case DelegationState::Expired:
        return "expired";
    case DelegationState::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace lagoondeck
