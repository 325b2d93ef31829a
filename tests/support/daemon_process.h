#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lagoondeck {

/// How a process ended.
struct ProcessEnd
{
    /// The exit code; empty if a signal ended the process.
    std::optional<int> exitCode;
    /// The signal that ended the process; 0 if it exited.
    int signal = 0;
};

/// A child process. It is killed at the end of this object, and when this process ends.
class DaemonProcess
{
public:
    /// Starts a program with its arguments. Its output is appended to the log file.
    DaemonProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    pid_t id() const { return this->pid; }
    void signal(int number) const;
    /// Returns how the process ended, or nothing while it runs.
    std::optional<ProcessEnd> poll();

private:
    pid_t pid = 0;
    std::optional<ProcessEnd> end;
};

} // namespace lagoondeck
