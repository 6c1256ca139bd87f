#include "rpc/peer_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace bramleygrade {

namespace {

/// Hands requests to libjsonrpccpp that came in by another way than its own connectors.
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

class carrier_connector : public jsonrpc::IClientConnector
{
public:
    explicit carrier_connector(rpc_transport carrier)
        : m_carrier(std::move(carrier))
    {
    }
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_carrier(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            "no response from the peer; it may be down");
        }
    }

private:
    rpc_transport m_carrier;
};

} // namespace

/// A base of its own, so that the connector exists before the server that refers to it.
struct connector_holder
{
    string_connector connector;
};

class peer_rpc_server::implementation
    : private connector_holder,
      public jsonrpc::AbstractServer<peer_rpc_server::implementation>
{
public:
    explicit implementation(batch_handler receiver)
        : jsonrpc::AbstractServer<implementation>(connector)
        , m_receiver(std::move(receiver))
    {
        bindAndAddMethod(jsonrpc::Procedure("deliver", jsonrpc::PARAMS_BY_NAME,
                                            jsonrpc::JSON_INTEGER, "batch", jsonrpc::JSON_STRING,
                                            nullptr),
                         &implementation::deliver);
    }

    std::string handle(const std::string &request)
    {
        std::string response;
        connector.OnRequest(request, &response);
        return response;
    }

    void deliver(const Json::Value &parameters, Json::Value &result)
    {
        result = m_receiver(parameters["batch"].asString());
    }

private:
    batch_handler m_receiver;
};

peer_rpc_server::peer_rpc_server(batch_handler receiver)
    : m_implementation(std::make_unique<implementation>(std::move(receiver)))
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
    explicit implementation(rpc_transport carrier)
        : m_connector(std::move(carrier))
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
    carrier_connector m_connector;
    jsonrpc::Client m_client;
};

peer_rpc_client::peer_rpc_client(rpc_transport carrier)
    : m_implementation(std::make_unique<implementation>(std::move(carrier)))
{
}

peer_rpc_client::~peer_rpc_client() = default;

int peer_rpc_client::deliver(const std::string &batch)
{
    return m_implementation->deliver(batch);
}

} // namespace bramleygrade
