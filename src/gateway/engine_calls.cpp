#include <gateway/engine_calls.hpp>

#include <gateway/server_replies.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_answer_size = 1 << 20;   // bytes; those of servers are small
constexpr std::size_t max_document_size = 8 << 20; // bytes
/// Releases free memory that would expire by itself soon, so they needn't last.
constexpr auto release_timeout = 500ms;

/// Takes a connection to an address from the pool, or opens one; null when that fails.
task<std::shared_ptr<upstream_connection>>
connect(entry_state& state, std::string address, std::string request_id = {})
{
    auto link = state.pool.take(address, request_id);
    if (!link)
    {
        link = co_await state.pool.open(address);
    }
    co_return link;
}

bool takes_only_requests(const entry_state& state, const backend_server& server)
{
    return state.is_evacuated(server) ||
           state.health.rest_left(server.id, boot_now()) > duration::zero() ||
           state.is_limited(server.id);
}

/// Takes the answer from a connection whose reads ended as `end`.
engine_call_result take_answer(entry_state& state,
                               const std::shared_ptr<upstream_connection>& link,
                               io_outcome end)
{
    engine_call_result answer;
    answer.end = end;
    answer.received_bytes = link->received_bytes();
    if (answer.end != io_outcome::good)
    {
        link->close();
        return answer;
    }
    answer.head = link->head();
    answer.body = link->take_body();
    state.pool.return_connection(link);
    return answer;
}

/// Reads the body of a server's answer whose head was read.
task<engine_call_result> read_answer(entry_state& state,
                                     std::shared_ptr<upstream_connection> link,
                                     io_outcome head_end, time_point deadline)
{
    io_outcome end = head_end;
    if (end == io_outcome::good)
    {
        end = co_await link->read_whole(deadline, max_answer_size);
    }
    co_return take_answer(state, link, end);
}

} // namespace

task<engine_call_result> call_engine(entry_state& state, const backend_server& server,
                                     std::string head,
                                     std::shared_ptr<const std::string> body,
                                     std::string request_id, time_point deadline,
                                     caller_exchange* caller)
{
    engine_call_result answer;
    answer.withheld = !state.accepts_work(server);
    if (answer.withheld)
    {
        co_return answer;
    }
    const auto link = co_await connect(state, server.address, request_id);
    if (!link)
    {
        co_return answer;
    }
    if ((caller != nullptr && caller->disconnected()) || boot_now() >= deadline)
    {
        state.pool.return_connection(link);
        co_return answer;
    }
    answer.withheld = !state.try_begin_send(server);
    if (answer.withheld)
    {
        state.pool.return_connection(link);
        co_return answer;
    }
    if (caller != nullptr)
    {
        caller->on_disconnect([link] { link->abandon(); });
    }
    link->send(std::move(head), std::move(body));
    const io_outcome head_end =
        co_await read_reply_head(state, server, *link, std::move(request_id), deadline);
    answer = co_await read_answer(state, link, head_end, deadline);
    if (caller != nullptr)
    {
        caller->on_disconnect(nullptr);
    }
    co_return answer;
}

void release_at_engine(entry_state& state, const backend_server& server, std::string head,
                       std::string_view step)
{
    spawn(
        *state.loop,
        [&state, server, head = std::move(head),
         step = std::string(step)]() mutable -> task<void>
        {
            const time_point deadline = boot_now() + release_timeout;
            io_outcome end = io_outcome::not_sent;
            if (takes_only_requests(state, server))
            {
                co_return;
            }
            const auto link = co_await connect(state, server.address);
            if (link &&
                (takes_only_requests(state, server) || !state.try_take_sends(server.id)))
            {
                state.pool.return_connection(link);
                co_return;
            }
            if (link)
            {
                link->send(std::move(head), nullptr);
                end = co_await read_reply_head(state, server, *link, "", deadline);
                end = (co_await read_answer(state, link, end, deadline)).end;
            }
            if (end != io_outcome::good)
            {
                log_line(
                    log_level::info, "engine call failed",
                    {{"step", step}, {"peer", server.address}, {"end", to_string(end)}});
            }
        });
}

task<engine_call_result> call_entry(entry_state& state, const std::string& address,
                                    std::string head, duration max_pause,
                                    duration max_time)
{
    const time_point deadline = boot_now() + max_time;
    const auto link = co_await connect(state, address);
    if (!link)
    {
        co_return engine_call_result{};
    }
    link->send(std::move(head), nullptr);
    io_outcome end =
        co_await link->read_head(boot_now() + max_pause, [](const message_head&)
                                 { return response_match::current; });
    if (end == io_outcome::good)
    {
        end = co_await link->read_arriving(max_pause, deadline, max_document_size);
    }
    co_return take_answer(state, link, end);
}

} // namespace agateseam
