#include "daemon/bounded_client.h"

#include "daemon/bounded_stream.h"

namespace bramleygrade {

namespace {

/// An answer may be awaited until its deadline.
constexpr stream_limits answerLimits {128ul * 1024, 16ul * 1024 * 1024, 3'600 * second};

} // namespace

bool bounded_client::process_socket(const Socket &socket,
                                    std::function<bool(httplib::Stream &)> callback)
{
    bounded_stream stream(socket.sock, answerLimits);
    stream.beginMessage(m_readBy);
    return callback(stream);
}

} // namespace bramleygrade
