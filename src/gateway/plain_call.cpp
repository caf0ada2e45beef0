#include <gateway/plain_call.hpp>

#include <algorithm>
#include <utility>

#include <agateseam/attempt_policy.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Answers of plain services are passed on whole; larger ones are not expected here.
constexpr std::size_t largest_answer = 16 << 20;
/// Less than this is too little for a server to do anything.
constexpr auto shortest_attempt = 20ms;
/// A first attempt of a safe request may take this part of the target before another
/// server is asked: what is left is enough for the work's usual time.
constexpr double first_attempt_part = 0.6;
/// And this many times the service's usual time, which rises when all servers are slow.
constexpr int first_attempt_usual = 3;
/// Until the budget has a repeat for it, a slow attempt goes on; looked at so often.
constexpr auto look_for_repeat = 40ms;
/// Where every server is full, a request waits for a place at most this part of the
/// target.
constexpr double wait_part = 0.5;
/// A server of another failure domain counts as this much of a request more.
constexpr double domain_cost = 0.6;
/// Of a larger service so many servers are looked at, from one at random on.
constexpr std::size_t enough_servers = 64;
/// Asked to come back after this when no server could be had.
constexpr auto retry_soon = 300ms;

/// One attempt's end and, where there is one, its answer.
struct attempt_result
{
    attempt_outcome end = attempt_outcome::not_sent;
    message_head head;
    std::string body;
};

class plain_call
{
  public:
    explicit plain_call(request_scope& chosen)
        : scope(&chosen)
        , state(chosen.state)
    {
    }

    task<void> run()
    {
        for (;;)
        {
            const auto server = co_await this->find_server();
            attempt_result made;
            if (server)
            {
                made = co_await this->attempt(*server);
                this->tried.push_back(server->id);
            }
            if (this->scope->exchange->disconnected())
            {
                this->scope->outcome = "caller_gone";
                co_return;
            }
            const retry_decision next =
                server ? this->decide(made) : this->without_server();
            if (next != retry_decision::try_another)
            {
                co_await this->finish(next, std::move(made));
                co_return;
            }
        }
    }

  private:
    /// Chooses a server; where all are full, waits a moment for one of them.
    task<std::shared_ptr<const backend_server>> find_server()
    {
        const time_point wait_until =
            this->scope->exchange->request().arrived + this->part_of_target(wait_part);
        for (;;)
        {
            const time_point now = boot_now();
            auto server = this->choose(now);
            const duration full =
                server ? this->state->judge.refusal_backoff_left(server->id, now)
                       : duration::zero();
            if (full <= duration::zero() || now >= wait_until ||
                this->scope->exchange->disconnected())
            {
                co_return server;
            }
            co_await pause_for(*this->state->loop,
                               std::min<duration>(full, wait_until - now));
        }
    }

    /// Returns the best server that isn't full, or else the one that is so for the
    /// shortest time.
    [[nodiscard]] std::shared_ptr<const backend_server> choose(time_point now)
    {
        std::shared_ptr<const backend_server> best;
        std::pair<duration, double> best_rank;
        const auto& servers = this->state->servers_of(this->scope->service);
        const std::size_t first =
            servers.empty() ? 0 : this->state->random() % servers.size();
        for (std::size_t looked = 0; looked < servers.size(); ++looked)
        {
            const auto& server = servers[(first + looked) % servers.size()];
            if (looked >= enough_servers && best && best_rank.first <= duration::zero())
            {
                break;
            }
            const bool tried_before = std::find(this->tried.begin(), this->tried.end(),
                                                server->id) != this->tried.end();
            if (tried_before || !this->state->judge.allowed(server->id, now))
            {
                continue;
            }
            double rank = this->state->judge.rank(server->id);
            rank += server->failure_domain == this->state->settings.failure_domain
                        ? 0
                        : domain_cost;
            // Less than any other difference: equals are chosen at random.
            rank += 1e-3 * (this->state->random() % 100);
            const std::pair<duration, double> whole{
                this->state->judge.refusal_backoff_left(server->id, now), rank};
            if (!best || whole < best_rank)
            {
                best = server;
                best_rank = whole;
            }
        }
        return best;
    }

    [[nodiscard]] duration part_of_target(double part) const
    {
        return std::chrono::duration_cast<duration>(this->scope->route->target_latency *
                                                    part);
    }

    /// Returns after which time another server is asked as well; zero: never.
    [[nodiscard]] duration first_attempt_time(const backend_server& server) const
    {
        const service_route& route = *this->scope->route;
        const bool another_follows =
            route.repeatable() && this->may_have_run + 1 < route.max_attempts;
        if (!another_follows || route.target_latency <= milliseconds(0))
        {
            return duration::zero();
        }
        return std::max(this->part_of_target(first_attempt_part),
                        this->state->judge.typical_latency(server.id) *
                            first_attempt_usual);
    }

    /// Ends a slow attempt as soon as a repeat is in hand for the next one: without one,
    /// its answer is all that the caller can get.
    void limit_attempt(deadline_timer& timer, std::shared_ptr<upstream_connection> link,
                       std::shared_ptr<const bool> open, duration after)
    {
        timer.arm(after,
                  [this, &timer, link, open]
                  {
                      if (!*open)
                      {
                          return;
                      }
                      if (this->take_repeat())
                      {
                          this->repeat_in_hand = true;
                          link->close();
                          return;
                      }
                      this->limit_attempt(timer, link, open, look_for_repeat);
                  });
    }

    [[nodiscard]] bool take_repeat()
    {
        return this->state->ledger.try_take_repeat(this->scope->service, boot_now());
    }

    /// Spends a repeat of the fleet's budget unless this is the first arrival.
    [[nodiscard]] bool may_arrive()
    {
        return this->arrivals == 0 || std::exchange(this->repeat_in_hand, false) ||
               this->take_repeat();
    }

    task<attempt_result> attempt(const backend_server& server)
    {
        attempt_result made;
        const time_point begun = boot_now();
        this->scope->server = server.id;
        ++this->scope->attempts;
        this->state->judge.begin(server.id);
        made = co_await this->exchange_with(server);
        const time_point now = boot_now();
        this->state->judge.end(server.id, this->sign_of(made), now - begun, now);
        if (made.end != attempt_outcome::answered)
        {
            log_step(*this->scope, "attempt failed", server.id, to_string(made.end));
        }
        co_return made;
    }

    task<attempt_result> exchange_with(const backend_server& server)
    {
        attempt_result made;
        auto link = this->state->pool.take(server.address);
        if (!link)
        {
            link = co_await this->state->pool.open(server.address);
        }
        if (!link)
        {
            co_return made;
        }
        caller_exchange& exchange = *this->scope->exchange;
        if (exchange.disconnected())
        {
            this->state->pool.return_connection(link);
            co_return made;
        }
        const milliseconds left = time_left(*this->scope);
        if (left < shortest_attempt || !this->scope->key_holds())
        {
            link->close();
            co_return made;
        }
        exchange.on_disconnect([link] { link->close(); });
        forward_order order;
        order.server = &server;
        order.time_left = left;
        order.workspace = this->scope->workspace_name();
        link->send(this->state->dialect->write_request(exchange.request(), order),
                   exchange.request().body);
        ++this->arrivals;
        made.end = co_await this->read_answer(link, server, made);
        exchange.on_disconnect(nullptr);
        this->state->pool.return_connection(link);
        co_return made;
    }

    task<attempt_outcome> read_answer(std::shared_ptr<upstream_connection> link,
                                      const backend_server& server, attempt_result& made)
    {
        const auto open = std::make_shared<bool>(true);
        deadline_timer timer(*this->state->loop);
        const duration limit = this->first_attempt_time(server);
        if (limit > duration::zero())
        {
            this->limit_attempt(timer, link, open, limit);
        }
        const io_outcome end = co_await this->read_whole_answer(*link);
        *open = false;
        if (end != io_outcome::good)
        {
            link->close();
            co_return this->repeat_in_hand || end == io_outcome::timed_out
                ? attempt_outcome::timed_out
                : attempt_outcome::lost;
        }
        made.head = link->head();
        made.body = link->take_body();
        co_return this->judge_answer(made.head);
    }

    task<io_outcome> read_whole_answer(upstream_connection& link)
    {
        const io_outcome end = co_await link.read_head(
            this->scope->until, answers_to(*this->state->dialect, this->scope->facts.id));
        if (end != io_outcome::good)
        {
            co_return end;
        }
        co_return co_await link.read_whole(this->scope->until, largest_answer);
    }

    [[nodiscard]] attempt_outcome judge_answer(const message_head& head) const
    {
        constexpr int first_error = 400;
        constexpr int first_server_error = 500;
        const reply_facts facts = this->state->dialect->read_reply(head);
        if (facts.not_run)
        {
            return attempt_outcome::refused;
        }
        if (!facts.is_signed && head.status < first_error)
        {
            return attempt_outcome::lost;
        }
        return head.status >= first_server_error ? attempt_outcome::failed
                                                 : attempt_outcome::answered;
    }

    [[nodiscard]] static server_observation sign_of(const attempt_result& made) noexcept
    {
        switch (made.end)
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

    [[nodiscard]] retry_decision without_server()
    {
        if (this->may_have_run > 0)
        {
            return retry_decision::report_unknown;
        }
        return retry_decision::report_not_run;
    }

    [[nodiscard]] retry_decision decide(const attempt_result& made)
    {
        const bool not_run =
            made.end == attempt_outcome::refused || made.end == attempt_outcome::not_sent;
        this->refusals += not_run ? 1 : 0;
        this->may_have_run += not_run ? 0 : 1;
        const time_point now = boot_now();
        retry_state at;
        at.end = made.end;
        at.possible_runs = this->may_have_run;
        at.refusals = this->refusals;
        at.has_time_left = this->scope->until - now > shortest_attempt + way_back;
        // Asked last: a repeat is taken only when it is used.
        at.has_budget_left = true;
        if (decide_retry(*this->scope->route, at) == retry_decision::try_another &&
            made.end != attempt_outcome::not_sent)
        {
            at.has_budget_left = this->may_arrive();
        }
        return decide_retry(*this->scope->route, at);
    }

    task<void> finish(retry_decision next, attempt_result made)
    {
        const bool passes =
            next == retry_decision::relay &&
            !(promises_not_run(made.head.status) && made.end == attempt_outcome::failed);
        if (passes)
        {
            this->scope->outcome =
                made.end == attempt_outcome::answered ? "answered" : "server_failed";
            co_await relay_answer(*this->scope, made.head, std::move(made.body));
            co_return;
        }
        own_answer own{status_bad_gateway, "answer_lost", run_word::unknown, {}};
        if (next == retry_decision::report_not_run)
        {
            own = {status_unavailable, "no_server", run_word::not_run,
                   duration(retry_soon)};
        }
        else if (next == retry_decision::report_timeout)
        {
            own = {status_late, "no_answer_in_time", run_word::unknown, {}};
        }
        co_await answer_with(*this->scope, own);
    }

    request_scope* scope;
    entry_state* state;
    std::vector<std::string> tried;
    std::uint32_t may_have_run = 0;
    std::uint32_t refusals = 0;
    std::uint32_t arrivals = 0;
    bool repeat_in_hand = false; ///< Taken from the budget for the next attempt.
};

} // namespace

task<void> run_plain_call(request_scope& scope)
{
    plain_call call(scope);
    co_await call.run();
}

} // namespace agateseam
