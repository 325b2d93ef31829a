#include "logic/workload/connection_bounds.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
/// What the process uses besides its connections: 14 MB when it is idle, and the rest for the
/// configuration and the targets.
constexpr std::size_t baseMegabytes = 32;
/// Replies of targets and of the store never hold more than this; one reply takes up to 32 MB.
constexpr std::size_t maxReplyBytes = 48 * bytesPerMegabyte;
/// The machines reserve so many descriptors for files.
constexpr std::size_t fileDescriptors = 200;
/// Targets, members and the store get at least this part of the descriptors.
constexpr std::size_t outgoingPart = 4;

} // namespace

std::size_t MachineShares::memoryShare(std::size_t eighths) const
{
    const std::size_t left =
            std::max<std::size_t>(this->memoryMegabytes, 2 * baseMegabytes) - baseMegabytes;
    return left * bytesPerMegabyte / 8 * eighths;
}

std::size_t MachineShares::callerBytes() const
{
    return this->memoryMegabytes == 0 ? ConnectionBounds::unlimited : this->memoryShare(3);
}

std::size_t MachineShares::targetReplyBytes() const
{
    return this->memoryMegabytes == 0 ? maxReplyBytes
                                      : std::min(maxReplyBytes, this->memoryShare(3));
}

std::size_t MachineShares::storeReplyBytes() const
{
    return this->memoryMegabytes == 0 ? maxReplyBytes
                                      : std::min(maxReplyBytes, this->memoryShare(2));
}

std::size_t MachineShares::callerConnections(std::size_t otherDescriptors) const
{
    if (this->maxDescriptors == 0) {
        return ConnectionBounds::unlimited;
    }
    const std::size_t others =
            std::max<std::size_t>(this->maxDescriptors / outgoingPart, otherDescriptors)
            + fileDescriptors;
    // At least one, so that an instance can serve someone whatever else it has open.
    return this->maxDescriptors > others ? this->maxDescriptors - others : 1;
}

} // namespace lagoondeck
