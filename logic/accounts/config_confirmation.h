#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

struct GatewayContext;

/// Keeps an instance that has started from admitting requests by a configuration that is older than
/// the one that members have in force: a key that they refuse would be accepted here.
///
/// What the store or the first member tells may be old: the store may have been restored from a
/// copy, and a seed may be cut off. So the instance waits until a few members have told the version
/// that they have in force. If one is newer, it asks for that configuration. Both waits are
/// bounded, because it is better to serve by an older configuration than not at all when nobody
/// answers.
class ConfigConfirmation
{
public:
    /// Starts waiting for the members' replies. Without this call, only newer versions are awaited.
    void begin() { this->awaitsReplies = true; }
    /// Called when a member told the version that it has in force.
    void onReported(const std::string &member, std::uint64_t version);
    /// Called after every event. Asks for a newer configuration and ends waits. `version` is 0 if
    /// this instance has no configuration; `hasReplies` is whether enough members have replied.
    void update(std::uint64_t version, bool hasReplies, GatewayContext &context);
    /// Returns true if requests may be admitted by the given version of the configuration.
    bool permits(std::uint64_t version) const
    {
        return !this->awaitsReplies && !this->awaitsNewer(version);
    }
    /// Returns when update() must be called next.
    Instant nextTimer() const;

private:
    bool awaitsNewer(std::uint64_t version) const
    {
        return this->newestVersion > version && this->newestVersion > this->abandonedVersion;
    }
    void requestNewer(std::uint64_t version, GatewayContext &context);

    bool awaitsReplies = false;
    /// Until when replies are awaited; empty before a configuration is known.
    std::optional<Instant> repliesUntil;
    std::uint64_t newestVersion = 0;
    /// The members that have the newest version in force.
    std::vector<std::string> newestMembers;
    std::size_t nextMember = 0;
    /// Until when the newest version is awaited; empty if it is not.
    std::optional<Instant> newestUntil;
    Instant requestAt = Instant::max();
    /// The version that no member sent in time.
    std::uint64_t abandonedVersion = 0;
};

} // namespace lagoondeck
