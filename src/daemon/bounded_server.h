#pragma once

#include <httplib.h>

namespace bramleygrade {

/// Server that bounds what it reads of each request, and of all requests at once. A request beyond
/// a limit is refused with 400 or without an answer, and its connection is closed; no handler sees
/// it.
class bounded_server : public httplib::Server
{
public:
    bounded_server();

private:
    bool process_and_close_socket(socket_t sock) override;
};

} // namespace bramleygrade
