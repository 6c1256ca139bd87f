#pragma once

#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/// Clients of a program under test, over blocking or non-blocking sockets.
namespace crowd {

/// What each connection sends: `prefix`, then `unit` again and again until `bytesEach` are sent.
struct stream
{
    std::string prefix;
    std::string unit;
    std::size_t bytesEach = 0;
};

struct connection
{
    int socket = -1;
    std::size_t sent = 0;
    bool done = false;
};

inline int connectTo(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

/// Sends `request` and returns the first part of the answer, or an empty text if none has arrived
/// within `patienceMs` or the connection has ended without one.
inline std::string ask(const std::string &address, const std::string &request, int patienceMs)
{
    const int socket = connectTo(address);
    if (socket < 0) {
        return "";
    }
    std::string answer;
    pollfd ready {socket, POLLIN, 0};
    if (send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0
        && poll(&ready, 1, patienceMs) > 0) {
        answer.resize(4'096);
        const ssize_t received = recv(socket, answer.data(), answer.size(), 0);
        answer.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    }
    close(socket);
    return answer;
}

/// Sends as much as the connection takes at once.
inline void sendSome(connection &client, const stream &what, const std::string &block)
{
    while (!client.done) {
        const bool isPrefix = client.sent < what.prefix.size();
        const std::string &text = isPrefix ? what.prefix : block;
        const std::size_t offset = isPrefix
            ? client.sent
            : (client.sent - what.prefix.size()) % std::max<std::size_t>(block.size(), 1);
        const std::size_t total = std::max(what.bytesEach, what.prefix.size());
        const std::size_t size = std::min(text.size() - offset, total - client.sent);
        if (size == 0) {
            client.done = true;
            return;
        }
        const ssize_t sent =
            send(client.socket, text.data() + offset, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent <= 0) {
            client.done = errno != EAGAIN;
            return;
        }
        client.sent += static_cast<std::size_t>(sent);
    }
}

/// Sends on all connections, until each has sent everything or has been closed, or none has taken
/// anything for two seconds.
inline void sendAll(std::vector<connection> &clients, const stream &what)
{
    std::string block;
    while (!what.unit.empty() && block.size() < 65'536) {
        block += what.unit;
    }
    constexpr int quietMs = 2'000;
    while (true) {
        std::vector<pollfd> waiting;
        std::vector<connection *> owners;
        for (connection &client : clients) {
            if (!client.done) {
                waiting.push_back({client.socket, POLLOUT, 0});
                owners.push_back(&client);
            }
        }
        if (waiting.empty() || poll(waiting.data(), waiting.size(), quietMs) <= 0) {
            return;
        }
        for (std::size_t index = 0; index < waiting.size(); ++index) {
            if (waiting[index].revents != 0) {
                sendSome(*owners[index], what, block);
            }
        }
    }
}

inline std::vector<connection> open(const std::string &address, std::size_t count)
{
    std::vector<connection> clients;
    for (std::size_t index = 0; index < count; ++index) {
        connection client;
        client.socket = connectTo(address);
        client.done = client.socket < 0;
        clients.push_back(client);
    }
    return clients;
}

inline void closeAll(const std::vector<connection> &clients)
{
    for (const connection &client : clients) {
        if (client.socket >= 0) {
            close(client.socket);
        }
    }
}

} // namespace crowd
