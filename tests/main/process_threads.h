#pragma once

#include <sys/syscall.h>
#include <sys/types.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace lagoondeck {

/// The threads of another process.
class ProcessThreads
{
public:
    explicit ProcessThreads(pid_t process)
        : process(process), folder("/proc/" + std::to_string(process) + "/task")
    { }

    std::vector<pid_t> ids() const
    {
        std::vector<pid_t> ids;
        for (const auto &entry : std::filesystem::directory_iterator(this->folder)) {
            ids.push_back(std::atoi(entry.path().filename().c_str()));
        }
        return ids;
    }

    bool blocksSignal(pid_t thread, int number) const
    {
        std::ifstream status(this->folder / std::to_string(thread) / "status");
        const std::string name = "SigBlk:";
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name)) {
                const std::uint64_t mask = std::strtoull(line.c_str() + name.size(), nullptr, 16);
                return (mask >> (number - 1) & 1) != 0;
            }
        }
        return false;
    }

    /// Sends a signal to each thread. The kernel gives a signal to the process to any one that does
    /// not block it.
    void signalEach(int number) const
    {
        for (const pid_t thread : this->ids()) {
            syscall(SYS_tgkill, this->process, thread, number);
        }
    }

private:
    pid_t process;
    std::filesystem::path folder;
};

} // namespace lagoondeck
