#include "net/client_connections.h"

#include <algorithm>

namespace bramleygrade::net {

void putIdle(http_client::state &client, const std::shared_ptr<connection> &conn)
{
    client.idle[conn->address].push_back(conn);
    conn->position = client.idleByUse.insert(client.idleByUse.end(), conn);
}

std::shared_ptr<connection> takeIdle(http_client::state &client, connection_list &connections,
                                     connection_list::iterator taken)
{
    std::shared_ptr<connection> conn = *taken;
    client.idleByUse.erase(conn->position);
    connections.erase(taken);
    return conn;
}

void makeRoom(http_client::state &client)
{
    while (*client.openCount >= client.mostOpen && !client.idleByUse.empty()) {
        const std::string address = client.idleByUse.front()->address;
        const auto found = client.idle.find(address);
        connection_list &connections = found->second;
        takeIdle(client, connections,
                 std::find(connections.begin(), connections.end(), client.idleByUse.front()));
        if (connections.empty()) {
            client.idle.erase(found);
        }
    }
}

} // namespace bramleygrade::net
