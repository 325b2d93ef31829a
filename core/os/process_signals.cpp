#include "core/os/process_signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <Poco/Net/SocketImpl.h>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace lagoondeck {

namespace {

sigset_t controlSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    return signals;
}

int blockAndOpen()
{
    const sigset_t signals = controlSignals();
    if (const int error = pthread_sigmask(SIG_BLOCK, &signals, nullptr); error != 0) {
        throw std::system_error(error, std::generic_category(), "pthread_sigmask");
    }
    const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "signalfd");
    }
    return descriptor;
}

/// Lets a poll set wait for a descriptor that is not a socket. Closes it at the end.
class DescriptorImpl : public Poco::Net::SocketImpl
{
public:
    explicit DescriptorImpl(int descriptor) : Poco::Net::SocketImpl(descriptor) { }
};

class DescriptorSocket : public Poco::Net::Socket
{
public:
    explicit DescriptorSocket(int descriptor)
        : Poco::Net::Socket(new DescriptorImpl(descriptor)) { }
};

} // namespace

ProcessSignals::ProcessSignals() : socket(DescriptorSocket(blockAndOpen()))
{
    std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals()
{
    this->receive();
}

void ProcessSignals::receive()
{
    signalfd_siginfo signal {};
    while (::read(this->socket.impl()->sockfd(), &signal, sizeof signal)
           == static_cast<ssize_t>(sizeof signal)) {
        if (signal.ssi_signo == SIGHUP) {
            this->reloadRequested = true;
        } else {
            this->stopRequested = true;
        }
    }
}

bool ProcessSignals::takeReloadRequest()
{
    return std::exchange(this->reloadRequested, false);
}

} // namespace lagoondeck
