#pragma once

#include "logic/membership/member.h"

#include <optional>

namespace lagoondeck {

namespace proto {
class MemberRecord;
}

/// Writes a member as a peer message carries it.
void writeRecord(const Member &member, proto::MemberRecord &record);
/// Reads a member of a peer message; empty when it names nothing.
std::optional<Member> readRecord(const proto::MemberRecord &record);

} // namespace lagoondeck
