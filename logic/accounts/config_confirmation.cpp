#include "logic/accounts/config_confirmation.h"

#include "logic/gateway/gateway_effects.h"

#include <algorithm>
#include <memory>

namespace lagoondeck {

namespace {

/// Twice the time after which a member that does not reply is replaced by another one (300 ms, see
/// LearnedStateSync), so that one that is gone does not decide.
constexpr Duration maxReplyWait = std::chrono::milliseconds(600);
/// Four requests. A member that is reading the store anew can't answer for some hundred
/// milliseconds.
constexpr Duration maxNewerWait = std::chrono::seconds(2);
/// The same interval as between state requests while the store can't be reached.
constexpr Duration requestInterval = std::chrono::milliseconds(500);

} // namespace

void ConfigConfirmation::onReported(const std::string &member, std::uint64_t version)
{
    if (version > this->newestVersion) {
        this->newestVersion = version;
        this->newestMembers.clear();
        this->nextMember = 0;
        this->newestUntil.reset();
    }
    if (version == this->newestVersion && version > 0
        && std::ranges::find(this->newestMembers, member) == this->newestMembers.end()) {
        this->newestMembers.push_back(member);
    }
}

void ConfigConfirmation::update(std::uint64_t version, bool hasReplies, GatewayContext &context)
{
    if (version == 0) {
        return;
    }
    if (this->awaitsReplies) {
        if (!this->repliesUntil) {
            this->repliesUntil = context.now + maxReplyWait;
        }
        this->awaitsReplies = !hasReplies && context.now < *this->repliesUntil;
    }
    if (this->awaitsNewer(version)) {
        this->requestNewer(version, context);
    } else {
        this->newestUntil.reset();
        this->requestAt = Instant::max();
    }
}

void ConfigConfirmation::requestNewer(std::uint64_t version, GatewayContext &context)
{
    const std::vector<LogField> fields {
            numberField("version", static_cast<std::int64_t>(version)),
            numberField("newestVersion", static_cast<std::int64_t>(this->newestVersion))};
    if (!this->newestUntil) {
        this->newestUntil = context.now + maxNewerWait;
        this->requestAt = context.now;
        context.log(LogEvent::ConfigBehind, fields);
    }
    if (context.now >= *this->newestUntil) {
        this->abandonedVersion = this->newestVersion;
        this->newestUntil.reset();
        this->requestAt = Instant::max();
        context.log(LogEvent::NewerConfigMissing, fields);
        return;
    }
    if (context.now >= this->requestAt) {
        this->requestAt = context.now + requestInterval;
        auto request = std::make_shared<StoreUpdate>();
        request->isStateRequest = true;
        const std::string &member =
                this->newestMembers[this->nextMember++ % this->newestMembers.size()];
        context.emit(SendStoreUpdate {{member}, std::move(request)});
    }
}

Instant ConfigConfirmation::nextTimer() const
{
    Instant next =
            this->awaitsReplies ? this->repliesUntil.value_or(Instant::max()) : Instant::max();
    if (this->newestUntil) {
        next = std::min({next, *this->newestUntil, this->requestAt});
    }
    return next;
}

} // namespace lagoondeck
