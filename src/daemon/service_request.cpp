#include <daemon/entry_context.hpp>

#include <daemon/api_error.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

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
            respond(*this->exchange, to_api_error({error_code::not_found, "find route",
                                                   "", "no route leads to this path"},
                                                  run_state::not_run));
            return;
        }
        if (!this->route.open)
        {
            auto owner = this->context->authenticate(this->exchange->request());
            if (!owner)
            {
                respond(*this->exchange, to_api_error(owner.error(), run_state::not_run));
                return;
            }
            this->workspace = std::move(*owner);
        }
        this->id = this->context->next_request_id();
        this->body = this->exchange->take_body();
        this->next_attempt();
    }

  private:
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
                this->route = candidate;
            }
        }
        return longest > 0;
    }

    void next_attempt()
    {
        placement_request wanted;
        wanted.pool = this->route.pool;
        wanted.workspace = this->workspace;
        wanted.failure_domain = this->context->settings.failure_domain;
        wanted.excluded = this->excluded;
        const auto members = this->context->board.members.read();
        auto chosen =
            members ? this->context->placer->choose_service(wanted, *members)
                    : fail(error_code::exhausted, "place", "", "no agent is known yet");
        if (!chosen)
        {
            respond(*this->exchange, to_api_error(chosen.error(), run_state::not_run));
            return;
        }
        this->send(**chosen);
    }

    void send(const member& agent)
    {
        ++this->attempt;
        this->vm = agent.vm;
        const http_request& request = this->exchange->request();
        attempt_order order;
        order.id = {this->id, this->attempt};
        order.workspace = this->workspace;
        order.method = request.method;
        order.path =
            request.query.empty() ? request.path : request.path + "?" + request.query;
        order.idempotency_key = request.header("Idempotency-Key");
        order.repeatable = this->route.repeatable;
        order.deadline = this->context->settings.limits.first_token;
        http_call call;
        call.method = "POST";
        call.url = "http://" + agent.address + "/agent/service";
        call.step = "service";
        call.fresh_connection = !this->route.repeatable;
        call.total_timeout = this->context->settings.limits.first_token;
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret},
            {std::string(headers::attempt), to_text(order)},
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
        const bool failed = !reply || not_run;
        const bool again = failed && (not_run || this->route.repeatable) &&
                           this->attempt < this->context->settings.limits.attempts;
        if (again)
        {
            this->excluded.push_back(this->vm);
            this->next_attempt();
        }
        else if (!reply)
        {
            const run_state run = not_run ? run_state::not_run : run_state::unknown;
            respond(*this->exchange, to_api_error(reply.error(), run));
        }
        else
        {
            this->pass_on(std::move(*reply));
        }
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
        this->exchange->respond(reply.status, std::move(head), std::move(reply.body));
    }

    entry_context* context;
    std::shared_ptr<http_exchange> exchange;
    route_config route;
    std::string workspace;
    std::string id;
    std::string body;
    std::string vm;
    std::uint32_t attempt = 0;
    std::vector<std::string> excluded;
};

} // namespace

void start_service_request(entry_context& context,
                           std::shared_ptr<http_exchange> exchange)
{
    std::make_shared<service_request>(context, std::move(exchange))->start();
}

} // namespace agateseam
