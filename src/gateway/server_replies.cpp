#include <gateway/server_replies.hpp>

#include <net/log.hpp>

namespace agateseam
{

namespace
{

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

void record_reply(entry_state& state, const backend_server& server,
                  const reply_metadata& reply)
{
    // A new server may answer at the address of one that is gone.
    if (!reply.server_id.empty() && reply.server_id != server.id)
    {
        return;
    }
    if (reply.leaving)
    {
        record_leaving(state, server);
    }
}

} // namespace

task<io_outcome> read_reply_head(entry_state& state, const backend_server& server,
                                 upstream_connection& link, std::string request_id,
                                 time_point deadline)
{
    const auto names_request = make_reply_filter(*state.dialect, std::move(request_id));
    co_return co_await link.read_head(
        deadline,
        [&state, &server, &names_request](const message_head& head)
        {
            record_reply(state, server, state.dialect->read_reply(head));
            return names_request(head);
        });
}

} // namespace agateseam
