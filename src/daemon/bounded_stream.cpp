#include "daemon/bounded_stream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>

#include "daemon/clock.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

/// A byte of a line may take this many bytes of memory, if its fields are short.
constexpr std::size_t lineWeight = 32;
constexpr microseconds writePause = 5 * second;

std::atomic<std::size_t> bytesInUse {0};

bool reserveBytes(std::size_t bytes)
{
    if (bytesInUse.fetch_add(bytes) + bytes > receivedBudgetBytes) {
        bytesInUse.fetch_sub(bytes);
        return false;
    }
    return true;
}

void splitAddress(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.ss_family == AF_INET) {
        const auto &known = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &known.sin_addr, text.data(), text.size());
        port = ntohs(known.sin_port);
    }
    ip = text.data();
}

} // namespace

bool waitForSocket(socket_t sock, short events, microseconds time)
{
    pollfd waiting {sock, events, 0};
    const auto timeout = static_cast<int>(std::max<microseconds>(time, 0) / millisecond);
    return poll(&waiting, 1, timeout) > 0;
}

bounded_stream::bounded_stream(socket_t sock, const stream_limits &limits)
    : m_socket(sock)
    , m_limits(limits)
{
}

bounded_stream::~bounded_stream()
{
    releaseBytes();
}

void bounded_stream::beginMessage(timestamp readBy)
{
    releaseBytes();
    m_lineBytes = 0;
    m_dataBytes = 0;
    m_readBy = readBy;
}

bool bounded_stream::is_readable() const
{
    return hasBufferedBytes() || waitForSocket(m_socket, POLLIN, m_limits.readPause);
}

bool bounded_stream::is_writable() const
{
    return waitForSocket(m_socket, POLLOUT, writePause);
}

ssize_t bounded_stream::read(char *ptr, size_t size)
{
    if (m_isBeyondLimit || (!hasBufferedBytes() && !fillBuffer())) {
        return -1;
    }
    const std::size_t count = std::min(size, m_end - m_begin);
    if (!countBytes(size == 1, count)) {
        m_isBeyondLimit = true;
        logWarning("event=message-beyond-limits reason=\"a message exceeds a limit of size or "
                   "memory; its connection is closed\"");
        return -1;
    }
    std::copy_n(m_buffer.begin() + m_begin, count, ptr);
    m_begin += count;
    return static_cast<ssize_t>(count);
}

ssize_t bounded_stream::write(const char *ptr, size_t size)
{
    return is_writable() ? send(m_socket, ptr, size, MSG_NOSIGNAL) : -1;
}

void bounded_stream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address {};
    socklen_t size = sizeof address;
    getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    splitAddress(address, ip, port);
}

void bounded_stream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address {};
    socklen_t size = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    splitAddress(address, ip, port);
}

bool bounded_stream::fillBuffer()
{
    const microseconds left = m_readBy - currentTime();
    if (left <= 0 || !waitForSocket(m_socket, POLLIN, std::min(left, m_limits.readPause))) {
        return false;
    }
    const ssize_t size = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    m_begin = 0;
    m_end = size > 0 ? static_cast<std::size_t>(size) : 0;
    return size > 0;
}

bool bounded_stream::countBytes(bool isLine, std::size_t count)
{
    (isLine ? m_lineBytes : m_dataBytes) += count;
    const std::size_t weight = count * (isLine ? lineWeight : 1);
    if (m_lineBytes > m_limits.lineBytes || m_dataBytes > m_limits.dataBytes
        || !reserveBytes(weight)) {
        return false;
    }
    m_reserved += weight;
    return true;
}

void bounded_stream::releaseBytes()
{
    bytesInUse.fetch_sub(m_reserved);
    m_reserved = 0;
}

} // namespace bramleygrade
