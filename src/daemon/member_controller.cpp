#include <daemon/member_controller.hpp>

#include <algorithm>

#include <agateseam/member_selection.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds poll_interval{100};
constexpr milliseconds list_refresh_interval{1'000};
constexpr milliseconds min_heartbeat_interval{500};
constexpr milliseconds heartbeat_timeout{1'000};
constexpr milliseconds millisecond_per_second{1'000};

std::shared_ptr<member> find_or_make_member(const member_list* known, const vm_record& vm)
{
    if (known != nullptr)
    {
        for (const auto& agent : known->all)
        {
            if (agent->vm == vm.name && agent->address == vm.address)
            {
                return agent;
            }
        }
    }
    auto created = std::make_shared<member>();
    created->vm = vm.name;
    created->address = vm.address;
    created->failure_domain = vm.failure_domain;
    return created;
}

/// Whether a call for an agent's load may use a pooled connection.
enum class load_call_kind : std::uint8_t
{
    /// May use a pooled connection, so a failure may only mean that the connection is
    /// dead.
    heartbeat,
    /// Uses a new connection, so a failure means that the agent does not answer.
    probe
};

void request_load(entry_context& context, const std::shared_ptr<member>& agent,
                  load_call_kind kind)
{
    http_call call;
    call.url = "http://" + agent->address + "/agent/load";
    call.step = kind == load_call_kind::probe ? "probe" : "heartbeat";
    call.connect_timeout = heartbeat_timeout;
    call.total_timeout = heartbeat_timeout;
    call.fresh_connection = kind == load_call_kind::probe;
    call.headers = {{std::string(headers::fleet), context.settings.fleet_secret}};
    context.client->fetch_async(
        std::move(call),
        [agent, shared = &context, kind](const result<http_reply>& reply)
        {
            const auto report =
                reply && reply->status == 200
                    ? parse_load_report(reply->body)
                    : fail(error_code::unavailable, "heartbeat", agent->vm, "no answer");
            if (report)
            {
                agent->apply_report(*report, shared->time.now());
                agent->silent = false;
            }
            else if (kind == load_call_kind::heartbeat)
            {
                request_load(*shared, agent, load_call_kind::probe);
            }
            else if (!agent->silent.exchange(true))
            {
                log_error("agent is silent", report.error());
            }
        });
}

} // namespace

member_controller::member_controller(entry_context& shared)
    : context(&shared)
    , worker([this] { this->run(); })
{
}

member_controller::~member_controller()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->worker.join();
}

void member_controller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        lock.unlock();
        const time_point now = this->context->time.now();
        if (now >= this->refresh_at)
        {
            this->refresh_at = now + list_refresh_interval;
            this->refresh_list();
        }
        this->send_heartbeats();
        lock.lock();
        this->wake.wait_for(lock, poll_interval);
    }
}

void member_controller::refresh_list()
{
    const auto listed = this->context->store->vms();
    if (!listed)
    {
        return;
    }
    this->context->allowance->set_entries(*listed);
    std::vector<peer_record> entries;
    for (const vm_record& vm : *listed)
    {
        if (vm.role == "entry")
        {
            entries.push_back({vm.name, vm.address, vm.failure_domain});
        }
    }
    this->context->relay->set_peers(std::move(entries));
    this->publish_members(*listed);
}

void member_controller::publish_members(const std::vector<vm_record>& listed)
{
    const daemon_settings& settings = this->context->settings;
    auto next = std::make_unique<member_list>();
    std::map<std::string, time_point> next_heartbeats;
    {
        const auto known = this->context->board.members.read();
        for (const std::size_t index :
             select_members(listed, settings.vm, settings.failure_domain,
                            settings.limits.max_members))
        {
            const vm_record& vm = listed[index];
            auto agent = find_or_make_member(known.get(), vm);
            agent->leaving_in_vm_list = vm.leaving;
            agent->leaving = agent->leaving || vm.leaving;
            next_heartbeats[vm.name] = this->last_heartbeats[vm.name];
            next->all.push_back(std::move(agent));
        }
    }
    this->last_heartbeats = std::move(next_heartbeats);
    this->context->board.members.publish(std::move(next));
}

/// Returns the heartbeat interval of each agent that keeps the total within the rate.
duration member_controller::heartbeat_interval(std::size_t agents) const
{
    const duration interval_at_rate =
        millisecond_per_second * static_cast<long>(agents) /
        this->context->settings.limits.heartbeats_per_second;
    return std::max<duration>(min_heartbeat_interval, interval_at_rate);
}

void member_controller::send_heartbeats()
{
    std::vector<std::shared_ptr<member>> agents;
    {
        const auto known = this->context->board.members.read();
        if (known)
        {
            agents = known->all;
        }
    }
    const time_point now = this->context->time.now();
    const duration interval = this->heartbeat_interval(agents.size());
    for (const auto& agent : agents)
    {
        const time_point last_report{duration{agent->last_report_at.load()}};
        time_point& last_heartbeat = this->last_heartbeats[agent->vm];
        if (now - std::max(last_report, last_heartbeat) >= interval)
        {
            last_heartbeat = now;
            request_load(*this->context, agent, load_call_kind::heartbeat);
        }
    }
}

} // namespace agateseam
