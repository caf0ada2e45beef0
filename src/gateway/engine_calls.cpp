#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_answer_size = 1
                                        << 20; // bytes; answers to these calls are small
/// Detached calls free memory that would expire by itself soon, so they needn't last.
constexpr auto detached_call_timeout = 500ms;

} // namespace

task<engine_call_result> call_engine(entry_state& state, const std::string& address,
                                     std::string head,
                                     std::shared_ptr<const std::string> body,
                                     std::string request_id, time_point deadline,
                                     caller_exchange* caller)
{
    engine_call_result answer;
    auto link = state.pool.take(address);
    if (!link)
    {
        link = co_await state.pool.open(address);
    }
    if (!link)
    {
        co_return answer;
    }
    if ((caller != nullptr && caller->disconnected()) || boot_now() >= deadline)
    {
        state.pool.return_connection(link);
        co_return answer;
    }
    if (caller != nullptr)
    {
        caller->on_disconnect([link] { link->close(); });
    }
    link->send(std::move(head), std::move(body));
    answer.end = co_await link->read_head(
        deadline, make_reply_filter(*state.dialect, *link, std::move(request_id)));
    if (answer.end == io_outcome::good)
    {
        answer.end = co_await link->read_whole(deadline, max_answer_size);
    }
    if (caller != nullptr)
    {
        caller->on_disconnect(nullptr);
    }
    if (answer.end != io_outcome::good)
    {
        link->close();
        co_return answer;
    }
    answer.head = link->head();
    answer.body = link->take_body();
    state.pool.return_connection(link);
    co_return answer;
}

void call_engine_detached(entry_state& state, const std::string& address,
                          std::string head, std::string_view step)
{
    spawn(*state.loop,
          [&state, address, head = std::move(head),
           step = std::string(step)]() mutable -> task<void>
          {
              const auto answer =
                  co_await call_engine(state, address, std::move(head), nullptr, "",
                                       boot_now() + detached_call_timeout, nullptr);
              if (answer.end != io_outcome::good)
              {
                  log_line(log_level::info, "engine call failed",
                           {{"step", step},
                            {"peer", address},
                            {"end", to_string(answer.end)}});
              }
          });
}

} // namespace agateseam
