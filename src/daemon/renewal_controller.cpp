#include <daemon/renewal_controller.hpp>

namespace agateseam
{

namespace
{

constexpr int renewals_per_lease = 3;
constexpr int status_ok = 200;

http_call make_lease_call(const entry_context& context, const std::string& address,
                          const lease_order& order)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + address + "/agent/leases";
    call.step = "renew lease";
    call.total_timeout = context.settings.limits.silence_timeout;
    call.headers = {{std::string(headers::fleet), context.settings.fleet_secret}};
    call.body = to_text(order);
    return call;
}

} // namespace

renewal_controller::renewal_controller(entry_context& shared)
    : context(&shared)
    , worker([this] { this->run(); })
{
}

renewal_controller::~renewal_controller()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->worker.join();
}

void renewal_controller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        this->wake.wait_for(lock, this->context->settings.limits.lease_lifetime /
                                      renewals_per_lease);
        lock.unlock();
        this->renew();
        lock.lock();
    }
}

void renewal_controller::renew()
{
    for (auto& [address, ids] : this->context->attempts.ids_by_address())
    {
        lease_order order;
        order.renew = std::move(ids);
        http_call call = make_lease_call(*this->context, address, order);
        this->context->client->fetch_async(
            std::move(call),
            [shared = this->context,
             requested = std::move(order.renew)](const result<http_reply>& reply)
            {
                if (!reply || reply->status != status_ok)
                {
                    return;
                }
                if (const auto unknown = parse_lease_reply(reply->body))
                {
                    shared->attempts.apply_renewal_reply(requested, *unknown);
                }
            });
    }
}

void end_attempt_at_agent(entry_context& context, const std::string& address,
                          const attempt_id& id)
{
    lease_order order;
    order.end = {id};
    http_call call = make_lease_call(context, address, order);
    call.fresh_connection = true;
    context.client->fetch_async(std::move(call), [](const result<http_reply>&) {});
}

} // namespace agateseam
