#include "base/unread_bytes.hpp"

#include <sys/ioctl.h>

namespace gooseberrywood::base
{

std::size_t unread_bytes(GSocket* socket)
{
    int count = 0;
    bool const is_known = ioctl(g_socket_get_fd(socket), FIONREAD, &count) == 0 && count > 0;
    return is_known ? static_cast<std::size_t>(count) : 0;
}

} // namespace gooseberrywood::base
