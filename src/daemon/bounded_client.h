#pragma once

#include <httplib.h>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Client that bounds what it reads of each answer, and of all messages that the process is
/// reading. A call whose answer is beyond a limit, or not read in time, fails.
class bounded_client : public httplib::ClientImpl
{
public:
    using httplib::ClientImpl::ClientImpl;

    /// Sets the time until which the answers of the next calls must have been read.
    void setReadBy(timestamp readBy) { m_readBy = readBy; }

private:
    bool process_socket(const Socket &socket,
                        std::function<bool(httplib::Stream &)> callback) override;

    timestamp m_readBy = distantFuture;
};

} // namespace bramleygrade
