#pragma once

#include <functional>
#include <memory>
#include <string>

/// \file
/// JSON-RPC between entries, by libjsonrpccpp over any carrier of strings.
///
/// This target is compiled as C++14, since the headers of libjsonrpccpp 0.7 carry dynamic exception
/// specifications, which C++17 no longer has.

namespace bramleygrade {

/// Takes a batch of messages; returns how many of its messages were taken, from the front.
using batch_handler = std::function<int(const std::string &batch)>;
/// Sends a JSON-RPC request and fills in the response. Returns false where none came.
using rpc_transport = std::function<bool(const std::string &request, std::string &response)>;

/// The receiving side: turns JSON-RPC requests into calls of the receiver.
class peer_rpc_server
{
public:
    explicit peer_rpc_server(batch_handler receiver);
    ~peer_rpc_server();
    std::string handle(const std::string &request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The sending side; for use by one thread.
class peer_rpc_client
{
public:
    explicit peer_rpc_client(rpc_transport carrier);
    ~peer_rpc_client();
    /// Number of messages that the peer took, or -1 where its answer was lost or is malformed.
    int deliver(const std::string &batch);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace bramleygrade
