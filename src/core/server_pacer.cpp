#include <agateseam/server_pacer.hpp>

#include <algorithm>
#include <utility>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr auto expire_interval = 1s;
/// For how long after a return's end its answers are still reported.
constexpr auto ended_report_time = 1s;

double to_seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

double to_double(std::uint64_t number) noexcept
{
    return static_cast<double>(number);
}

std::uint64_t to_milliseconds(duration span) noexcept
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, whole_milliseconds(span)));
}

std::uint8_t cause_bit(return_cause cause) noexcept
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(cause));
}

answer_counts& operator+=(answer_counts& total, const answer_counts& added) noexcept
{
    total.good += added.good;
    total.slow += added.slow;
    total.bad += added.bad;
    return total;
}

/// Returns what was added since; nothing where a delayed report has less.
answer_counts operator-(const answer_counts& total, const answer_counts& before) noexcept
{
    return {total.good - std::min(total.good, before.good),
            total.slow - std::min(total.slow, before.slow),
            total.bad - std::min(total.bad, before.bad)};
}

} // namespace

std::string_view to_string(return_cause cause) noexcept
{
    switch (cause)
    {
    case return_cause::started:
        return "started";
    case return_cause::cold:
        return "cold";
    case return_cause::taken_back:
        return "taken_back";
    case return_cause::recovered:
        return "recovered";
    case return_cause::crashed:
        return "crashed";
    case return_cause::rested:
        break;
    }
    return "rested";
}

bool server_pacer::is_same_return(const server_return& state, return_cause cause,
                                  time_point now)
{
    const duration age = now - state.began_at;
    switch (cause)
    {
    case return_cause::crashed:
        return state.cause == return_cause::crashed && age < crash_detection_time;
    case return_cause::recovered:
    case return_cause::rested:
        return state.pace.has_value();
    case return_cause::started:
    case return_cause::cold:
    case return_cause::taken_back:
        break;
    }
    return age < max_return_time && (state.seen_causes & cause_bit(cause)) == 0;
}

bool server_pacer::ended_badly(const server_return& state, time_point now)
{
    const time_point end = state.pace ? now : state.ended_at;
    return now - end < bad_return_memory && state.bad_at &&
           *state.bad_at > end - bad_answer_memory;
}

bool server_pacer::begin_return(name_key server, return_cause cause,
                                double capacity_per_second, duration peers_latency,
                                time_point now)
{
    server_return begun;
    const auto last = this->returns.find(server);
    if (last != this->returns.end())
    {
        this->advance(server, last->second, now);
        if (is_same_return(last->second, cause, now))
        {
            last->second.seen_causes |= cause_bit(cause);
            return false;
        }
        if (cause == return_cause::crashed || ended_badly(last->second, now))
        {
            begun.start_share = std::max(min_share, last->second.start_share / 2);
        }
    }
    begun.cause = cause;
    begun.seen_causes = cause_bit(cause);
    begun.began_at = now;
    begun.step_at = now;
    begun.capacity_per_second =
        capacity_per_second > 0 ? capacity_per_second : default_capacity_per_second;
    begun.peers_latency = peers_latency;
    begun.pace = std::max(min_per_second, begun.start_share * begun.capacity_per_second);
    this->begin(server, begun, now);
    return true;
}

void server_pacer::begin(name_key server, server_return state, time_point now)
{
    state.number = ++this->last_number;
    state.changed_at = now;
    this->steps.push_back({server, state.cause, state.pace, {}, true});
    this->returns.insert_or_assign(server, state);
}

void server_pacer::record_answer(name_key server, server_observation observation,
                                 duration latency, duration peers_latency, time_point now)
{
    const auto found = this->returns.find(server);
    if (found == this->returns.end())
    {
        return;
    }
    server_return& state = found->second;
    this->advance(server, state, now);
    const bool is_slow = peers_latency > duration::zero() &&
                         to_seconds(latency) > slow_factor * to_seconds(peers_latency);
    answer_counts answer;
    ++(observation != server_observation::good ? answer.bad
       : is_slow                               ? answer.slow
                                               : answer.good);
    state.own_answers += answer;
    if (state.pace || now < state.ended_at + ended_report_time)
    {
        state.changed_at = now;
    }
    count(state, answer, now);
}

void server_pacer::count(server_return& state, const answer_counts& answers,
                         time_point now)
{
    if (answers.total() == 0)
    {
        return;
    }
    if (answers.bad > 0)
    {
        state.bad_at = now;
    }
    state.interval_answers += answers;
    if (!std::exchange(state.has_answers, true))
    {
        // The intervals of all entries begin at the same times.
        state.step_at = now - (now - state.began_at) % interval;
    }
}

void server_pacer::advance(name_key server, server_return& state, time_point now)
{
    while (state.pace)
    {
        const duration length = state.has_answers ? interval : unanswered_interval;
        if (now < state.step_at + length)
        {
            return;
        }
        state.step_at += length;
        this->evaluate(server, state, state.step_at);
    }
}

void server_pacer::evaluate(name_key server, server_return& state, time_point at)
{
    const answer_counts answers = std::exchange(state.interval_answers, {});
    const double capacity = state.capacity_per_second;
    const double pace = *state.pace;
    const bool was_bad = state.bad_at && at - *state.bad_at < bad_answer_memory;
    if (at - state.began_at >= max_return_time && !was_bad)
    {
        this->set_pace(server, state, std::nullopt, answers, at);
    }
    else if (answers.total() == 0)
    {
        const double due_in = slow_factor * to_seconds(state.peers_latency);
        const double raised = std::min(2 * pace, max_unanswered_share * capacity);
        if (!state.has_answers && to_seconds(at - state.began_at) < due_in &&
            raised > pace)
        {
            this->set_pace(server, state, raised, answers, at);
        }
    }
    else if (to_double(answers.bad) > max_bad_share * to_double(answers.total()))
    {
        const double min_pace = std::max(min_per_second, min_share * capacity);
        this->set_pace(server, state, std::max(min_pace, pace / 2), answers, at);
    }
    else if (to_double(answers.slow) > max_slow_share * to_double(answers.total()))
    {
        this->set_pace(server, state, pace, answers, at);
    }
    else
    {
        this->set_pace(server, state,
                       2 * pace >= capacity ? std::nullopt : std::optional(2 * pace),
                       answers, at);
    }
}

void server_pacer::set_pace(name_key server, server_return& state,
                            std::optional<double> pace, const answer_counts& answers,
                            time_point at)
{
    state.pace = pace;
    state.changed_at = at;
    if (!pace)
    {
        state.ended_at = at;
    }
    this->steps.push_back({server, state.cause, pace, answers, false});
}

std::optional<double> server_pacer::pace(name_key server, time_point now)
{
    const auto found = this->returns.find(server);
    if (found == this->returns.end())
    {
        return std::nullopt;
    }
    this->advance(server, found->second, now);
    return found->second.pace;
}

std::vector<pace_step> server_pacer::take_steps(time_point now)
{
    for (auto& [server, state] : this->returns)
    {
        this->advance(server, state, now);
    }
    return std::exchange(this->steps, {});
}

std::size_t server_pacer::returning_count() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(this->returns.begin(), this->returns.end(),
                      [](const auto& item) { return item.second.pace.has_value(); }));
}

bool server_pacer::should_join(const server_return* state,
                               const server_return_report& report, time_point began_at)
{
    // Ejections and rests are one entry's own view of a server.
    if (!(report.pace > 0) || !(report.capacity_per_second > 0) ||
        report.cause == return_cause::recovered || report.cause == return_cause::rested)
    {
        return false;
    }
    if (state == nullptr || began_at > state->began_at + max_return_time)
    {
        return true;
    }
    // Another entry saw the server fail again.
    return report.start_share < 0.75 * state->start_share &&
           began_at > state->began_at + interval;
}

void server_pacer::apply(const std::string& entry, std::uint64_t incarnation,
                         const keyed_map<server_return_report>& reports, time_point now)
{
    if (reports.empty())
    {
        return;
    }
    peer_state& peer = this->peers[entry];
    if (peer.incarnation != incarnation)
    {
        peer = {incarnation, {}, {}};
    }
    peer.heard_at = now;
    for (const auto& [server, report] : reports)
    {
        const auto found = this->returns.find(server);
        server_return* const state =
            found == this->returns.end() ? nullptr : &found->second;
        peer_answers& known = peer.servers[server];
        const answer_counts before =
            known.number == report.number ? known.answers : answer_counts{};
        known = {report.number, report.answers};
        const time_point began_at =
            now - std::chrono::milliseconds(static_cast<std::int64_t>(report.age_ms));
        if (should_join(state, report, began_at))
        {
            server_return joined;
            joined.cause = report.cause;
            joined.began_at = began_at;
            joined.capacity_per_second = report.capacity_per_second;
            joined.peers_latency = std::chrono::milliseconds(
                static_cast<std::int64_t>(report.peers_latency_ms));
            joined.start_share = report.start_share;
            joined.pace = report.pace;
            joined.has_answers = report.answers.total() > 0;
            joined.step_at = now - (now - began_at) % interval;
            this->begin(server, joined, now);
        }
        else if (state != nullptr)
        {
            this->advance(server, *state, now);
            count(*state, report.answers - before, now);
        }
    }
}

keyed_map<server_return_report>
server_pacer::make_reports(std::optional<time_point> since, time_point now)
{
    this->expire(now);
    keyed_map<server_return_report> reports;
    for (auto& [server, state] : this->returns)
    {
        this->advance(server, state, now);
        if (since ? state.changed_at >= *since : state.pace.has_value())
        {
            reports[server] = {state.cause,
                               state.number,
                               to_milliseconds(now - state.began_at),
                               state.capacity_per_second,
                               to_milliseconds(state.peers_latency),
                               state.start_share,
                               state.pace.value_or(0),
                               state.own_answers};
        }
    }
    return reports;
}

void server_pacer::expire(time_point now)
{
    if (now < this->expire_at)
    {
        return;
    }
    this->expire_at = now + expire_interval;
    std::erase_if(this->peers, [now](const auto& peer)
                  { return now - peer.second.heard_at >= bad_return_memory; });
    for (auto server = this->returns.begin(); server != this->returns.end();)
    {
        const server_return& state = server->second;
        if (state.pace || now - state.ended_at < bad_return_memory)
        {
            ++server;
            continue;
        }
        for (auto& [entry, peer] : this->peers)
        {
            peer.servers.erase(server->first);
        }
        server = this->returns.erase(server);
    }
}

} // namespace agateseam
