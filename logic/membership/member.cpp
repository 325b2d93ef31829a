#include "logic/membership/member.h"

namespace lagoondeck {

const char *toString(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Leaving:
        return "leaving";
    case MemberStatus::Dead:
        return "dead";
    }
    return "dead";
}

} // namespace lagoondeck
