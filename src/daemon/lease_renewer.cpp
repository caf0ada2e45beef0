#include <daemon/lease_renewer.hpp>

#include <vector>

#include <daemon/messages.hpp>
#include <net/log.hpp>

namespace agateseam
{

namespace
{

constexpr std::chrono::milliseconds renew_interval{1'000};

} // namespace

lease_renewer::lease_renewer(http_client& shared, std::string secret)
    : client(&shared)
    , fleet_secret(std::move(secret))
    , worker([this] { this->run(); })
{
}

lease_renewer::~lease_renewer()
{
    this->stop();
}

void lease_renewer::add(const std::string& address, const attempt_id& id)
{
    const std::scoped_lock hold(this->mutex);
    this->attempts[address].insert(id);
}

void lease_renewer::remove(const std::string& address, const attempt_id& id)
{
    const std::scoped_lock hold(this->mutex);
    const auto found = this->attempts.find(address);
    if (found == this->attempts.end())
    {
        return;
    }
    found->second.erase(id);
    if (found->second.empty())
    {
        this->attempts.erase(found);
    }
}

void lease_renewer::stop()
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
}

void lease_renewer::run()
{
    std::unique_lock hold(this->mutex);
    while (!this->stopping)
    {
        this->wake.wait_for(hold, renew_interval, [this] { return this->stopping; });
        if (!this->stopping)
        {
            this->renew_all();
        }
    }
}

/// The mutex is held.
void lease_renewer::renew_all()
{
    for (const auto& [address, ids] : this->attempts)
    {
        http_call call;
        call.method = "POST";
        call.url = "http://" + address + "/agent/renew";
        call.step = "renew leases";
        call.total_timeout = renew_interval;
        call.headers = {{std::string(headers::fleet), this->fleet_secret}};
        call.body = to_text(std::vector<attempt_id>(ids.begin(), ids.end()));
        this->client->fetch_async(std::move(call),
                                  [](const result<http_reply>& reply)
                                  {
                                      if (!reply)
                                      {
                                          log_error("renewal failed", reply.error());
                                      }
                                  });
    }
}

} // namespace agateseam
