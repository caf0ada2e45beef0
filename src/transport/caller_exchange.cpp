#include <transport/caller_connection.hpp>

#include <utility>

namespace agateseam
{

namespace
{

constexpr int http_1_1 = 11;

std::string to_hex(std::size_t value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    do
    {
        text.insert(text.begin(), digits[value % 16]);
        value /= 16;
    } while (value > 0);
    return text;
}

} // namespace

std::string_view caller_request::path() const noexcept
{
    const std::string_view target = this->head.target;
    return target.substr(0, target.find('?'));
}

caller_exchange::caller_exchange(caller_connection& exchange_connection,
                                 caller_request request)
    : connection(&exchange_connection)
    , received_request(std::move(request))
{
}

bool caller_exchange::disconnected() const noexcept
{
    return this->connection->ended || this->is_refused;
}

bool caller_exchange::begin_send()
{
    if (!this->disconnected() && this->connection->phase == connection_phase::handling)
    {
        this->connection->enter(connection_phase::sent);
    }
    return !this->disconnected();
}

void caller_exchange::on_disconnect(std::function<void()> action)
{
    this->connection->disconnect_action = std::move(action);
}

void caller_exchange::interrupt()
{
    this->connection->run_disconnect_action();
}

std::string caller_exchange::render_head(const caller_answer_head& head,
                                         std::string_view framing)
{
    if (this->connection->handler->closing())
    {
        this->connection->keep_alive = false;
    }
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text += reason_phrase(head.status);
    text += "\r\n";
    for (const header_field& field : head.fields)
    {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    text += framing;
    if (!this->connection->keep_alive)
    {
        text += "Connection: close\r\n";
    }
    else if (this->received_request.head.version < http_1_1)
    {
        text += "Connection: keep-alive\r\n";
    }
    text += "\r\n";
    return text;
}

task<bool> caller_exchange::answer(caller_answer_head head, std::string body)
{
    if (this->is_refused)
    {
        co_return false;
    }
    this->response_started = true;
    const bool states_length = !find_header(head.fields, "Content-Length").empty();
    std::string text = this->render_head(
        head,
        states_length ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (this->received_request.head.method == "HEAD")
    {
        body.clear();
    }
    co_return co_await this->connection->write(std::move(text), std::move(body));
}

task<bool> caller_exchange::begin(caller_answer_head head)
{
    if (this->is_refused)
    {
        co_return false;
    }
    this->response_started = true;
    this->chunked = this->received_request.head.version >= http_1_1;
    if (!this->chunked)
    {
        this->connection->keep_alive = false;
    }
    std::string text =
        this->render_head(head, this->chunked ? "Transfer-Encoding: chunked\r\n" : "");
    co_return co_await this->connection->write(std::move(text));
}

task<bool> caller_exchange::send(std::string_view part)
{
    if (part.empty())
    {
        co_return true;
    }
    std::string text;
    if (this->chunked)
    {
        text = to_hex(part.size()) + "\r\n";
    }
    text += part;
    if (this->chunked)
    {
        text += "\r\n";
    }
    co_return co_await this->connection->write(std::move(text));
}

task<bool> caller_exchange::finish()
{
    if (!this->chunked)
    {
        co_return !this->disconnected();
    }
    co_return co_await this->connection->write("0\r\n\r\n");
}

void caller_exchange::abort()
{
    this->connection->keep_alive = false;
    if (this->response_started && !this->chunked)
    {
        // Without chunks, only a TCP reset shows the caller that the answer is
        // incomplete.
        io_error ignored; // The connection is closed in any case.
        this->connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    this->response_started = true;
    this->connection->close();
}

} // namespace agateseam
