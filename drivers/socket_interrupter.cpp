#include "drivers/socket_interrupter.h"

#include <sys/socket.h>
#include <unistd.h>

namespace lagoondeck {

SocketInterrupter::~SocketInterrupter()
{
    this->closeCopy();
}

bool SocketInterrupter::arm(int descriptor)
{
    const std::lock_guard lock(this->mutex);
    this->closeCopy();
    if (this->stopped) {
        return false;
    }
    this->copy = ::dup(descriptor);
    return this->copy >= 0;
}

void SocketInterrupter::disarm()
{
    const std::lock_guard lock(this->mutex);
    this->closeCopy();
}

void SocketInterrupter::interrupt()
{
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    if (this->copy >= 0) {
        ::shutdown(this->copy, SHUT_RDWR);
    }
}

bool SocketInterrupter::interrupted() const
{
    const std::lock_guard lock(this->mutex);
    return this->stopped;
}

void SocketInterrupter::closeCopy()
{
    if (this->copy >= 0) {
        ::close(this->copy);
        this->copy = -1;
    }
}

} // namespace lagoondeck
