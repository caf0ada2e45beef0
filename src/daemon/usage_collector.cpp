#include <daemon/usage_collector.hpp>

#include <agateseam/usage_ledger.hpp>
#include <daemon/api_error.hpp>

namespace agateseam
{

namespace
{

constexpr int status_ok = 200;
/// Days before the newest one that are compacted as well, so that a failed compaction is
/// repeated.
constexpr std::uint64_t earlier_days = 3;

} // namespace

usage_hour_number current_hour(const clock_source& time) noexcept
{
    const auto since_epoch = time.wall_now().time_since_epoch();
    return static_cast<usage_hour_number>(
        std::chrono::duration_cast<std::chrono::hours>(since_epoch).count());
}

usage_collector::usage_collector(process_telemetry& shared, object_store& platform)
    : telemetry(&shared)
    , store(&platform)
    , written_shards(usage_shard_count, false)
    , worker([this] { this->run(); })
{
}

usage_collector::~usage_collector()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->worker.join();
}

void usage_collector::accept(std::shared_ptr<http_exchange> exchange)
{
    auto batches = parse_usage_batches(exchange->request().body);
    if (!batches)
    {
        respond(*exchange, to_api_error(batches.error(), run_state::not_run));
        return;
    }
    const std::scoped_lock lock(this->mutex);
    this->waiting.push_back({std::move(exchange), std::move(*batches)});
}

void usage_collector::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        this->wake.wait_for(lock,
                            this->telemetry->settings.limits.usage_flush_interval / 2);
        std::vector<waiting_call> calls = std::move(this->waiting);
        this->waiting.clear();
        lock.unlock();
        this->write(std::move(calls));
        this->compact();
        lock.lock();
    }
}

void usage_collector::write(std::vector<waiting_call> calls)
{
    std::vector<usage_batch> batches;
    std::vector<std::size_t> call_indexes; // The call that each batch came with.
    for (std::size_t call = 0; call < calls.size(); ++call)
    {
        for (usage_batch& batch : calls[call].batches)
        {
            this->written_shards[batch.shard % usage_shard_count] = true;
            batches.push_back(std::move(batch));
            call_indexes.push_back(call);
        }
    }
    if (calls.empty())
    {
        return;
    }
    const usage_write_result outcome =
        usage_ledger(*this->store).apply(batches, current_hour(*this->telemetry->time));
    this->telemetry->store_reachable = !outcome.failure;
    std::vector<std::vector<usage_receipt>> receipts(calls.size());
    for (const std::size_t position : outcome.stored_positions)
    {
        receipts[call_indexes[position]].push_back(
            {batches[position].shard, batches[position].sequence});
    }
    for (const std::size_t position : outcome.refused_positions)
    {
        // The batch is too old to count, but the receipt lets the sender discard it.
        receipts[call_indexes[position]].push_back(
            {batches[position].shard, batches[position].sequence});
        log_line(log_level::error, "usage batch refused as too old",
                 {{"process", std::string_view(batches[position].process)}});
    }
    for (std::size_t call = 0; call < calls.size(); ++call)
    {
        calls[call].exchange->respond(status_ok, {this->telemetry->stamp_header()},
                                      to_text(receipts[call]));
    }
    this->telemetry->events.add({event_kind::usage_flushed, "", 0, "", "",
                                 static_cast<std::int64_t>(batches.size())});
}

/// Once an hour, compacts the shards that this process has written, in the hours that are
/// too old for further batches.
void usage_collector::compact()
{
    const usage_hour_number now = current_hour(*this->telemetry->time);
    if (now == this->compacted_hour)
    {
        return;
    }
    this->compacted_hour = now;
    const std::uint64_t newest_day =
        (now - usage_ledger::max_batch_age_hours) / hours_per_day;
    for (std::uint32_t shard = 0; shard < usage_shard_count; ++shard)
    {
        for (std::uint64_t day = newest_day - earlier_days;
             this->written_shards[shard] && day <= newest_day; ++day)
        {
            const auto compacted =
                usage_ledger(*this->store).compact_day(shard, day, now);
            if (!compacted)
            {
                log_error("usage compaction failed", compacted.error());
            }
        }
    }
}

} // namespace agateseam
