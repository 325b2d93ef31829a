#include "drivers/socket_interrupter.h"

#include <sys/socket.h>
#include <unistd.h>

namespace lagoondeck {

SocketInterrupter::~SocketInterrupter()
{
    this->closeDescriptorCopy();
}

bool SocketInterrupter::arm(int descriptor)
{
    const std::lock_guard lock(this->mutex);
    this->closeDescriptorCopy();
    if (this->interruptRequested) {
        return false;
    }
    this->descriptorCopy = ::dup(descriptor);
    return this->descriptorCopy >= 0;
}

void SocketInterrupter::disarm()
{
    const std::lock_guard lock(this->mutex);
    this->closeDescriptorCopy();
}

void SocketInterrupter::interrupt()
{
    const std::lock_guard lock(this->mutex);
    this->interruptRequested = true;
    if (this->descriptorCopy >= 0) {
        ::shutdown(this->descriptorCopy, SHUT_RDWR);
    }
}

bool SocketInterrupter::isInterrupted() const
{
    const std::lock_guard lock(this->mutex);
    return this->interruptRequested;
}

void SocketInterrupter::closeDescriptorCopy()
{
    if (this->descriptorCopy >= 0) {
        ::close(this->descriptorCopy);
        this->descriptorCopy = -1;
    }
}

} // namespace lagoondeck
