#include <gateway/server_replies.hpp>

#include <gateway/request_scope.hpp>
#include <net/log.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t max_logged_characters = 64;

void record_leaving(entry_state& state, const backend_server& server)
{
    state.counters.add("agateseam_leaving_answers_total");
    if (state.directory.record_leaving(server, boot_now()))
    {
        log_line(log_level::info, "server says it leaves",
                 {{"server", server.id}, {"service", server.service}});
        state.publish_servers();
    }
}

void record_rest(entry_state& state, const backend_server& server,
                 const reply_metadata& reply)
{
    if (!reply.invalid_retry_after.empty())
    {
        log_line(log_level::warning, "server rest ignored",
                 {{"server", server.id},
                  {"value", reply.invalid_retry_after.substr(0, max_logged_characters)}});
    }
    if (reply.retry_after &&
        state.health.record_rest(server.id, *reply.retry_after, boot_now()))
    {
        state.counters.add("agateseam_server_rests_total");
        log_line(log_level::info, "server rests",
                 {{"server", server.id},
                  {"service", server.service},
                  {"rest_ms", std::int64_t{reply.retry_after->count()}}});
    }
}

void record_limit(entry_state& state, const backend_server& server,
                  const reply_metadata& reply, time_point request_sent_at)
{
    if (!state.limiter.record_answer(server.id, reply.limit_per_second, request_sent_at,
                                     boot_now()))
    {
        return;
    }
    state.digest_due.notify();
    state.counters.add("agateseam_server_limit_changes_total");
    log_line(log_level::info,
             reply.limit_per_second ? "server names a limit" : "server limit ended",
             {{"server", server.id},
              {"service", server.service},
              {"per_second", reply.limit_per_second.value_or(0)}});
}

void record_reply(entry_state& state, const backend_server& server,
                  const reply_metadata& reply, int status, time_point request_sent_at)
{
    // A new server may answer at the address of one that is gone.
    if (!reply.server_id.empty() && reply.server_id != server.id)
    {
        return;
    }
    record_limit(state, server, reply, request_sent_at);
    if (reply.cold_remaining)
    {
        state.returning.record_cold(server, *reply.cold_remaining, boot_now());
    }
    if (reply.leaving)
    {
        record_leaving(state, server);
    }
    if (status == status_unavailable)
    {
        record_rest(state, server, reply);
    }
}

} // namespace

task<io_outcome> read_reply_head(entry_state& state, const backend_server& server,
                                 upstream_connection& link, std::string request_id,
                                 time_point deadline)
{
    link.set_request_id(request_id);
    const auto match_reply =
        make_reply_filter(*state.dialect, link, std::move(request_id));
    co_return co_await link.read_head(
        deadline,
        [&state, &server, &match_reply, &link](const message_head& head)
        {
            record_reply(state, server, state.dialect->read_reply(head), head.status,
                         link.sent_at());
            return match_reply(head);
        });
}

} // namespace agateseam
