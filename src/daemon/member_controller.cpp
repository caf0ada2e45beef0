#include <daemon/member_controller.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds round{500};
constexpr milliseconds silence_limit{2'000};

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

} // namespace

member_controller::member_controller(entry_context& shared)
    : context(&shared)
    , worker([this] { this->run(); })
{
}

member_controller::~member_controller()
{
    this->stopping = true;
    this->worker.join();
}

void member_controller::run()
{
    while (!this->stopping)
    {
        this->refresh_list();
        this->ask_loads();
        std::this_thread::sleep_for(round);
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
    auto next = std::make_unique<member_list>();
    {
        const auto known = this->context->board.members.read();
        for (const vm_record& vm : *listed)
        {
            if (vm.role == "agent")
            {
                auto agent = find_member(known.get(), vm);
                agent->leaving = agent->leaving || vm.leaving;
                next->all.push_back(std::move(agent));
            }
        }
    }
    this->context->board.members.publish(std::move(next));
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
    for (const auto& agent : agents)
    {
        const time_point heard{duration{agent->heard.load()}};
        agent->silent = now - heard > silence_limit;
        http_call call;
        call.url = "http://" + agent->address + "/agent/load";
        call.step = "heartbeat";
        call.total_timeout = silence_limit;
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret}};
        this->context->client->fetch_async(
            std::move(call),
            [agent, shared = this->context](const result<http_reply>& reply)
            {
                if (!reply || reply->status != 200)
                {
                    return;
                }
                if (const auto report = parse_load_report(reply->body))
                {
                    agent->take(*report, shared->time.now());
                }
            });
    }
}

} // namespace agateseam
