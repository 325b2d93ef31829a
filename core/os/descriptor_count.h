#pragma once

#include <cstddef>

namespace lagoondeck {

/// Returns how many descriptors this process has open, or 0 if the operating system doesn't tell.
std::size_t countOpenDescriptors();

} // namespace lagoondeck
