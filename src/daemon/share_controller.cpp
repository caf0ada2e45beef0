#include <daemon/share_controller.hpp>

#include <stdexcept>

#include <daemon/share_calls.hpp>
#include <daemon/share_codec.hpp>

namespace agateseam
{

namespace
{

constexpr std::chrono::milliseconds poll_pause{20};

/// Parses or throws, as the methods of a JSON-RPC server do.
template <typename Message>
Message require(result<Message> parsed)
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
    std::unique_ptr<share_controller> made(new share_controller);
    made->calls = std::make_unique<share_calls>(fleet_secret, client, store);
    auto node = share_coordinator::create(time, vm, incarnation, share_holder_options{},
                                          *made->calls);
    if (!node)
    {
        return tl::unexpected<error>(node.error());
    }
    made->node = std::move(*node);
    share_coordinator& served = *made->node;
    made->server = jsonrpc_server::create(
        {{"share.report", [&served](const std::string& text)
          { return to_text(served.handle_report(require(parse_share_report(text)))); }},
         {"share.census", [&served](const std::string& text)
          { return to_text(served.answer_census(require(parse_share_census(text)))); }}});
    made->worker = std::thread([controller = made.get()] { controller->run(); });
    return made;
}

share_controller::~share_controller()
{
    this->stop();
}

void share_controller::stop()
{
    {
        const std::scoped_lock hold(this->mutex);
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
    std::unique_lock hold(this->mutex);
    while (!this->stopping)
    {
        this->wake.wait_for(hold, poll_pause,
                            [this] { return this->asked || this->stopping; });
        this->asked = false;
        hold.unlock();
        this->node->poll();
        hold.lock();
    }
}

admission_decision share_controller::reserve(std::string_view workspace, double tokens)
{
    return this->node->holder().reserve(workspace, tokens);
}

void share_controller::deliver(std::string_view workspace, double tokens)
{
    this->node->holder().deliver(workspace, tokens);
}

void share_controller::release(std::string_view workspace, double tokens)
{
    this->node->holder().release(workspace, tokens);
}

void share_controller::ask(std::string_view workspace, double tokens,
                           share_holder::decision_callback done)
{
    const admission_decision decision = this->reserve(workspace, tokens);
    if (decision.admitted)
    {
        done(decision);
        return;
    }
    this->node->reserve_async(workspace, tokens, std::move(done));
    {
        const std::scoped_lock hold(this->mutex);
        this->asked = true;
    }
    this->wake.notify_one();
}

void share_controller::configure(const configuration& current)
{
    std::vector<allowance_limits> terms;
    terms.reserve(current.workspaces.size());
    for (const auto& [name, workspace] : current.workspaces)
    {
        terms.push_back({name, workspace.rate, workspace.burst});
    }
    this->node->configure(terms);
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
    this->node->set_entries(entries);
}

std::string share_controller::serve(const std::string& request)
{
    return this->server->handle(request);
}

} // namespace agateseam
