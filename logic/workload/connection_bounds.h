#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace lagoondeck {

/// What the connections of one listener, or those to one kind of server, may hold together.
struct ConnectionBounds
{
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    std::size_t connections = unlimited;
    std::size_t heldBytes = unlimited;
};

/// Divides the memory and the descriptors of the machine among the connections of an instance.
class MachineShares
{
public:
    /// Zero means that the machine's size is unknown, so that no bound is derived from it.
    MachineShares(std::uint64_t memoryMegabytes, std::uint64_t maxDescriptors)
        : memoryMegabytes(memoryMegabytes), maxDescriptors(maxDescriptors)
    { }

    /// The bytes that the connections of callers may hold together.
    std::size_t callerBytes() const;
    /// The bytes that the incomplete replies of targets may hold together.
    std::size_t targetReplyBytes() const;
    /// The bytes that the incomplete replies of the store may hold together.
    std::size_t storeReplyBytes() const;
    /// How many connections callers may have while so many descriptors are used for other things.
    std::size_t callerConnections(std::size_t otherDescriptors) const;
    bool limitsDescriptors() const { return this->maxDescriptors > 0; }

private:
    /// Returns so many eighths of the memory that is left for connections.
    std::size_t memoryShare(std::size_t eighths) const;

    std::uint64_t memoryMegabytes;
    std::uint64_t maxDescriptors;
};

} // namespace lagoondeck
