#include <daemon/share_controller.hpp>

#include <stdexcept>

#include <daemon/share_calls.hpp>
#include <daemon/share_codec.hpp>

namespace agateseam
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{20};

/// Returns the parsed message, or throws as the JSON-RPC server expects of its methods.
template <typename Message>
Message value_or_throw(result<Message> parsed)
{
    if (!parsed)
    {
        throw std::invalid_argument(parsed.error().to_string());
    }
    return std::move(*parsed);
}

} // namespace

result<std::unique_ptr<share_controller>>
share_controller::create(const clock_source& time, const std::string& vm,
                         std::uint64_t incarnation, const std::string& fleet_secret,
                         http_client& client, object_store& store)
{
    std::unique_ptr<share_controller> created(new share_controller);
    created->calls = std::make_unique<share_calls>(fleet_secret, client, store);
    auto started = share_coordinator::create(time, vm, incarnation,
                                             share_holder_options{}, *created->calls);
    if (!started)
    {
        return tl::unexpected<error>(started.error());
    }
    created->coordinator = std::move(*started);
    share_coordinator& handler = *created->coordinator;
    created->server = jsonrpc_server::create(
        {{"share.report",
          [&handler](const std::string& text) {
              return to_text(
                  handler.handle_report(value_or_throw(parse_share_report(text))));
          }},
         {"share.census", [&handler](const std::string& text) {
              return to_text(
                  handler.answer_census(value_or_throw(parse_share_census(text))));
          }}});
    created->worker = std::thread([controller = created.get()] { controller->run(); });
    return created;
}

share_controller::~share_controller()
{
    this->stop();
}

void share_controller::stop()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->worker.joinable())
    {
        this->worker.join();
    }
    this->calls->stop();
}

void share_controller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        this->wake.wait_for(lock, poll_interval,
                            [this] { return this->poll_requested || this->stopping; });
        this->poll_requested = false;
        lock.unlock();
        this->coordinator->poll();
        lock.lock();
    }
}

admission_decision share_controller::reserve(std::string_view workspace, double tokens)
{
    return this->coordinator->holder().reserve(workspace, tokens);
}

void share_controller::deliver(std::string_view workspace, double tokens)
{
    this->coordinator->holder().deliver(workspace, tokens);
}

void share_controller::release(std::string_view workspace, double tokens)
{
    this->coordinator->holder().release(workspace, tokens);
}

void share_controller::reserve_async(std::string_view workspace, double tokens,
                                     share_holder::decision_callback done)
{
    const admission_decision decision = this->reserve(workspace, tokens);
    if (decision.admitted)
    {
        done(decision);
        return;
    }
    this->coordinator->reserve_async(workspace, tokens, std::move(done));
    {
        const std::scoped_lock lock(this->mutex);
        this->poll_requested = true;
    }
    this->wake.notify_one();
}

void share_controller::configure(const configuration& current)
{
    std::vector<allowance_limits> limits;
    limits.reserve(current.workspaces.size());
    for (const auto& [name, workspace] : current.workspaces)
    {
        limits.push_back({name, workspace.rate, workspace.burst});
    }
    this->coordinator->configure(limits);
}

void share_controller::set_entries(std::span<const vm_record> listed)
{
    std::vector<std::string> entries;
    std::map<std::string, std::string> addresses;
    for (const vm_record& vm : listed)
    {
        if (vm.role == "entry")
        {
            entries.push_back(vm.name);
            addresses.emplace(vm.name, vm.address);
        }
    }
    this->calls->set_addresses(std::move(addresses));
    this->coordinator->set_entries(entries);
}

std::string share_controller::serve(const std::string& request)
{
    return this->server->handle(request);
}

} // namespace agateseam
