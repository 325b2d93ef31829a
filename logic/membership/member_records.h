#pragma once

#include "logic/membership/member.h"

#include <optional>

namespace lagoondeck {

namespace proto {
class MemberRecord;
}

/// Converts a member to its peer message record.
void writeRecord(const Member &member, proto::MemberRecord &record);
/// Converts a peer message record to a member. Returns nullopt when the id or the address is
/// missing.
std::optional<Member> readRecord(const proto::MemberRecord &record);

} // namespace lagoondeck
