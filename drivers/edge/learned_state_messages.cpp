#include "drivers/edge/learned_state_messages.h"

#include "drivers/edge/stated_limit_codec.h"
#include "proto/peer.pb.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// More crashes make no difference to how long a request is refused.
constexpr std::uint32_t maxKnownCrashes = 64;

std::shared_ptr<proto::PeerMessage> createMessage(const std::string &sender,
                                                  const std::string &senderAddress)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(sender);
    message->set_sender_address(senderAddress);
    return message;
}

} // namespace

std::shared_ptr<const proto::PeerMessage> writeLearnedStateRequest(const std::string &sender,
                                                                   const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    message->mutable_learned_state_request();
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeLearnedState(const LearnedState &state,
                                                            const std::string &sender,
                                                            const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    proto::LearnedState &encoded = *message->mutable_learned_state();
    encoded.set_is_incomplete(!state.isComplete);
    encoded.set_config_version(state.configVersion);
    for (const SuspectRequest &suspect : state.suspects) {
        proto::SuspectRequest &row = *encoded.add_suspects();
        row.set_fingerprint(suspect.fingerprint.value);
        row.set_crashes(suspect.crashes);
        row.set_age_us(suspect.age.count());
    }
    writeStatedLimits(state.limits, *encoded.mutable_limits());
    for (const LeavingTarget &leaving : state.leavingTargets) {
        proto::LeavingTarget &row = *encoded.add_leaving_targets();
        row.set_target(leaving.target.value);
        row.set_started_at_ms(leaving.startedAtMs);
    }
    return message;
}

std::optional<LearnedStateRequested> readLearnedStateRequest(const proto::PeerMessage &message)
{
    if (!message.has_learned_state_request()) {
        return std::nullopt;
    }
    return LearnedStateRequested {message.sender_address()};
}

std::optional<LearnedStateReceived> readLearnedState(const proto::PeerMessage &message)
{
    if (!message.has_learned_state()) {
        return std::nullopt;
    }
    const proto::LearnedState &encoded = message.learned_state();
    LearnedStateReceived event {message.sender_address(), {}};
    event.state.isComplete = !encoded.is_incomplete();
    event.state.configVersion = encoded.config_version();
    for (const proto::SuspectRequest &row : encoded.suspects()) {
        event.state.suspects.push_back({Fingerprint(row.fingerprint()),
                                        std::min<std::uint32_t>(row.crashes(), maxKnownCrashes),
                                        std::max(Duration(row.age_us()), Duration(0))});
    }
    event.state.limits = readStatedLimits(encoded.limits());
    for (const proto::LeavingTarget &row : encoded.leaving_targets()) {
        event.state.leavingTargets.push_back({TargetId(row.target()), row.started_at_ms()});
    }
    return event;
}

} // namespace lagoondeck
