#include <daemon/entry_context.hpp>

#include <platform/http_object_store.hpp>

namespace agateseam
{

namespace
{

/// Reads the caller's key from the request's headers.
result<api_key_parts> read_key(const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request.header("Authorization");
    if (!header.starts_with(scheme))
    {
        return fail(error_code::unauthorized, "authenticate", "", "no key came along");
    }
    return parse_api_key(header.substr(scheme.size()));
}
constexpr std::uint32_t max_saved_retries = 100;

} // namespace

std::unique_ptr<const configuration_view> configuration_view::create(configuration taken,
                                                                     std::string document)
{
    auto view = std::make_unique<configuration_view>();
    view->current = std::move(taken);
    view->document = std::move(document);
    for (const auto& [name, workspace] : view->current.workspaces)
    {
        for (const key_record& key : workspace.keys)
        {
            view->keys.emplace(key.id, key_owner{&name, &key});
        }
    }
    return view;
}

result<std::unique_ptr<entry_context>>
entry_context::create(const daemon_settings& settings)
{
    std::unique_ptr<entry_context> context(new entry_context);
    context->settings = settings;
    context->incarnation =
        static_cast<std::uint64_t>(context->time.wall_now().time_since_epoch().count());
    context->telemetry = std::make_unique<process_telemetry>(settings, context->time,
                                                             context->incarnation);
    http_client_options options;
    options.threads = settings.listen.threads;
    auto client = http_client::create(options);
    if (!client)
    {
        return tl::unexpected<error>(client.error());
    }
    context->client = std::move(*client);
    auto store = make_http_object_store({settings.platform_url}, *context->client);
    if (!store)
    {
        return tl::unexpected<error>(store.error());
    }
    context->platform = std::move(*store);
    store_budget_options budget;
    budget.jitter_seed = context->incarnation;
    auto budgeted = budgeted_store::create(*context->platform, context->time, budget);
    if (!budgeted)
    {
        return tl::unexpected<error>(budgeted.error());
    }
    context->store = std::move(*budgeted);
    auto claims = claim_ledger::create(*context->store, context->time, {});
    if (!claims)
    {
        return tl::unexpected<error>(claims.error());
    }
    context->claims = std::move(*claims);
    context->configs =
        config_store::create(*context->store, context->time, context->next_request_id());
    auto relay = config_relay::create({settings.vm, "", settings.failure_domain}, {});
    if (!relay)
    {
        return tl::unexpected<error>(relay.error());
    }
    context->relay = std::move(*relay);
    context->peers = std::make_unique<config_peers>(context->time, *context->relay);
    auto allowance = share_controller::create(context->time, settings.vm,
                                              context->incarnation, settings.fleet_secret,
                                              *context->client, *context->store);
    if (!allowance)
    {
        return tl::unexpected<error>(allowance.error());
    }
    context->allowance = std::move(*allowance);
    context->placer = make_weighted_placement(context->incarnation);
    auto retries = retry_budget::create(settings.limits.retry_ratio, max_saved_retries);
    if (!retries)
    {
        return tl::unexpected<error>(retries.error());
    }
    context->retries = std::move(*retries);
    return context;
}

std::string entry_context::next_request_id()
{
    return this->settings.vm + "-" + std::to_string(this->incarnation) + "-" +
           std::to_string(++this->requests);
}

key_flag entry_context::watch_key(const http_request& request)
{
    const auto parts = read_key(request);
    return this->keys.add(parts ? parts->id : std::string_view{}, this->board.config);
}

result<std::string> entry_context::authenticate(const http_request& request) const
{
    const auto parts = read_key(request);
    if (!parts)
    {
        return tl::unexpected<error>(parts.error());
    }
    const auto config = this->board.config.read();
    if (config)
    {
        const auto found = config->keys.find(parts->id);
        if (found != config->keys.end() &&
            secret_matches(*found->second.record, parts->secret))
        {
            return *found->second.workspace;
        }
    }
    return fail(error_code::unauthorized, "authenticate", "", "the key is not valid");
}

bool entry_context::may_admit() const noexcept
{
    return this->time.now().time_since_epoch().count() < this->admit_until;
}

bool entry_context::trusted(const http_request& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view token = request.header("Authorization");
    const bool from_operator =
        token.starts_with(scheme) &&
        constant_time_equal(token.substr(scheme.size()), this->settings.operator_token);
    const bool from_fleet =
        constant_time_equal(request.header(headers::fleet), this->settings.fleet_secret);
    return from_operator || from_fleet;
}

process_gauges entry_context::gauges() const
{
    process_gauges current;
    current.open = this->requests_in_progress;
    const auto config = this->board.config.read();
    current.config_number = config ? config->current.number : 0;
    return current;
}

void entry_context::apply_load_header(const std::vector<http_header>& head)
{
    this->telemetry->merge_stamp(head);
    for (const auto& [name, value] : head)
    {
        if (name != headers::load)
        {
            continue;
        }
        const auto report = parse_load_report(value);
        const auto members = this->board.members.read();
        if (!report || !members)
        {
            return;
        }
        for (const auto& agent : members->all)
        {
            if (agent->vm == report->vm)
            {
                agent->apply_report(*report, this->time.now());
                return;
            }
        }
    }
}

} // namespace agateseam
