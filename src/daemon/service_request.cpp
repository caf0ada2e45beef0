#include <daemon/entry_context.hpp>

#include <algorithm>
#include <iterator>

#include <daemon/api_error.hpp>
#include <daemon/claim_answer.hpp>
#include <daemon/service_headers.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_idempotency_key_length = 255;
constexpr std::size_t max_recorded_body_bytes = 64'000; // A larger body is not recorded.
/// Added to the call's time limit in the claim's deadline; also the longest time that the
/// claim may take to be granted.
constexpr milliseconds claim_margin{5'000};

/// One caller's request to a plain service.
class service_request final : public std::enable_shared_from_this<service_request>
{
  public:
    service_request(entry_context& shared, std::shared_ptr<http_exchange> caller)
        : context(&shared)
        , exchange(std::move(caller))
    {
        ++this->context->requests_in_progress;
    }

    ~service_request() { --this->context->requests_in_progress; }
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
            this->watched_key = this->context->watch_key(this->exchange->request());
        }
        this->id = this->context->next_request_id();
        this->idempotency_key = this->exchange->request().header("Idempotency-Key");
        this->body = this->exchange->take_body();
        if (this->idempotency_key.size() > max_idempotency_key_length)
        {
            this->refuse({error_code::invalid, "claim", "",
                          "the idempotency key is longer than 255 characters"});
        }
        else if (this->route.repeatable || this->idempotency_key.empty())
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

    /// A call that resumes a stream isn't the one that began it, whose recorded answer
    /// has events that the caller got before.
    [[nodiscard]] std::string fingerprint() const
    {
        const http_request& request = this->exchange->request();
        const std::string_view last_event = request.header(last_event_header);
        return make_call_fingerprint(request.method,
                                     last_event.empty()
                                         ? this->target()
                                         : this->target() + "#" + std::string(last_event),
                                     this->body);
    }

    /// Claims the caller's idempotency key. The call is sent only after the claim is
    /// granted.
    void claim()
    {
        const milliseconds run_limit =
            this->context->settings.limits.first_token_timeout *
            static_cast<int>(this->context->settings.limits.max_attempts);
        this->pending_claim.id =
            make_claim_id(this->workspace, this->route_name, this->idempotency_key);
        this->pending_claim.owner = this->id;
        this->pending_claim.fingerprint = this->fingerprint();
        this->claimed_at = this->context->time.now();
        this->pending_claim.now = this->context->time.wall_now();
        this->pending_claim.deadline = this->pending_claim.now + run_limit + claim_margin;
        this->pending_claim.expiry =
            this->pending_claim.now + std::max(this->retention, run_limit * 2);
        this->context->claims->claim(this->pending_claim,
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
        else if (this->exchange->disconnected())
        {
            this->context->claims->release(this->pending_claim);
        }
        else if (this->context->time.now() - this->claimed_at > claim_margin)
        {
            // A process that was paused here must not run the call after the claim's
            // deadline.
            this->context->claims->release(this->pending_claim);
            this->refuse(
                {error_code::unavailable, "claim", "", "the claim was granted too late"});
        }
        else
        {
            this->claimed = true;
            this->next_attempt();
        }
    }

    [[nodiscard]] bool is_key_withdrawn() const
    {
        return this->watched_key && *this->watched_key != key_state::valid;
    }

    void next_attempt()
    {
        if (this->is_key_withdrawn())
        {
            this->end_with_error({error_code::unauthorized, "authenticate", "",
                                  "the key has been withdrawn"},
                                 this->may_have_run ? run_state::unknown
                                                    : run_state::not_run);
            return;
        }
        placement_request query;
        query.pool = this->route.pool;
        query.workspace = this->workspace;
        query.failure_domain = this->context->settings.failure_domain;
        query.excluded_vms = this->excluded_vms;
        const auto members = this->context->board.members.read();
        auto chosen =
            members ? this->context->placer->choose_service(query, *members)
                    : fail(error_code::exhausted, "place", "", "no agent is known yet");
        if (!chosen)
        {
            this->end_with_error(chosen.error(), this->may_have_run ? run_state::unknown
                                                                    : run_state::not_run);
            return;
        }
        this->send(**chosen);
    }

    void send(const member& agent)
    {
        ++this->attempt;
        this->attempt_vm = agent.vm;
        const http_request& request = this->exchange->request();
        attempt_order to_agent;
        to_agent.id = {this->id, this->attempt};
        to_agent.workspace = this->workspace;
        to_agent.method = request.method;
        to_agent.path = this->target();
        to_agent.idempotency_key = this->idempotency_key;
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
        std::ranges::move(service_headers(request), std::back_inserter(call.headers));
        call.body = this->body;
        this->context->client->fetch_async(
            std::move(call), [self = this->shared_from_this()](result<http_reply> reply)
            { self->on_reply(std::move(reply)); });
    }

    void on_reply(result<http_reply> reply)
    {
        if (reply)
        {
            this->context->apply_load_header(reply->headers);
        }
        const bool not_run =
            reply ? reply->header(headers::run) == to_string(run_state::not_run)
                  : reply.error().code == error_code::unavailable;
        this->may_have_run = this->may_have_run || !not_run;
        const bool failed = !reply || not_run;
        const bool retry = failed && (not_run || this->route.repeatable) &&
                           this->attempt < this->context->settings.limits.max_attempts;
        if (retry)
        {
            this->excluded_vms.push_back(this->attempt_vm);
            this->next_attempt();
        }
        else if (!reply)
        {
            this->end_with_error(reply.error(), this->may_have_run ? run_state::unknown
                                                                   : run_state::not_run);
        }
        else if (not_run && this->may_have_run)
        {
            this->end_with_error({error_code::broken, "service", this->attempt_vm,
                                  "an earlier attempt may have run"},
                                 run_state::unknown);
        }
        else
        {
            this->forward_reply(std::move(*reply));
        }
    }

    void end_with_error(const error& fault, run_state run)
    {
        const api_error refused = to_api_error(fault, run);
        if (run != run_state::unknown)
        {
            this->release_claim();
            respond(*this->exchange, refused);
            return;
        }
        this->record_and_respond(
            {refused.status, run, "application/json", to_text(refused)},
            [self = this->shared_from_this(), refused]
            { respond(*self->exchange, refused); });
    }

    void forward_reply(http_reply reply)
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
            this->release_claim();
            this->exchange->respond(reply.status, std::move(head), std::move(reply.body));
            return;
        }
        const bool ran = run == to_string(run_state::ran);
        call_outcome outcome{reply.status, ran ? run_state::ran : run_state::unknown,
                             std::string(reply.header("Content-Type")),
                             this->body_to_record(reply.body)};
        this->record_and_respond(std::move(outcome),
                                 [self = this->shared_from_this(), status = reply.status,
                                  head, text = std::move(reply.body)]
                                 { self->exchange->respond(status, head, text); });
    }

    [[nodiscard]] static std::string body_to_record(const std::string& whole)
    {
        return whole.size() <= max_recorded_body_bytes ? whole : std::string{};
    }

    void release_claim()
    {
        if (this->claimed)
        {
            this->context->claims->release(this->pending_claim);
        }
    }

    /// Records the outcome of a claimed call before the caller is answered, so that a
    /// repeat gets the same answer. The caller is answered even if the store fails.
    void record_and_respond(call_outcome outcome, std::function<void()> answer)
    {
        if (!this->claimed)
        {
            answer();
            return;
        }
        this->context->claims->record(
            this->pending_claim, std::move(outcome),
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
    key_flag watched_key; ///< Null on open routes.
    std::string id;
    std::string idempotency_key;
    std::string body;
    std::string attempt_vm;
    std::uint32_t attempt = 0;
    std::vector<std::string> excluded_vms;
    claim_request pending_claim;
    time_point claimed_at;
    bool claimed = false;
    bool may_have_run = false;
};

} // namespace

void start_service_request(entry_context& context,
                           std::shared_ptr<http_exchange> exchange)
{
    std::make_shared<service_request>(context, std::move(exchange))->start();
}

} // namespace agateseam
