#include <gateway/entry_handlers.hpp>

#include <agateseam/memory_budget.hpp>
#include <gateway/request_scope.hpp>

namespace agateseam
{

namespace
{

constexpr int status_ok = 200;

} // namespace

task<void> readiness_handler::handle(caller_exchange& exchange)
{
    const bool is_readiness_path =
        exchange.request().path() == this->state->dialect->readiness_path();
    const bool ready =
        this->state->routing && this->state->backends && !this->state->draining();
    caller_answer_head head;
    head.status = !is_readiness_path ? status_not_found
                  : ready            ? status_ok
                                     : status_unavailable;
    co_await exchange.answer(std::move(head), "");
}

task<void> metrics_handler::handle(caller_exchange& exchange)
{
    caller_answer_head head;
    head.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
    const memory_budget& budget = process_memory_budget();
    entry_counters& counters = this->state->counters;
    counters.set("agateseam_held_bytes", static_cast<double>(budget.bytes()));
    counters.set("agateseam_held_connections", static_cast<double>(budget.connections()));
    counters.set("agateseam_held_releases", static_cast<double>(budget.releases()));
    co_await exchange.answer(std::move(head), this->state->counters.text());
}

} // namespace agateseam
