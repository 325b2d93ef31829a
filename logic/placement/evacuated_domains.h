#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace lagoondeck {

/// The failure domains to which the operator lets nothing be sent, as the store lists them.
class EvacuatedDomains
{
public:
    /// Adds a domain. Returns false if it is evacuated already.
    bool add(const FailureDomain &domain, Instant now)
    {
        return this->begunAt.emplace(domain, now).second;
    }
    /// Removes a domain. Returns when its evacuation began; nothing if it is not evacuated.
    std::optional<Instant> remove(const FailureDomain &domain)
    {
        const auto entry = this->begunAt.extract(domain);
        return entry.empty() ? std::nullopt : std::optional(entry.mapped());
    }
    bool contains(const FailureDomain &domain) const { return this->begunAt.contains(domain); }
    bool empty() const { return this->begunAt.empty(); }
    std::size_t size() const { return this->begunAt.size(); }

private:
    std::map<FailureDomain, Instant> begunAt;
};

} // namespace lagoondeck
