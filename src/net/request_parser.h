#pragma once

#include <string>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "net/http_message.h"

namespace bramleygrade::net {

/// Reads one request into `request`. Fields behind a chunked body are dropped: they come after what
/// they could change has been decided.
class request_parser : public boost::beast::http::basic_parser<true>
{
public:
    request_parser(std::uint64_t maxBodyBytes, std::uint32_t maxHeaderBytes)
        : m_headerBytesLeft(maxHeaderBytes)
    {
        body_limit(maxBodyBytes);
        header_limit(maxHeaderBytes);
        eager(true);
    }

    /// Returns the memory that the request takes so far, with that set aside for the rest of its
    /// body.
    std::size_t heldBytes() const { return m_fieldBytes + request.body.capacity(); }

    http_request request;

private:
    using error_code = boost::system::error_code;
    using string_view = boost::beast::string_view;
    using field = boost::beast::http::field;
    using verb = boost::beast::http::verb;

    /// Bytes of a request line beyond method and target, and of a field beyond name and value.
    static constexpr std::size_t requestLineRest = 12;
    static constexpr std::size_t fieldLineRest = 4;

    static std::string textOf(string_view text) { return {text.data(), text.size()}; }

    /// Counts a line of the header; the base class limits only what it has not parsed yet.
    bool takeHeaderBytes(std::size_t bytes, error_code &error)
    {
        if (bytes > m_headerBytesLeft) {
            error = boost::beast::http::error::header_limit;
            return false;
        }
        m_headerBytesLeft -= bytes;
        return true;
    }

    void on_request_impl(verb /*method*/, string_view method, string_view target, int /*version*/,
                         error_code &error) override
    {
        if (takeHeaderBytes(method.size() + target.size() + requestLineRest, error)) {
            request.method = textOf(method);
            request.target = textOf(target);
        }
    }

    void on_response_impl(int /*code*/, string_view /*reason*/, int /*version*/,
                          error_code & /*error*/) override
    {
    }

    void on_field_impl(field name, string_view nameText, string_view value,
                       error_code &error) override
    {
        if (m_isHeaderRead) {
            return;
        }
        const std::size_t lineBytes = nameText.size() + value.size() + fieldLineRest;
        if (!takeHeaderBytes(lineBytes, error)) {
            return;
        }
        if (name == field::host && request.host.empty()) {
            request.host = textOf(value);
        }
        request.headers.emplace_back(textOf(nameText), textOf(value));
        m_fieldBytes += lineBytes + 2 * sizeof(header_list::value_type);
    }

    void on_header_impl(error_code & /*error*/) override { m_isHeaderRead = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length,
                           error_code & /*error*/) override
    {
        if (length) {
            request.body.reserve(static_cast<std::size_t>(*length));
        }
    }

    std::size_t on_body_impl(string_view body, error_code & /*error*/) override
    {
        request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                              error_code & /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, string_view body,
                                   error_code & /*error*/) override
    {
        request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(error_code & /*error*/) override { }

    std::size_t m_headerBytesLeft;
    std::size_t m_fieldBytes = 0;
    bool m_isHeaderRead = false;
};

} // namespace bramleygrade::net
