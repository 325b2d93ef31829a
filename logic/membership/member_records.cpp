#include "logic/membership/member_records.h"

#include "proto/peer.pb.h"

namespace lagoondeck {

namespace {

MemberStatus statusOf(proto::MemberStatus status)
{
    switch (status) {
    case proto::MEMBER_SUSPECT:
        return MemberStatus::Suspect;
    case proto::MEMBER_LEAVING:
        return MemberStatus::Leaving;
    case proto::MEMBER_DEAD:
        return MemberStatus::Dead;
    default:
        return MemberStatus::Alive;
    }
}

proto::MemberStatus statusOf(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return proto::MEMBER_ALIVE;
    case MemberStatus::Suspect:
        return proto::MEMBER_SUSPECT;
    case MemberStatus::Leaving:
        return proto::MEMBER_LEAVING;
    case MemberStatus::Dead:
        return proto::MEMBER_DEAD;
    }
    return proto::MEMBER_DEAD;
}

} // namespace

void writeRecord(const Member &member, proto::MemberRecord &record)
{
    record.set_id(member.id.value);
    record.set_peer_address(member.peerAddress);
    record.set_http_address(member.httpAddress);
    record.set_failure_domain(member.failureDomain.value);
    record.set_status(statusOf(member.status));
    record.set_incarnation(member.incarnation);
}

std::optional<Member> readRecord(const proto::MemberRecord &record)
{
    if (record.id().empty() || record.peer_address().empty()) {
        return std::nullopt;
    }
    return Member {InstanceId(record.id()),   record.peer_address(),
                   record.http_address(),     FailureDomain(record.failure_domain()),
                   statusOf(record.status()), record.incarnation()};
}

} // namespace lagoondeck
