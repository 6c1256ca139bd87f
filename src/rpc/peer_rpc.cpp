#include "rpc/peer_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace bramleygrade {

namespace {

/// Passes requests to libjsonrpccpp that were received by a transport other than its own
/// connectors.
class string_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *target) override
    {
        *static_cast<std::string *>(target) = response;
        return true;
    }
};

/// Sends requests of libjsonrpccpp through an `rpc_transport`.
class transport_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(rpc_transport transport)
        : m_transport(std::move(transport))
    {
    }
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, result)) {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                "no response from the peer; check that it is running and reachable");
        }
    }

private:
    rpc_transport m_transport;
};

} // namespace

/// Base class that is initialised before `jsonrpc::AbstractServer`, which refers to the connector.
struct connector_holder
{
    string_connector connector;
};

class peer_rpc_server::implementation
    : private connector_holder,
      public jsonrpc::AbstractServer<peer_rpc_server::implementation>
{
public:
    explicit implementation(batch_handler handler)
        : jsonrpc::AbstractServer<implementation>(connector)
        , m_handler(std::move(handler))
    {
        bindAndAddMethod(jsonrpc::Procedure("deliver", jsonrpc::PARAMS_BY_NAME,
                                            jsonrpc::JSON_INTEGER, "batch", jsonrpc::JSON_STRING,
                                            nullptr),
                         &implementation::deliver);
    }

    std::string handle(const std::string &request)
    {
        std::string response;
        try {
            connector.OnRequest(request, &response);
        } catch (const std::exception &) {
            // JsonCpp throws at values that are nested too deeply, and the library lets it pass.
            return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"unreadable"}})";
        }
        return response;
    }

    void deliver(const Json::Value &parameters, Json::Value &result)
    {
        result = m_handler(parameters["batch"].asString());
    }

private:
    batch_handler m_handler;
};

peer_rpc_server::peer_rpc_server(batch_handler handler)
    : m_implementation(std::make_unique<implementation>(std::move(handler)))
{
}

peer_rpc_server::~peer_rpc_server() = default;

std::string peer_rpc_server::handle(const std::string &request)
{
    return m_implementation->handle(request);
}

class peer_rpc_client::implementation
{
public:
    explicit implementation(rpc_transport transport)
        : m_connector(std::move(transport))
        , m_client(m_connector, jsonrpc::JSONRPC_CLIENT_V2)
    {
    }

    int deliver(const std::string &batch)
    {
        Json::Value parameters;
        parameters["batch"] = batch;
        try {
            return m_client.CallMethod("deliver", parameters).asInt();
        } catch (const std::exception &) {
            return -1;
        }
    }

private:
    transport_connector m_connector;
    jsonrpc::Client m_client;
};

peer_rpc_client::peer_rpc_client(rpc_transport transport)
    : m_implementation(std::make_unique<implementation>(std::move(transport)))
{
}

peer_rpc_client::~peer_rpc_client() = default;

int peer_rpc_client::deliver(const std::string &batch)
{
    return m_implementation->deliver(batch);
}

} // namespace bramleygrade
