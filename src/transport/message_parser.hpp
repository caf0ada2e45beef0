/// Parses HTTP/1.1 messages with Boost.Beast's parser and stores them in plain fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/basic_parser.hpp>

#include <net/http_syntax.hpp>

namespace agateseam
{

/// \brief One header field as it was sent.
struct header_field
{
    std::string name;
    std::string value;
};

/// \brief Tells whether two texts are equal regardless of case, as names of header
/// fields are compared.
[[nodiscard]] bool equals_ignoring_case(std::string_view left,
                                        std::string_view right) noexcept;

/// \brief Returns the value of the first field with this name, or an empty view.
[[nodiscard]] std::string_view find_header(const std::vector<header_field>& fields,
                                           std::string_view name) noexcept;

/// \brief Tells whether a comma-separated list contains a token, regardless of case.
[[nodiscard]] bool list_contains_token(std::string_view list,
                                       std::string_view token) noexcept;

/// \brief The start line and the header fields of a message.
struct message_head
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only: path and query.
    int status = 0;     ///< Responses only.
    int version = 11;   ///< 10 for HTTP/1.0, 11 for HTTP/1.1.
    std::vector<header_field> fields;

    [[nodiscard]] std::string_view field(std::string_view name) const noexcept
    {
        return find_header(this->fields, name);
    }
};

/// \brief A parser that appends the body to `body`, from where its owner takes it.
template <bool is_request>
class message_parser final : public boost::beast::http::basic_parser<is_request>
{
  public:
    message_head head;
    std::string body;

    /// \brief Returns the memory that the head and the body take.
    [[nodiscard]] std::size_t memory_size() const noexcept
    {
        return this->head_memory_size() + this->body.capacity();
    }

    [[nodiscard]] std::size_t head_memory_size() const noexcept
    {
        return this->head.fields.capacity() * sizeof(header_field) + this->head_text_size;
    }

    /// \brief Tells whether the body is in chunks of which none has begun.
    [[nodiscard]] bool expects_first_chunk() const
    {
        return this->is_header_done() && this->chunked() && !this->chunk_begun;
    }

  private:
    using view = boost::beast::string_view;
    using fault = boost::beast::error_code;
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;

    static std::string to_string(view text) { return {text.data(), text.size()}; }

    void on_request_impl(verb, view method, view target, int version, fault&) override
    {
        this->head_text_size += method.size() + target.size();
        this->head.method = to_string(method);
        this->head.target = to_string(target);
        this->head.version = version;
    }

    void on_response_impl(int status, view, int version, fault& failure) override
    {
        if (!is_answer_status(status))
        {
            failure = boost::beast::http::error::bad_status;
        }
        this->head.status = status;
        this->head.version = version;
    }

    void on_field_impl(field id, view name, view value, fault& failure) override
    {
        // No transfer coding but "chunked" is ever asked for. The parser would pass on
        // the bytes of any other one as the body.
        if (!is_request && id == field::transfer_encoding &&
            !equals_ignoring_case(to_string(value), "chunked"))
        {
            failure = boost::beast::http::error::bad_transfer_encoding;
        }
        this->head_text_size += name.size() + value.size();
        this->head.fields.push_back({to_string(name), to_string(value)});
    }

    void on_header_impl(fault&) override {}

    void on_body_init_impl(const boost::optional<std::uint64_t>&, fault&) override {}

    std::size_t on_body_impl(view part, fault&) override
    {
        this->body.append(part.data(), part.size());
        return part.size();
    }

    void on_chunk_header_impl(std::uint64_t, view, fault&) override
    {
        this->chunk_begun = true;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, view part, fault&) override
    {
        this->body.append(part.data(), part.size());
        return part.size();
    }

    void on_finish_impl(fault&) override {}

    bool chunk_begun = false;
    std::size_t head_text_size = 0; ///< Bytes of the start line and the fields.
};

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

/// Bytes of the shortest last chunk, "0" with the two line ends after it.
inline constexpr std::size_t min_last_chunk_size = 5;

/// \brief Parses as much of `bytes` as possible and removes the parsed part.
/// \returns false when the bytes are not a valid message.
template <bool is_request>
[[nodiscard]] bool parse_some(message_parser<is_request>& parser, std::string& bytes,
                              boost::beast::error_code& fault)
{
    namespace http = boost::beast::http;
    std::size_t parsed = 0;
    fault = {};
    while (parsed < bytes.size() && !parser.is_done())
    {
        // The parser accepts the line of a last chunk by itself, and then asserts that
        // the rest of the message comes with it.
        if (parser.expects_first_chunk() && bytes[parsed] == '0' &&
            bytes.size() - parsed < min_last_chunk_size)
        {
            break;
        }
        const std::size_t count = parser.put(
            boost::asio::const_buffer(bytes.data() + parsed, bytes.size() - parsed),
            fault);
        parsed += count;
        if (fault || count == 0)
        {
            break;
        }
    }
    bytes.erase(0, parsed);
    if (fault == http::error::need_more)
    {
        fault = {};
    }
    return !fault;
}

} // namespace agateseam
