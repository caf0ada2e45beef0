#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t largest_answer = 1 << 20; // bytes; these answers are small
/// What is posted frees memory that would lapse by itself soon.
constexpr auto post_time = 500ms;

} // namespace

task<engine_answer> call_engine(entry_state& state, const std::string& address,
                                std::string head, std::shared_ptr<const std::string> body,
                                std::string request_id, time_point until,
                                caller_exchange* gone)
{
    engine_answer answer;
    auto link = state.pool.take(address);
    if (!link)
    {
        link = co_await state.pool.open(address);
    }
    if (!link || (gone != nullptr && gone->disconnected()))
    {
        co_return answer;
    }
    if (gone != nullptr)
    {
        gone->on_disconnect([link] { link->close(); });
    }
    link->send(std::move(head), std::move(body));
    answer.end = co_await link->read_head(
        until, answers_to(*state.dialect, std::move(request_id)));
    if (answer.end == io_outcome::good)
    {
        answer.end = co_await link->read_whole(until, largest_answer);
    }
    if (gone != nullptr)
    {
        gone->on_disconnect(nullptr);
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

void post_engine(entry_state& state, const std::string& address, std::string head,
                 std::string_view step)
{
    spawn(*state.loop,
          [&state, address, head = std::move(head),
           step = std::string(step)]() mutable -> task<void>
          {
              const auto answer =
                  co_await call_engine(state, address, std::move(head), nullptr, "",
                                       boot_now() + post_time, nullptr);
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
