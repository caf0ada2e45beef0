#include <daemon/usage_controller.hpp>

#include <map>

#include <xxhash.h>

#include <agateseam/usage_ledger.hpp>
#include <daemon/messages.hpp>
#include <daemon/usage_collector.hpp>
#include <platform/http_object_store.hpp>

namespace agateseam
{

namespace
{

constexpr int status_ok = 200;
constexpr std::chrono::hours max_entries_age{1};
constexpr std::chrono::milliseconds writer_response_margin{10'000};
/// Limit on the batches of one shard in the last flush.
constexpr int max_final_rounds = 3;

} // namespace

const vm_record* shard_writer(std::uint32_t shard, const std::vector<vm_record>& entries)
{
    const vm_record* best = nullptr;
    std::uint64_t highest = 0;
    for (const vm_record& entry : entries)
    {
        const std::uint64_t weight =
            XXH3_64bits_withSeed(entry.name.data(), entry.name.size(), shard);
        if (best == nullptr || weight > highest)
        {
            best = &entry;
            highest = weight;
        }
    }
    return best;
}

usage_controller::usage_controller(process_telemetry& shared, http_client& calls)
    : telemetry(&shared)
    , client(&calls)
    , entries_stale(std::make_shared<std::atomic<bool>>(true))
{
    if (auto new_store = make_http_object_store({shared.settings.platform_url}, calls))
    {
        this->store = std::move(*new_store);
        this->worker = std::thread([this] { this->run(); });
    }
}

usage_controller::~usage_controller()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->worker.joinable())
    {
        this->worker.join();
        this->flush_remaining();
    }
}

void usage_controller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        this->wake.wait_for(lock, this->telemetry->settings.limits.usage_flush_interval);
        if (this->stopping)
        {
            break;
        }
        lock.unlock();
        this->collect();
        if (!this->telemetry->outbox.empty())
        {
            this->send();
        }
        lock.lock();
    }
}

void usage_controller::collect()
{
    this->telemetry->outbox.collect(this->telemetry->usage.take(),
                                    current_hour(*this->telemetry->time));
}

void usage_controller::refresh_entries()
{
    const time_point now = this->telemetry->time->now();
    if (!*this->entries_stale && now - this->entries_read < max_entries_age)
    {
        return;
    }
    const auto listed = this->store->vms();
    this->telemetry->store_reachable = listed.has_value();
    if (!listed)
    {
        return;
    }
    this->entries.clear();
    for (const vm_record& vm : *listed)
    {
        if (vm.role == "entry" && !vm.leaving)
        {
            this->entries.push_back(vm);
        }
    }
    this->entries_read = now;
    *this->entries_stale = this->entries.empty();
}

void usage_controller::send()
{
    this->refresh_entries();
    std::map<std::string, std::vector<usage_batch>> by_writer;
    for (usage_batch& batch : this->telemetry->outbox.seal_batches())
    {
        const vm_record* writer = shard_writer(batch.shard, this->entries);
        if (writer != nullptr)
        {
            by_writer[writer->address].push_back(std::move(batch));
        }
    }
    for (const auto& [address, batches] : by_writer)
    {
        http_call call;
        call.method = "POST";
        call.url = "http://" + address + std::string(usage_batches_path);
        call.step = "flush usage";
        call.total_timeout = this->telemetry->settings.limits.usage_flush_interval / 2 +
                             writer_response_margin;
        call.headers = {
            {std::string(headers::fleet), this->telemetry->settings.fleet_secret},
            this->telemetry->stamp_header()};
        call.body = to_text(batches);
        this->client->fetch_async(
            std::move(call),
            [stale = this->entries_stale,
             shared = this->telemetry](const result<http_reply>& reply)
            {
                const bool answered = reply && reply->status == status_ok;
                const auto receipts = parse_usage_receipts(answered ? reply->body : "[]");
                if (!answered || !receipts)
                {
                    shared->usage_write_failures.add();
                    *stale = true;
                    return;
                }
                for (const usage_receipt& receipt : *receipts)
                {
                    shared->outbox.acknowledge(receipt);
                    shared->usage_writes.add();
                }
            });
    }
}

/// Writes the remaining usage directly to the store, since the shard's writer may be
/// shutting down as well.
void usage_controller::flush_remaining()
{
    this->collect();
    usage_ledger ledger(*this->store);
    for (int round = 0; round < max_final_rounds && !this->telemetry->outbox.empty();
         ++round)
    {
        const auto outcome = ledger.apply(this->telemetry->outbox.seal_batches(),
                                          current_hour(*this->telemetry->time));
        for (const usage_receipt& receipt : outcome.stored)
        {
            this->telemetry->outbox.acknowledge(receipt);
        }
        if (outcome.failure)
        {
            log_error(
                "usage lost", *outcome.failure,
                {{"rows", static_cast<std::int64_t>(this->telemetry->outbox.rows())}});
            return;
        }
    }
}

} // namespace agateseam
