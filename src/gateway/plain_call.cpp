#include <gateway/plain_call.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <agateseam/attempt_policy.hpp>
#include <gateway/server_replies.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Answers of plain services are buffered whole, up to this many bytes; larger ones are
/// not expected.
constexpr std::size_t max_answer_size = 16 << 20;
/// A server can't do anything useful in less time than this.
constexpr auto min_attempt_time = 20ms;
/// The first attempt of a repeatable request may take this fraction of the target latency
/// before another server is asked, too. The rest is enough for the usual time of the
/// work.
constexpr double first_attempt_target_fraction = 0.6;
/// The first attempt may take at least this many times the server's typical latency,
/// which rises when all servers are slow.
constexpr int first_attempt_latency_factor = 3;
/// Whether a slow attempt may be repeated is checked at this interval.
constexpr auto repeat_poll_interval = 40ms;
/// An attempt's end wakes its call; this bounds a single wait.
constexpr auto max_answer_wait = 10s;
/// When every server is full, a request waits for at most this fraction of the target
/// latency.
constexpr double max_wait_target_fraction = 0.5;
/// Pauses of a request that waits for a paced server. A server may get to full pace, or
/// the caller may leave, meanwhile.
constexpr auto min_pace_pause = 1ms;
constexpr auto max_pace_pause = 50ms;
/// Added to the rank of a server of another failure domain, in requests.
constexpr double other_domain_penalty = 0.6;
/// Servers that are examined for one request, from a random one on, unless none of them
/// is usable.
constexpr std::size_t max_servers_examined = 64;
/// Retry-After time when no server was available.
constexpr auto no_server_retry_after = 300ms;

/// How an attempt ended and the answer, if there is one.
struct attempt_result
{
    attempt_outcome end = attempt_outcome::not_sent;
    bool withheld = false;  ///< Not sent: the server accepts no work, or it is blocked.
    bool is_broken = false; ///< The server ended the connection.
    /// Whether the caller left, or had too little time, before anything was sent.
    bool is_given_up = false;
    message_head head;
    std::string body;
};

/// A request at a server, whose answer is read in the background. Its call may end before
/// the answer has come.
struct running_attempt
{
    std::shared_ptr<const backend_server> server;
    std::shared_ptr<upstream_connection> link;
    time_point started_at{};
    std::optional<time_point> repeat_at; ///< When another server may be asked, too.
    attempt_result outcome;
    bool is_done = false;
};

/// Tells what kind of answer a whole answer is.
attempt_outcome classify_answer(const entry_state& state, const message_head& head)
{
    constexpr int first_error = 400;
    constexpr int first_server_error = 500;
    const reply_metadata reply = state.dialect->read_reply(head);
    if (reply.not_run)
    {
        return attempt_outcome::refused;
    }
    if (!reply.is_signed && head.status < first_error)
    {
        return attempt_outcome::lost;
    }
    const bool is_failure =
        head.status >= first_server_error || status_implies_not_run(head.status);
    return is_failure ? attempt_outcome::failed : attempt_outcome::answered;
}

/// Reads the whole answer of an attempt.
task<void> read_answer(entry_state& state, std::shared_ptr<running_attempt> attempt,
                       std::string request_id, time_point deadline)
{
    upstream_connection& link = *attempt->link;
    attempt_result& outcome = attempt->outcome;
    io_outcome end = co_await read_reply_head(state, *attempt->server, link,
                                              std::move(request_id), deadline);
    if (end == io_outcome::good)
    {
        outcome.head = link.head();
        end = co_await link.read_whole(deadline, max_answer_size);
    }
    if (end != io_outcome::good)
    {
        link.close();
        outcome.is_broken = end == io_outcome::broken;
        outcome.end = end == io_outcome::timed_out ? attempt_outcome::timed_out
                                                   : attempt_outcome::lost;
        co_return;
    }
    outcome.body = link.take_body();
    outcome.end = classify_answer(state, outcome.head);
}

class plain_call
{
  public:
    explicit plain_call(request_scope& request)
        : scope(&request)
        , state(request.state)
        , attempt_ended(std::make_shared<wake_signal>(*request.state->loop))
    {
    }

    task<void> run()
    {
        for (;;)
        {
            attempt_result outcome;
            bool has_server = true;
            if (!this->current)
            {
                this->scope->step = "server";
                const auto server = co_await this->find_server();
                const part_block* block = this->scope->part_block_in_force();
                if (block != nullptr && !this->slow)
                {
                    co_await send_local_answer(*this->scope,
                                               make_blocked_answer(*this->scope, *block));
                    co_return;
                }
                has_server = server && block == nullptr;
                if (has_server)
                {
                    outcome = co_await this->start_attempt(server);
                }
                if (!this->current && this->slow)
                {
                    this->count(outcome, has_server);
                    this->await_running_attempt();
                }
            }
            if (this->current)
            {
                auto ended = co_await this->await_answer();
                if (!ended)
                {
                    continue;
                }
                outcome = std::move(*ended);
                has_server = true;
            }
            if (this->scope->exchange->disconnected())
            {
                this->end_other_attempts();
                this->scope->outcome = "caller_gone";
                co_return;
            }
            if (outcome.withheld)
            {
                continue;
            }
            const bool is_other_running = this->current || this->slow;
            if (outcome.end != attempt_outcome::answered && is_other_running)
            {
                this->count(outcome, has_server);
                if (outcome.end == attempt_outcome::failed)
                {
                    this->failed_answer = std::move(outcome);
                }
                this->await_running_attempt();
                continue;
            }
            const retry_decision next =
                has_server ? this->decide(outcome) : this->decide_without_server();
            if (next != retry_decision::try_another)
            {
                this->end_other_attempts();
                const bool is_failed_answer_all =
                    next != retry_decision::relay && this->failed_answer;
                co_await this->finish(
                    is_failed_answer_all ? retry_decision::relay : next,
                    std::move(is_failed_answer_all ? *this->failed_answer : outcome));
                co_return;
            }
        }
    }

  private:
    /// Chooses a server. When all are full, waits for one of them for a limited time, and
    /// then uses a full one. Waits for longer if all have to wait for their pace, and
    /// then uses none: nothing more may be sent to these.
    task<std::shared_ptr<const backend_server>> find_server()
    {
        const time_point arrived = this->scope->exchange->request().arrived;
        const time_point wait_until =
            arrived + this->fraction_of_target(max_wait_target_fraction);
        const time_point pace_wait_until =
            std::max(wait_until, this->scope->max_wait_end(arrived));
        std::optional<time_point> pace_wait_since;
        for (;;)
        {
            const time_point now = boot_now();
            const bool takes_full = now >= wait_until;
            auto server = this->choose(now, takes_full);
            const duration pace_wait =
                server ? this->state->pace_wait(server->id, now) : duration::zero();
            const duration backoff = !server      ? duration::zero()
                                     : takes_full ? pace_wait
                                                  : this->backoff_left(server->id, now);
            if (pace_wait > duration::zero() && !pace_wait_since)
            {
                pace_wait_since = now;
            }
            if (backoff <= duration::zero() || now >= pace_wait_until ||
                (this->slow && this->slow->is_done) ||
                this->scope->exchange->disconnected() ||
                this->scope->part_block_in_force() != nullptr)
            {
                if (pace_wait_since)
                {
                    this->scope->record_pace_wait(server ? server->id : "",
                                                  *pace_wait_since);
                }
                if (pace_wait > duration::zero())
                {
                    co_return nullptr;
                }
                if (server)
                {
                    this->state->health.record_choice(server->id, now);
                }
                co_return server;
            }
            const duration step =
                pace_wait > duration::zero()
                    ? std::clamp<duration>(backoff, min_pace_pause, max_pace_pause)
                    : backoff;
            co_await pause_for(
                *this->state->loop,
                std::min<duration>(step,
                                   (takes_full ? pace_wait_until : wait_until) - now));
        }
    }

    /// Returns how much longer a server that was full, has rested or is paced should get
    /// no request.
    [[nodiscard]] duration backoff_left(const std::string& id, time_point now) const
    {
        return std::max({this->state->health.refusal_backoff_left(id, now),
                         this->state->health.return_delay_left(id, now),
                         this->state->pace_wait(id, now)});
    }

    /// Returns the best server that isn't full, or else the one whose backoff ends first.
    /// \param takes_full whether any full server is better than one that waits for its
    /// pace.
    [[nodiscard]] std::shared_ptr<const backend_server> choose(time_point now,
                                                               bool takes_full)
    {
        std::shared_ptr<const backend_server> best;
        std::tuple<duration, duration, double> best_rank;
        const auto& servers = this->state->servers_of(this->scope->service);
        const std::size_t first =
            servers.empty() ? 0 : this->state->random() % servers.size();
        for (std::size_t examined = 0; examined < servers.size(); ++examined)
        {
            const auto& server = servers[(first + examined) % servers.size()];
            if (examined >= max_servers_examined && best &&
                std::get<1>(best_rank) <= duration::zero())
            {
                break;
            }
            if (!this->is_candidate(*server, now))
            {
                continue;
            }
            double rank = this->state->health.rank(server->id);
            rank += server->failure_domain == this->state->settings.failure_domain
                        ? 0
                        : other_domain_penalty;
            // Smaller than any other difference, so that it decides only between equals.
            rank += 1e-3 * (this->state->random() % 100);
            const std::tuple<duration, duration, double> full_rank{
                takes_full ? this->state->pace_wait(server->id, now) : duration::zero(),
                this->backoff_left(server->id, now), rank};
            if (!best || full_rank < best_rank)
            {
                best = server;
                best_rank = full_rank;
            }
        }
        return best;
    }

    /// Tells whether a server besides the current one may take the request now.
    [[nodiscard]] bool has_other_server() const
    {
        const time_point now = boot_now();
        const auto& servers = this->state->servers_of(this->scope->service);
        return std::any_of(servers.begin(), servers.end(),
                           [&](const auto& server)
                           {
                               return server->id != this->scope->server &&
                                      this->is_candidate(*server, now) &&
                                      this->state->health.refusal_backoff_left(
                                          server->id, now) <= duration::zero() &&
                                      this->state->pace_wait(server->id, now) <=
                                          duration::zero();
                           });
    }

    [[nodiscard]] bool is_candidate(const backend_server& server, time_point now) const
    {
        return std::find(this->tried.begin(), this->tried.end(), server.id) ==
                   this->tried.end() &&
               this->scope->region.allows(server) &&
               this->state->health.allowed(server.id, now) &&
               this->state->own_limit_wait(server.id, now) <= duration::zero();
    }

    [[nodiscard]] duration fraction_of_target(double fraction) const
    {
        return std::chrono::duration_cast<duration>(this->scope->route->target_latency *
                                                    fraction);
    }

    /// Returns the time after which another server may be asked, too; nothing if none
    /// may.
    [[nodiscard]] std::optional<duration> repeat_delay(const backend_server& server) const
    {
        const service_route& route = *this->scope->route;
        if (!route.repeatable() || route.target_latency <= milliseconds(0))
        {
            return std::nullopt;
        }
        return std::max<duration>(this->fraction_of_target(first_attempt_target_fraction),
                                  this->state->health.typical_latency(server.id) *
                                      first_attempt_latency_factor);
    }

    /// Tells whether another server may take the request and the budget grants a repeat,
    /// which is then reserved.
    [[nodiscard]] bool reserve_repeat()
    {
        this->has_reserved_repeat =
            !this->scope->exchange->disconnected() &&
            this->scope->part_block_in_force() == nullptr &&
            time_left(*this->scope) >= min_attempt_time &&
            this->scope->possible_runs + 1 < this->scope->route->max_attempts &&
            this->refusals <= max_refusals && this->has_other_server() &&
            this->take_repeat();
        return this->has_reserved_repeat;
    }

    [[nodiscard]] bool take_repeat()
    {
        return this->state->ledger.try_take_repeat(this->scope->service, boot_now());
    }

    /// Takes a repeat from the fleet's budget unless this is the first request sent.
    [[nodiscard]] bool may_send_again()
    {
        return this->requests_sent == 0 ||
               std::exchange(this->has_reserved_repeat, false) || this->take_repeat();
    }

    /// Sends the request to a server. Afterwards `current` is set if it was sent.
    task<attempt_result> start_attempt(std::shared_ptr<const backend_server> server)
    {
        const time_point started_at = boot_now();
        this->scope->server = server->id;
        ++this->scope->attempts;
        this->state->health.begin(server->id);
        attempt_result outcome = co_await this->send(server, started_at);
        if (outcome.withheld)
        {
            this->state->health.withdraw(server->id);
            log_failure(*this->scope, "attempt withheld", server->id,
                        this->scope->withheld_reason(*server));
            co_return outcome;
        }
        this->tried.push_back(server->id);
        if (!this->current && this->has_slow_answer())
        {
            this->state->health.withdraw(server->id);
        }
        else if (!this->current)
        {
            this->record_outcome(*server, started_at, outcome);
        }
        co_return outcome;
    }

    [[nodiscard]] bool has_slow_answer() const
    {
        return this->slow && this->slow->is_done &&
               this->slow->outcome.end == attempt_outcome::answered;
    }

    void record_outcome(const backend_server& server, time_point started_at,
                        const attempt_result& outcome)
    {
        const time_point now = boot_now();
        const bool is_servers_doing =
            !outcome.is_given_up && !this->scope->exchange->disconnected();
        this->state->returning.end_attempt(server.id, this->observation_of(outcome),
                                           now - started_at, now, is_servers_doing);
        this->record_effect(server, outcome);
        if (outcome.end != attempt_outcome::answered)
        {
            log_failure(*this->scope, "attempt failed", server.id, to_string(outcome.end),
                        outcome.head.status);
        }
    }

    /// Waits until an attempt has ended.
    /// \returns nothing if the server is slow and another one is to be asked meanwhile.
    task<std::optional<attempt_result>> await_answer()
    {
        this->scope->step = "answer";
        for (;;)
        {
            if (this->current->is_done)
            {
                co_return this->end_attempt(std::move(this->current));
            }
            if (this->slow && this->slow->is_done)
            {
                co_return this->end_attempt(std::move(this->slow));
            }
            const time_point now = boot_now();
            duration wait = max_answer_wait;
            if (!this->slow && this->current->repeat_at)
            {
                if (now >= *this->current->repeat_at && this->reserve_repeat())
                {
                    this->slow = std::move(this->current);
                    co_return std::nullopt;
                }
                wait = now >= *this->current->repeat_at ? duration(repeat_poll_interval)
                                                        : *this->current->repeat_at - now;
            }
            co_await this->attempt_ended->wait_for(wait);
        }
    }

    attempt_result end_attempt(std::shared_ptr<running_attempt> ended)
    {
        this->state->pool.return_connection(ended->link);
        this->scope->server = ended->server->id;
        this->record_outcome(*ended->server, ended->started_at, ended->outcome);
        this->set_disconnect_action();
        return std::move(ended->outcome);
    }

    /// Goes on with the attempt that still runs, because the other one brought no answer.
    void await_running_attempt()
    {
        if (std::exchange(this->has_reserved_repeat, false))
        {
            this->state->ledger.return_repeat(this->scope->service, boot_now());
        }
        if (!this->current)
        {
            this->current = std::move(this->slow);
        }
        if (this->current->repeat_at)
        {
            this->current->repeat_at = boot_now() + repeat_poll_interval;
        }
        this->scope->server = this->current->server->id;
        this->set_disconnect_action();
    }

    /// Ends the attempts whose answers aren't needed any more.
    void end_other_attempts()
    {
        this->scope->exchange->on_disconnect(nullptr);
        if (this->current)
        {
            this->current->link->abandon();
            this->state->health.withdraw(this->current->server->id);
        }
        if (this->slow)
        {
            this->slow->link->abandon();
            this->slow->outcome.end = attempt_outcome::timed_out;
            this->record_outcome(*this->slow->server, this->slow->started_at,
                                 this->slow->outcome);
        }
    }

    /// Closes the connections of the running attempts when the caller leaves.
    void set_disconnect_action()
    {
        if (!this->current && !this->slow)
        {
            this->scope->exchange->on_disconnect(nullptr);
            return;
        }
        this->scope->exchange->on_disconnect(
            [current = this->current, slow = this->slow]
            {
                for (const auto& running : {current, slow})
                {
                    if (running)
                    {
                        running->link->abandon();
                    }
                }
            });
    }

    /// Records whether the server ended under the request, or answered it.
    void record_effect(const backend_server& server, const attempt_result& outcome)
    {
        if (outcome.end == attempt_outcome::answered ||
            outcome.end == attempt_outcome::failed)
        {
            this->state->quarantine.record_answer(this->scope->parts.keys, boot_now());
        }
        else if (outcome.is_broken && !this->scope->is_ended_here(boot_now()))
        {
            this->scope->record_crash(server, outcome.head.status == 0);
        }
    }

    task<attempt_result> send(std::shared_ptr<const backend_server> server,
                              time_point started_at)
    {
        attempt_result outcome;
        auto link = this->state->pool.take(server->address, this->scope->metadata.id);
        if (!link)
        {
            link = co_await this->state->pool.open(server->address);
        }
        if (!link)
        {
            co_return outcome;
        }
        caller_exchange& exchange = *this->scope->exchange;
        if (exchange.disconnected() || this->has_slow_answer())
        {
            this->state->pool.return_connection(link);
            outcome.is_given_up = true;
            co_return outcome;
        }
        const milliseconds left = time_left(*this->scope);
        if (left < min_attempt_time || !this->scope->is_key_valid())
        {
            link->close();
            outcome.is_given_up = true;
            co_return outcome;
        }
        outcome.withheld = this->scope->part_block_in_force() != nullptr ||
                           !this->state->try_begin_send(*server);
        if (outcome.withheld)
        {
            this->state->pool.return_connection(link);
            co_return outcome;
        }
        if (!exchange.begin_send())
        {
            this->state->pool.return_connection(link);
            outcome.is_given_up = true;
            co_return outcome;
        }
        forward_options options;
        options.server = server.get();
        options.time_left = left;
        options.workspace = this->scope->workspace_name();
        link->send(this->state->dialect->write_request(exchange.request(), options),
                   exchange.request().body);
        ++this->requests_sent;
        this->has_reserved_repeat = false;
        this->scope->is_trial = false;
        this->current = std::make_shared<running_attempt>();
        this->current->server = server;
        this->current->link = link;
        this->current->started_at = started_at;
        if (const auto delay = this->repeat_delay(*server))
        {
            this->current->repeat_at = boot_now() + *delay;
        }
        this->set_disconnect_action();
        this->read_in_background();
        co_return outcome;
    }

    void read_in_background()
    {
        spawn(*this->state->loop,
              [state = this->state, attempt = this->current, ended = this->attempt_ended,
               id = this->scope->metadata.id,
               deadline = this->scope->deadline]() -> task<void>
              {
                  co_await read_answer(*state, attempt, id, deadline);
                  attempt->is_done = true;
                  ended->notify();
              });
    }

    [[nodiscard]] static server_observation
    observation_of(const attempt_result& outcome) noexcept
    {
        switch (outcome.end)
        {
        case attempt_outcome::answered:
            return server_observation::good;
        case attempt_outcome::failed:
            return server_observation::failed;
        case attempt_outcome::refused:
            return server_observation::refused;
        default:
            return server_observation::unreachable;
        }
    }

    [[nodiscard]] retry_decision decide_without_server()
    {
        if (this->scope->possible_runs > 0)
        {
            return retry_decision::report_unknown;
        }
        return retry_decision::report_not_run;
    }

    /// Counts an attempt that has ended.
    /// \param was_made whether there was a server for it.
    void count(const attempt_result& outcome, bool was_made)
    {
        if (!was_made || outcome.withheld)
        {
            return;
        }
        const bool not_run = outcome.end == attempt_outcome::refused ||
                             outcome.end == attempt_outcome::not_sent;
        this->refusals += not_run ? 1 : 0;
        this->scope->possible_runs += not_run ? 0 : 1;
    }

    [[nodiscard]] retry_decision decide(const attempt_result& outcome)
    {
        this->count(outcome, true);
        const time_point now = boot_now();
        retry_state progress;
        progress.end = outcome.end;
        progress.possible_runs = this->scope->possible_runs;
        progress.refusals = this->refusals;
        progress.has_time_left =
            this->scope->deadline - now > min_attempt_time + reply_margin;
        // The budget is asked last, so that a repeat is taken only when it is used.
        progress.has_budget_left = true;
        if (decide_retry(*this->scope->route, progress) == retry_decision::try_another &&
            outcome.end != attempt_outcome::not_sent)
        {
            progress.has_budget_left = this->may_send_again();
        }
        return decide_retry(*this->scope->route, progress);
    }

    task<void> finish(retry_decision next, attempt_result outcome)
    {
        if (next == retry_decision::relay)
        {
            this->scope->outcome =
                outcome.end == attempt_outcome::answered ? "answered" : "server_failed";
            co_await relay_answer(*this->scope, outcome.head, std::move(outcome.body));
            co_return;
        }
        local_answer answer{
            status_bad_gateway, "answer_lost", execution_state::unknown, {}};
        const auto rest = this->scope->time_all_busy(boot_now());
        if (next == retry_decision::report_not_run &&
            !this->scope->has_server_in_region(false))
        {
            answer = make_region_answer();
        }
        else if (next == retry_decision::report_not_run && rest)
        {
            answer = make_resting_answer(*this->scope, *rest);
        }
        else if (next == retry_decision::report_not_run)
        {
            answer = {status_unavailable, "no_server", execution_state::not_run,
                      duration(no_server_retry_after)};
        }
        else if (next == retry_decision::report_timeout)
        {
            answer = {status_gateway_timeout,
                      "no_answer_in_time",
                      execution_state::unknown,
                      {}};
        }
        co_await send_local_answer(*this->scope, answer);
    }

    request_scope* scope;
    entry_state* state;
    std::vector<std::string> tried;
    std::uint32_t refusals = 0;
    std::uint32_t requests_sent = 0;
    bool has_reserved_repeat = false; ///< Already taken from the budget.
    std::shared_ptr<running_attempt> current;
    /// The attempt before `current`, whose answer may still come.
    std::shared_ptr<running_attempt> slow;
    std::shared_ptr<wake_signal> attempt_ended;
    /// A server's answer that reports its failure, for a caller who gets no other one.
    std::optional<attempt_result> failed_answer;
};

} // namespace

task<void> run_plain_call(request_scope& scope)
{
    plain_call call(scope);
    co_await call.run();
}

} // namespace agateseam
