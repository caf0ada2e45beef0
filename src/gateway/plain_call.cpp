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
/// before another server is asked. The rest is enough for the usual time of the work.
constexpr double first_attempt_target_fraction = 0.6;
/// The first attempt may take at least this many times the server's typical latency,
/// which rises when all servers are slow.
constexpr int first_attempt_latency_factor = 3;
/// A slow attempt goes on until the budget has a repeat, which is checked at this
/// interval.
constexpr auto repeat_poll_interval = 40ms;
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

class plain_call
{
  public:
    explicit plain_call(request_scope& request)
        : scope(&request)
        , state(request.state)
    {
    }

    task<void> run()
    {
        for (;;)
        {
            this->scope->step = "server";
            const auto server = co_await this->find_server();
            if (const part_block* block = this->scope->part_block_in_force())
            {
                co_await send_local_answer(*this->scope,
                                           make_blocked_answer(*this->scope, *block));
                co_return;
            }
            attempt_result outcome;
            if (server)
            {
                outcome = co_await this->attempt(*server);
                if (outcome.withheld)
                {
                    continue;
                }
                this->tried.push_back(server->id);
            }
            if (this->scope->exchange->disconnected())
            {
                this->scope->outcome = "caller_gone";
                co_return;
            }
            const retry_decision next =
                server ? this->decide(outcome) : this->decide_without_server();
            if (next != retry_decision::try_another)
            {
                co_await this->finish(next, std::move(outcome));
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

    /// Returns the time after which the attempt may end in favour of another server; zero
    /// means never.
    [[nodiscard]] duration first_attempt_timeout(const backend_server& server) const
    {
        const service_route& route = *this->scope->route;
        const bool may_try_another =
            route.repeatable() && this->scope->possible_runs + 1 < route.max_attempts;
        if (!may_try_another || route.target_latency <= milliseconds(0))
        {
            return duration::zero();
        }
        return std::max(this->fraction_of_target(first_attempt_target_fraction),
                        this->state->health.typical_latency(server.id) *
                            first_attempt_latency_factor);
    }

    /// Ends a slow attempt as soon as another server may take the request and the budget
    /// grants a repeat. Until then, only this attempt can bring the caller an answer.
    void arm_attempt_timer(deadline_timer& timer,
                           std::shared_ptr<upstream_connection> link,
                           std::shared_ptr<const bool> is_active, duration after)
    {
        timer.arm(after,
                  [this, &timer, link, is_active]
                  {
                      if (!*is_active)
                      {
                          return;
                      }
                      if (this->has_other_server() && this->take_repeat())
                      {
                          this->has_reserved_repeat = true;
                          link->close();
                          return;
                      }
                      this->arm_attempt_timer(timer, link, is_active,
                                              repeat_poll_interval);
                  });
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

    task<attempt_result> attempt(const backend_server& server)
    {
        attempt_result outcome;
        const time_point started_at = boot_now();
        this->scope->server = server.id;
        ++this->scope->attempts;
        this->state->health.begin(server.id);
        outcome = co_await this->send_and_read(server);
        if (outcome.withheld)
        {
            this->state->health.withdraw(server.id);
            log_failure(*this->scope, "attempt withheld", server.id,
                        this->scope->withheld_reason(server));
            co_return outcome;
        }
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
        co_return outcome;
    }

    /// Records whether the server ended under the request, or answered it.
    void record_effect(const backend_server& server, const attempt_result& outcome)
    {
        if (outcome.end == attempt_outcome::answered ||
            outcome.end == attempt_outcome::failed)
        {
            this->state->quarantine.record_answer(this->scope->parts.keys, boot_now());
        }
        else if (outcome.is_broken && !this->scope->exchange->disconnected())
        {
            this->scope->record_crash(server, outcome.head.status == 0);
        }
    }

    task<attempt_result> send_and_read(const backend_server& server)
    {
        attempt_result outcome;
        auto link = this->state->pool.take(server.address, this->scope->metadata.id);
        if (!link)
        {
            link = co_await this->state->pool.open(server.address);
        }
        if (!link)
        {
            co_return outcome;
        }
        caller_exchange& exchange = *this->scope->exchange;
        if (exchange.disconnected())
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
                           !this->state->try_begin_send(server);
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
        exchange.on_disconnect([link] { link->abandon(); });
        forward_options options;
        options.server = &server;
        options.time_left = left;
        options.workspace = this->scope->workspace_name();
        link->send(this->state->dialect->write_request(exchange.request(), options),
                   exchange.request().body);
        ++this->requests_sent;
        this->scope->is_trial = false;
        this->scope->step = "answer";
        outcome.end = co_await this->read_answer(link, server, outcome);
        exchange.on_disconnect(nullptr);
        this->state->pool.return_connection(link);
        co_return outcome;
    }

    task<attempt_outcome> read_answer(std::shared_ptr<upstream_connection> link,
                                      const backend_server& server,
                                      attempt_result& outcome)
    {
        const auto is_active = std::make_shared<bool>(true);
        deadline_timer timer(*this->state->loop);
        const duration limit = this->first_attempt_timeout(server);
        if (limit > duration::zero())
        {
            this->arm_attempt_timer(timer, link, is_active, limit);
        }
        const io_outcome end =
            co_await this->read_whole_answer(*link, server, outcome.head);
        *is_active = false;
        if (end != io_outcome::good)
        {
            link->close();
            outcome.is_broken = end == io_outcome::broken && !this->has_reserved_repeat;
            co_return this->has_reserved_repeat || end == io_outcome::timed_out
                ? attempt_outcome::timed_out
                : attempt_outcome::lost;
        }
        outcome.body = link->take_body();
        co_return this->classify_answer(outcome.head);
    }

    /// \param head the answer's head, if it arrives.
    task<io_outcome> read_whole_answer(upstream_connection& link,
                                       const backend_server& server, message_head& head)
    {
        const io_outcome end = co_await read_reply_head(
            *this->state, server, link, this->scope->metadata.id, this->scope->deadline);
        if (end != io_outcome::good)
        {
            co_return end;
        }
        head = link.head();
        co_return co_await link.read_whole(this->scope->deadline, max_answer_size);
    }

    [[nodiscard]] attempt_outcome classify_answer(const message_head& head) const
    {
        constexpr int first_error = 400;
        constexpr int first_server_error = 500;
        const reply_metadata reply = this->state->dialect->read_reply(head);
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

    [[nodiscard]] retry_decision decide(const attempt_result& outcome)
    {
        const bool not_run = outcome.end == attempt_outcome::refused ||
                             outcome.end == attempt_outcome::not_sent;
        this->refusals += not_run ? 1 : 0;
        this->scope->possible_runs += not_run ? 0 : 1;
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
};

} // namespace

task<void> run_plain_call(request_scope& scope)
{
    plain_call call(scope);
    co_await call.run();
}

} // namespace agateseam
