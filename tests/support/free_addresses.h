#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lagoondeck {

/// Returns different addresses on which a process can listen. They share a loopback IP address that
/// hardly any other process uses.
std::vector<std::string> freeAddresses(std::size_t count);

} // namespace lagoondeck
