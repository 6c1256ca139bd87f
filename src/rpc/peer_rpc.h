#pragma once

#include <functional>
#include <memory>
#include <string>

/// \file
/// JSON-RPC between entries, with libjsonrpccpp, over any transport that carries strings.
///
/// This target is compiled as C++14 because the headers of libjsonrpccpp 0.7 use dynamic exception
/// specifications, which C++17 removed.

namespace bramleygrade {

/// Handles a batch of messages; returns the number of messages accepted, counted from the front.
using batch_handler = std::function<int(const std::string &batch)>;
/// Sends a JSON-RPC request and sets the response. Returns false when no response was received.
using rpc_transport = std::function<bool(const std::string &request, std::string &response)>;

/// Server side: turns JSON-RPC requests into calls of the handler.
class peer_rpc_server
{
public:
    explicit peer_rpc_server(batch_handler handler);
    ~peer_rpc_server();
    /// Processes one JSON-RPC request and returns the JSON-RPC response.
    std::string handle(const std::string &request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Client side. Not thread-safe.
class peer_rpc_client
{
public:
    explicit peer_rpc_client(rpc_transport transport);
    ~peer_rpc_client();
    /// Returns the number of messages that the peer accepted, or -1 when its response is missing or
    /// malformed.
    int deliver(const std::string &batch);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace bramleygrade
