#include <daemon/member_controller.hpp>

#include <algorithm>

#include <agateseam/member_selection.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds round{100};
constexpr milliseconds list_interval{1'000};
constexpr milliseconds least_ask_interval{500};
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds millisecond_per_second{1'000};

std::shared_ptr<member> find_member(const member_list* known, const vm_record& vm)
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
    auto fresh = std::make_shared<member>();
    fresh->vm = vm.name;
    fresh->address = vm.address;
    fresh->failure_domain = vm.failure_domain;
    return fresh;
}

/// Whether a call for an agent's load may use a pooled connection.
enum class load_call : std::uint8_t
{
    heartbeat, ///< May; its failure says little, the connection may be dead.
    probe      ///< Has a connection of its own; its failure is the agent's.
};

void ask_load(entry_context& context, const std::shared_ptr<member>& agent,
              load_call kind)
{
    http_call call;
    call.url = "http://" + agent->address + "/agent/load";
    call.step = kind == load_call::probe ? "probe" : "heartbeat";
    call.connect_timeout = answer_limit;
    call.total_timeout = answer_limit;
    call.fresh_connection = kind == load_call::probe;
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
            else if (kind == load_call::heartbeat)
            {
                ask_load(*shared, agent, load_call::probe);
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
        const std::scoped_lock hold(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->worker.join();
}

void member_controller::run()
{
    std::unique_lock hold(this->mutex);
    while (!this->stopping)
    {
        hold.unlock();
        const time_point now = this->context->time.now();
        if (now >= this->refresh_at)
        {
            this->refresh_at = now + list_interval;
            this->refresh_list();
        }
        this->ask_loads();
        hold.lock();
        this->wake.wait_for(hold, round);
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
    this->take_list(*listed);
}

void member_controller::take_list(const std::vector<vm_record>& listed)
{
    const daemon_settings& settings = this->context->settings;
    auto next = std::make_unique<member_list>();
    std::map<std::string, time_point> kept;
    {
        const auto known = this->context->board.members.read();
        for (const std::size_t index : select_members(
                 listed, settings.vm, settings.failure_domain, settings.limits.members))
        {
            const vm_record& vm = listed[index];
            auto agent = find_member(known.get(), vm);
            agent->leaving_in_vm_list = vm.leaving;
            agent->leaving = agent->leaving || vm.leaving;
            kept[vm.name] = this->asked[vm.name];
            next->all.push_back(std::move(agent));
        }
    }
    this->asked = std::move(kept);
    this->context->board.members.publish(std::move(next));
}

/// Returns how often each agent is asked, so that all together stay under the rate.
duration member_controller::ask_interval(std::size_t agents) const
{
    const duration spread = millisecond_per_second * static_cast<long>(agents) /
                            this->context->settings.limits.heartbeats;
    return std::max<duration>(least_ask_interval, spread);
}

void member_controller::ask_loads()
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
    const duration interval = this->ask_interval(agents.size());
    for (const auto& agent : agents)
    {
        const time_point heard{duration{agent->last_report_at.load()}};
        time_point& last = this->asked[agent->vm];
        if (now - std::max(heard, last) >= interval)
        {
            last = now;
            ask_load(*this->context, agent, load_call::heartbeat);
        }
    }
}

} // namespace agateseam
