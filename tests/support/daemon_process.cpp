#include "tests/support/daemon_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace lagoondeck {

namespace {

constexpr int exitCannotExecute = 127;
constexpr mode_t logFileMode = 0600;

} // namespace

DaemonProcess::DaemonProcess(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    for (const std::string &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid != 0) {
        return;
    }
    // Only functions that are safe between fork and exec of a process with threads.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(exitCannotExecute);
    }
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGPIPE}) {
        ::signal(number, SIG_DFL);
    }
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logFileMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments.data());
    _exit(exitCannotExecute);
}

DaemonProcess::~DaemonProcess()
{
    if (!this->poll()) {
        this->signal(SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

void DaemonProcess::signal(int number) const
{
    if (this->pid > 0 && !this->end) {
        kill(this->pid, number);
    }
}

std::optional<ProcessEnd> DaemonProcess::poll()
{
    int status = 0;
    if (!this->end && (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) == this->pid)) {
        this->end = WIFSIGNALED(status) ? ProcessEnd {std::nullopt, WTERMSIG(status)}
                                        : ProcessEnd {WEXITSTATUS(status), 0};
    }
    return this->end;
}

} // namespace lagoondeck
