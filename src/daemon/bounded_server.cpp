#include "daemon/bounded_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/bounded_stream.h"
#include "daemon/clock.h"

namespace bramleygrade {

namespace {

constexpr microseconds requestReadTimeout = 20 * second;
constexpr microseconds idlePollInterval = 100 * millisecond;
constexpr int statusUnsupportedEncoding = 415;

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
    bounded_stream stream(sock, {});
    bool isServed = true;
    for (std::size_t left = keep_alive_max_count_; left > 0 && isServed; --left) {
        const timestamp idleUntil = currentTime() + keep_alive_timeout_sec_ * second;
        bool isWaiting = !stream.hasBufferedBytes();
        while (isWaiting && svr_sock_ != INVALID_SOCKET && currentTime() < idleUntil) {
            isWaiting = !waitForSocket(sock, POLLIN, idlePollInterval);
        }
        if (isWaiting || svr_sock_ == INVALID_SOCKET) {
            break;
        }
        stream.beginMessage(currentTime() + requestReadTimeout);
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
