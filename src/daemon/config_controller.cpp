#include <daemon/config_controller.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds watch_wait{2'000};
constexpr milliseconds retry_wait{200};

} // namespace

config_controller::config_controller(entry_context& shared)
    : context(&shared)
    , configs(config_store::create(*shared.store, shared.time, shared.next_request_id()))
    , worker([this] { this->run(); })
{
}

config_controller::~config_controller()
{
    this->stopping = true;
    this->worker.join();
}

void config_controller::run()
{
    while (!this->stopping)
    {
        const auto record =
            this->context->store->watch(config_key, this->version, watch_wait);
        const bool taken = record && (!*record || this->refresh());
        if (!taken)
        {
            std::this_thread::sleep_for(retry_wait);
        }
    }
}

bool config_controller::refresh()
{
    auto state = this->configs->read();
    if (!state)
    {
        log_error("configuration not read", state.error());
        return false;
    }
    this->version = state->version;
    return this->take(std::move(*state));
}

bool config_controller::take(config_state state)
{
    {
        const auto present = this->context->board.config.read();
        if (present && present->current.number >= state.number)
        {
            return true;
        }
    }
    auto parsed = configuration::parse(state.document, state.number);
    if (!parsed)
    {
        log_error("configuration not taken", parsed.error());
        return false;
    }
    this->context->allowance->configure(*parsed);
    this->context->board.config.publish(
        configuration_view::create(std::move(*parsed), std::move(state.document)));
    log_line(log_level::info, "configuration in force",
             {{"number", static_cast<std::int64_t>(state.number)}});
    return true;
}

} // namespace agateseam
