#include "core/os/descriptor_count.h"

#include <filesystem>
#include <iterator>
#include <system_error>

namespace lagoondeck {

std::size_t countOpenDescriptors()
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/self/fd", error), end;
         !error && entry != end; entry.increment(error)) {
        ++count;
    }
    return count;
}

} // namespace lagoondeck
