#include "daemon/bounded_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>

#include "daemon/clock.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

/// Limit of all lines of a request: its head, those between chunks, and trailers.
constexpr std::size_t maxLineBytes = 128ul * 1024;
/// A byte of a header line may take this many bytes of memory.
constexpr std::size_t lineWeight = 32;
/// Limit of a request's body, with what is skipped of one that is too large.
constexpr std::size_t maxDataBytes = 4ul * 1024 * 1024;
constexpr microseconds requestReadTimeout = 20 * second;
constexpr microseconds readPause = 5 * second;
constexpr microseconds writePause = 5 * second;
constexpr microseconds idlePollInterval = 100 * millisecond;
constexpr int statusUnsupportedEncoding = 415;

std::atomic<std::size_t> bytesInUse {0};

bool reserveBytes(std::size_t bytes)
{
    if (bytesInUse.fetch_add(bytes) + bytes > requestBudgetBytes) {
        bytesInUse.fetch_sub(bytes);
        return false;
    }
    return true;
}

bool waitFor(socket_t sock, short events, microseconds time)
{
    pollfd waiting {sock, events, 0};
    const auto timeout = static_cast<int>(std::max<microseconds>(time, 0) / millisecond);
    return poll(&waiting, 1, timeout) > 0;
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

/// Stream on a socket that counts what is read of one request. The library reads lines byte by
/// byte, and bodies in larger parts.
class request_stream : public httplib::Stream
{
public:
    explicit request_stream(socket_t sock)
        : m_socket(sock)
    {
    }
    ~request_stream() override { releaseBytes(); }
    request_stream(const request_stream &) = delete;
    request_stream &operator=(const request_stream &) = delete;

    void beginRequest()
    {
        releaseBytes();
        m_lineBytes = 0;
        m_dataBytes = 0;
        m_readBy = currentTime() + requestReadTimeout;
    }

    bool hasBufferedBytes() const { return m_begin < m_end; }
    bool isBeyondLimit() const { return m_isBeyondLimit; }

    bool is_readable() const override
    {
        return hasBufferedBytes() || waitFor(m_socket, POLLIN, readPause);
    }
    bool is_writable() const override { return waitFor(m_socket, POLLOUT, writePause); }

    ssize_t read(char *ptr, size_t size) override
    {
        if (m_isBeyondLimit || (!hasBufferedBytes() && !fillBuffer())) {
            return -1;
        }
        const std::size_t count = std::min(size, m_end - m_begin);
        if (!countBytes(size == 1, count)) {
            m_isBeyondLimit = true;
            logWarning("event=request-beyond-limits reason=\"a request exceeds a limit of size or "
                       "memory; its connection is closed\"");
            return -1;
        }
        std::copy_n(m_buffer.begin() + m_begin, count, ptr);
        m_begin += count;
        return static_cast<ssize_t>(count);
    }

    ssize_t write(const char *ptr, size_t size) override
    {
        return is_writable() ? send(m_socket, ptr, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_storage address {};
        socklen_t size = sizeof address;
        getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        splitAddress(address, ip, port);
    }
    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_storage address {};
        socklen_t size = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        splitAddress(address, ip, port);
    }
    socket_t socket() const override { return m_socket; }

private:
    bool fillBuffer()
    {
        const microseconds left = m_readBy - currentTime();
        if (left <= 0 || !waitFor(m_socket, POLLIN, std::min(left, readPause))) {
            return false;
        }
        const ssize_t size = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        m_begin = 0;
        m_end = size > 0 ? static_cast<std::size_t>(size) : 0;
        return size > 0;
    }

    bool countBytes(bool isLine, std::size_t count)
    {
        (isLine ? m_lineBytes : m_dataBytes) += count;
        const std::size_t weight = count * (isLine ? lineWeight : 1);
        if (m_lineBytes > maxLineBytes || m_dataBytes > maxDataBytes || !reserveBytes(weight)) {
            return false;
        }
        m_reserved += weight;
        return true;
    }

    void releaseBytes()
    {
        bytesInUse.fetch_sub(m_reserved);
        m_reserved = 0;
    }

    socket_t m_socket;
    std::array<char, 4'096> m_buffer {};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_lineBytes = 0;
    std::size_t m_dataBytes = 0;
    std::size_t m_reserved = 0;
    timestamp m_readBy = distantFuture;
    bool m_isBeyondLimit = false;
};

} // namespace

bounded_server::bounded_server()
{
    // The library would expand a small body to any size.
    set_pre_routing_handler([](const httplib::Request &request, httplib::Response &response) {
        if (!request.has_header("Content-Encoding")) {
            return HandlerResponse::Unhandled;
        }
        response.status = statusUnsupportedEncoding;
        response.set_header("Connection", "close");
        return HandlerResponse::Handled;
    });
}

bool bounded_server::process_and_close_socket(socket_t sock)
{
    request_stream stream(sock);
    bool isServed = true;
    for (std::size_t left = keep_alive_max_count_; left > 0 && isServed; --left) {
        const timestamp idleUntil = currentTime() + keep_alive_timeout_sec_ * second;
        bool isWaiting = !stream.hasBufferedBytes();
        while (isWaiting && svr_sock_ != INVALID_SOCKET && currentTime() < idleUntil) {
            isWaiting = !waitFor(sock, POLLIN, idlePollInterval);
        }
        if (isWaiting || svr_sock_ == INVALID_SOCKET) {
            break;
        }
        stream.beginRequest();
        bool isClosed = false;
        // A head that can't be read leaves no way to tell where the next request begins.
        bool isHeadRead = false;
        bool isEncoded = false;
        isServed = process_request(stream, left == 1, isClosed,
                                   [&](httplib::Request &request) {
                                       isHeadRead = true;
                                       isEncoded = request.has_header("Content-Encoding");
                                   })
            && !isClosed && isHeadRead && !isEncoded && !stream.isBeyondLimit();
    }
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return isServed;
}

} // namespace bramleygrade
