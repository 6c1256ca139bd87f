#pragma once

#include <array>

#include <httplib.h>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Bytes that all messages which the process is reading over bounded streams may take.
constexpr std::size_t receivedBudgetBytes = 192ul * 1024 * 1024;

/// Bounds of what is read of one message.
struct stream_limits
{
    /// Limit of all lines: the head, those between chunks, and trailers.
    std::size_t lineBytes = 128ul * 1024;
    /// Limit of the body, with what is skipped of one that is too large.
    std::size_t dataBytes = 4ul * 1024 * 1024;
    /// Longest pause between two parts.
    microseconds readPause = 5 * second;
};

/// Stream on a socket that counts what is read of one message. The library reads lines byte by
/// byte, and bodies in larger parts.
class bounded_stream : public httplib::Stream
{
public:
    bounded_stream(socket_t sock, const stream_limits &limits);
    ~bounded_stream() override;
    bounded_stream(const bounded_stream &) = delete;
    bounded_stream &operator=(const bounded_stream &) = delete;

    /// Begins a message, which must be read until `readBy`.
    void beginMessage(timestamp readBy);

    bool hasBufferedBytes() const { return m_begin < m_end; }
    bool isBeyondLimit() const { return m_isBeyondLimit; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *ptr, size_t size) override;
    ssize_t write(const char *ptr, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }

private:
    bool fillBuffer();
    bool countBytes(bool isLine, std::size_t count);
    void releaseBytes();

    socket_t m_socket;
    stream_limits m_limits;
    std::array<char, 4'096> m_buffer {};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_lineBytes = 0;
    std::size_t m_dataBytes = 0;
    std::size_t m_reserved = 0;
    timestamp m_readBy = distantFuture;
    bool m_isBeyondLimit = false;
};

/// Waits until the socket is ready for the poll events. Returns false if it is not within `time`.
bool waitForSocket(socket_t sock, short events, microseconds time);

} // namespace bramleygrade
