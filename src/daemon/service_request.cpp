#include <daemon/entry_context.hpp>

#include <daemon/api_error.hpp>
#include <daemon/claim_answer.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t key_limit = 255;          // characters of an idempotency key
constexpr std::size_t kept_body_limit = 64'000; // bytes of an outcome's body
constexpr milliseconds claim_margin{5'000};     // past the run's own limit

/// One caller's request to a plain service.
class service_request final : public std::enable_shared_from_this<service_request>
{
  public:
    service_request(entry_context& shared, std::shared_ptr<http_exchange> caller)
        : context(&shared)
        , exchange(std::move(caller))
    {
        ++this->context->open;
    }

    ~service_request() { --this->context->open; }
    service_request(const service_request&) = delete;
    service_request& operator=(const service_request&) = delete;

    void start()
    {
        if (!this->find_route())
        {
            this->refuse(
                {error_code::not_found, "find route", "", "no route leads to this path"});
            return;
        }
        if (!this->route.open)
        {
            auto owner = this->context->authenticate(this->exchange->request());
            if (!owner)
            {
                this->refuse(owner.error());
                return;
            }
            this->workspace = std::move(*owner);
            this->key_state_now = this->context->follow_key(this->exchange->request());
        }
        this->id = this->context->next_request_id();
        this->key = this->exchange->request().header("Idempotency-Key");
        this->body = this->exchange->take_body();
        if (this->key.size() > key_limit)
        {
            this->refuse({error_code::invalid, "claim", "",
                          "the idempotency key is longer than 255 characters"});
        }
        else if (this->route.repeatable || this->key.empty())
        {
            this->next_attempt();
        }
        else
        {
            this->claim();
        }
    }

  private:
    void refuse(const error& fault)
    {
        respond(*this->exchange, to_api_error(fault, run_state::not_run));
    }

    [[nodiscard]] bool find_route()
    {
        const auto config = this->context->board.config.read();
        std::size_t longest = 0;
        if (!config)
        {
            return false;
        }
        for (const auto& [name, candidate] : config->current.routes)
        {
            const bool match =
                this->exchange->request().path.starts_with(candidate.prefix);
            if (match && candidate.prefix.size() > longest)
            {
                longest = candidate.prefix.size();
                this->route_name = name;
                this->route = candidate;
            }
        }
        this->retention = std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double>(config->current.policy.claim_retention));
        return longest > 0;
    }

    [[nodiscard]] std::string target() const
    {
        const http_request& request = this->exchange->request();
        return request.query.empty() ? request.path : request.path + "?" + request.query;
    }

    /// Claims the caller's key; the call is handed over only once the claim is granted.
    void claim()
    {
        const milliseconds run_limit =
            this->context->settings.limits.first_token_timeout *
            static_cast<int>(this->context->settings.limits.max_attempts);
        this->order.id = make_claim_id(this->workspace, this->route_name, this->key);
        this->order.owner = this->id;
        this->order.fingerprint = make_call_fingerprint(this->exchange->request().method,
                                                        this->target(), this->body);
        this->claimed_at = this->context->time.now();
        this->order.now = this->context->time.wall_now();
        this->order.deadline = this->order.now + run_limit + claim_margin;
        this->order.expiry = this->order.now + std::max(this->retention, run_limit * 2);
        this->context->claims->claim(this->order,
                                     [self = this->shared_from_this()](auto answer)
                                     { self->on_claim(answer); });
    }

    void on_claim(const result<claim_answer>& answer)
    {
        if (!answer)
        {
            this->refuse(answer.error());
        }
        else if (answer->status != claim_status::granted)
        {
            respond_claimed(*this->exchange, *answer);
        }
        else if (this->exchange->gone())
        {
            this->context->claims->release(this->order);
        }
        else if (this->context->time.now() - this->claimed_at > claim_margin)
        {
            // A process that was paused here must not outlive its own claim.
            this->context->claims->release(this->order);
            this->refuse(
                {error_code::unavailable, "claim", "", "the claim was granted too late"});
        }
        else
        {
            this->claimed = true;
            this->next_attempt();
        }
    }

    [[nodiscard]] bool withdrawn() const
    {
        return this->key_state_now && *this->key_state_now != key_state::valid;
    }

    void next_attempt()
    {
        if (this->withdrawn())
        {
            this->fail_with({error_code::unauthorized, "authenticate", "",
                             "the key has been withdrawn"},
                            this->maybe_run ? run_state::unknown : run_state::not_run);
            return;
        }
        placement_request wanted;
        wanted.pool = this->route.pool;
        wanted.workspace = this->workspace;
        wanted.failure_domain = this->context->settings.failure_domain;
        wanted.excluded_vms = this->excluded;
        const auto members = this->context->board.members.read();
        auto chosen =
            members ? this->context->placer->choose_service(wanted, *members)
                    : fail(error_code::exhausted, "place", "", "no agent is known yet");
        if (!chosen)
        {
            this->fail_with(chosen.error(),
                            this->maybe_run ? run_state::unknown : run_state::not_run);
            return;
        }
        this->send(**chosen);
    }

    void send(const member& agent)
    {
        ++this->attempt;
        this->vm = agent.vm;
        const http_request& request = this->exchange->request();
        attempt_order to_agent;
        to_agent.id = {this->id, this->attempt};
        to_agent.workspace = this->workspace;
        to_agent.method = request.method;
        to_agent.path = this->target();
        to_agent.idempotency_key = this->key;
        to_agent.repeatable = this->route.repeatable;
        to_agent.deadline = this->context->settings.limits.first_token_timeout;
        http_call call;
        call.method = "POST";
        call.url = "http://" + agent.address + "/agent/service";
        call.step = "service";
        call.fresh_connection = !this->route.repeatable;
        call.total_timeout = this->context->settings.limits.first_token_timeout;
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret},
            {std::string(headers::attempt), to_text(to_agent)},
            this->context->telemetry->stamp_header()};
        const std::string_view type = request.header("Content-Type");
        if (!type.empty())
        {
            call.headers.emplace_back("Content-Type", type);
        }
        call.body = this->body;
        this->context->client->fetch_async(
            std::move(call), [self = this->shared_from_this()](result<http_reply> reply)
            { self->on_reply(std::move(reply)); });
    }

    void on_reply(result<http_reply> reply)
    {
        if (reply)
        {
            this->context->note_load(reply->headers);
        }
        const bool not_run =
            reply ? reply->header(headers::run) == to_string(run_state::not_run)
                  : reply.error().code == error_code::unavailable;
        this->maybe_run = this->maybe_run || !not_run;
        const bool failed = !reply || not_run;
        const bool again = failed && (not_run || this->route.repeatable) &&
                           this->attempt < this->context->settings.limits.max_attempts;
        if (again)
        {
            this->excluded.push_back(this->vm);
            this->next_attempt();
        }
        else if (!reply)
        {
            this->fail_with(reply.error(),
                            this->maybe_run ? run_state::unknown : run_state::not_run);
        }
        else
        {
            this->pass_on(std::move(*reply));
        }
    }

    void fail_with(const error& fault, run_state run)
    {
        const api_error refused = to_api_error(fault, run);
        if (run != run_state::unknown)
        {
            this->give_up_claim();
            respond(*this->exchange, refused);
            return;
        }
        this->record_then({refused.status, run, "application/json", to_text(refused)},
                          [self = this->shared_from_this(), refused]
                          { respond(*self->exchange, refused); });
    }

    void pass_on(http_reply reply)
    {
        std::vector<http_header> head{{"x-request-id", this->id}};
        for (const std::string_view name :
             {headers::run, std::string_view("Content-Type"),
              std::string_view("Retry-After")})
        {
            const std::string_view value = reply.header(name);
            if (!value.empty())
            {
                head.emplace_back(name, value);
            }
        }
        const std::string_view run = reply.header(headers::run);
        if (run == to_string(run_state::not_run))
        {
            this->give_up_claim();
            this->exchange->respond(reply.status, std::move(head), std::move(reply.body));
            return;
        }
        const bool ran = run == to_string(run_state::ran);
        call_outcome outcome{reply.status, ran ? run_state::ran : run_state::unknown,
                             std::string(reply.header("Content-Type")),
                             this->kept_body(reply.body)};
        this->record_then(std::move(outcome),
                          [self = this->shared_from_this(), status = reply.status, head,
                           text = std::move(reply.body)]
                          { self->exchange->respond(status, head, text); });
    }

    [[nodiscard]] static std::string kept_body(const std::string& whole)
    {
        return whole.size() <= kept_body_limit ? whole : std::string{};
    }

    void give_up_claim()
    {
        if (this->claimed)
        {
            this->context->claims->release(this->order);
        }
    }

    /// Records the outcome, then answers: a repeat finds what its first caller was told.
    /// When the store fails the caller is answered all the same.
    void record_then(call_outcome outcome, std::function<void()> answer)
    {
        if (!this->claimed)
        {
            answer();
            return;
        }
        this->context->claims->record(
            this->order, std::move(outcome),
            [self = this->shared_from_this(),
             answer = std::move(answer)](const result<void>& recorded)
            {
                if (!recorded)
                {
                    log_error("outcome not recorded yet", recorded.error(),
                              {{"request", std::string_view(self->id)}});
                }
                answer();
            });
    }

    entry_context* context;
    std::shared_ptr<http_exchange> exchange;
    std::string route_name;
    route_config route;
    milliseconds retention{0};
    std::string workspace;
    key_flag key_state_now; ///< Null on open routes.
    std::string id;
    std::string key;
    std::string body;
    std::string vm;
    std::uint32_t attempt = 0;
    std::vector<std::string> excluded;
    claim_request order;
    time_point claimed_at;
    bool claimed = false;
    bool maybe_run = false;
};

} // namespace

void start_service_request(entry_context& context,
                           std::shared_ptr<http_exchange> exchange)
{
    std::make_shared<service_request>(context, std::move(exchange))->start();
}

} // namespace agateseam
