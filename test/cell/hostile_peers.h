#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

/// \file
/// Tools for tests of the real program against peers that send without end.

namespace bramleygrade::testing {

using boost::asio::ip::tcp;

/// Returns an IP address on the loopback network that only this test process uses.
inline std::string ownAddress()
{
    const auto process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + process / 65'536 % 128) + '.'
        + std::to_string(process / 256 % 256) + '.' + std::to_string(process % 256);
}

/// What a hostile server sends: the beginning once, then the rest again and again.
struct endless_answer
{
    const char *name;
    std::string beginning;
    std::string rest;
};

inline std::ostream &operator<<(std::ostream &out, const endless_answer &answer)
{
    return out << answer.name;
}

/// What a server may send in answer to a request, each without an end.
inline const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string filler(1'000, 'a');

inline const endless_answer endlessAnswers[] = {
    {"trailers", chunkedAnswer + "0\r\n", "X-Trailer: " + filler + "\r\n"},
    {"trailer", chunkedAnswer + "0\r\nX-Trailer: ", filler},
    {"extension", chunkedAnswer + "1;name=", filler},
    {"extensions", chunkedAnswer, "1;name=" + filler + "\r\na\r\n"},
    {"zeros", chunkedAnswer, std::string(1'000, '0')},
    {"chunks", chunkedAnswer, "3e8\r\n" + filler + "\r\n"},
    {"headers", "HTTP/1.1 200 OK\r\n", "X-Header: " + filler + "\r\n"},
    {"header", "HTTP/1.1 200 OK\r\nX-Header: ", filler},
    {"body", "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", filler},
};

/// Answers each request with an endless answer until it has sent `mostBytes` in all.
class hostile_server
{
public:
    hostile_server(boost::asio::io_context &loop, const tcp::endpoint &endpoint,
                   endless_answer answer, std::size_t mostBytes)
        : m_acceptor(loop, endpoint)
        , m_answer(std::move(answer))
        , m_left(mostBytes)
    {
        constexpr std::size_t partBytes = 65'536;
        while (m_part.size() < partBytes) {
            m_part += m_answer.rest;
        }
        accept();
    }

    int answersBegun() const { return m_begun; }

private:
    struct peer
    {
        explicit peer(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        std::string request = std::string(16'384, '\0');
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            const auto caller = std::make_shared<peer>(std::move(socket));
            caller->socket.async_read_some(
                boost::asio::buffer(caller->request),
                [this, caller](boost::system::error_code failed, std::size_t) {
                    if (!failed) {
                        ++m_begun;
                        send(caller, m_answer.beginning);
                    }
                });
            accept();
        });
    }

    void send(const std::shared_ptr<peer> &caller, const std::string &text)
    {
        if (m_left < text.size()) {
            return;
        }
        m_left -= text.size();
        boost::asio::async_write(caller->socket, boost::asio::buffer(text),
                                 [this, caller](boost::system::error_code error, std::size_t) {
                                     if (!error) {
                                         send(caller, m_part);
                                     }
                                 });
    }

    tcp::acceptor m_acceptor;
    endless_answer m_answer;
    std::string m_part;
    std::size_t m_left;
    int m_begun = 0;
};

/// A program that the test starts, and ends by its id.
class started_program
{
public:
    started_program(const std::vector<std::string> &command, const std::string &log)
    {
        std::vector<char *> arguments;
        for (const std::string &each : command) {
            arguments.push_back(const_cast<char *>(each.c_str()));
        }
        arguments.push_back(nullptr);
        m_id = fork();
        if (m_id == 0) {
            const int file = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
            dup2(file, 1);
            dup2(file, 2);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
    }
    ~started_program()
    {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }
    started_program(const started_program &) = delete;
    started_program &operator=(const started_program &) = delete;

    bool lives() const
    {
        std::ifstream status(folder() + "/stat");
        std::string id;
        std::string name;
        std::string state;
        status >> id >> name >> state;
        return !state.empty() && state != "Z" && state != "X";
    }

    /// Returns the most memory that the program has had, MiB.
    long mostMemoryMb() const
    {
        std::ifstream status(folder() + "/status");
        std::string word;
        long kilobytes = 0;
        while (status >> word) {
            if (word == "VmHWM:") {
                status >> kilobytes;
            }
        }
        return kilobytes / 1'024;
    }

    long openDescriptors() const
    {
        std::error_code error;
        long count = 0;
        for (auto each = std::filesystem::directory_iterator(folder() + "/fd", error);
             !error && each != std::filesystem::directory_iterator(); each.increment(error)) {
            ++count;
        }
        return count;
    }

private:
    std::string folder() const { return "/proc/" + std::to_string(m_id); }

    pid_t m_id = 0;
};

/// Sends `request` and returns what comes back before the connection ends, or a pause of 5 s.
inline std::string exchange(const tcp::endpoint &endpoint, const std::string &request)
{
    boost::asio::io_context loop;
    tcp::socket socket(loop);
    boost::system::error_code error;
    socket.connect(endpoint, error);
    const timeval pause {5, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &pause, sizeof pause);
    boost::asio::write(socket, boost::asio::buffer(request), error);
    std::string answer(4'096, '\0');
    const ssize_t size = error ? 0 : recv(socket.native_handle(), answer.data(), answer.size(), 0);
    answer.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return answer;
}

} // namespace bramleygrade::testing
