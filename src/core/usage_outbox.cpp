#include <agateseam/usage_batch.hpp>

namespace agateseam
{

usage_outbox::usage_outbox(std::string vm_name, std::uint64_t process_start)
    : process(std::move(vm_name))
    , incarnation(process_start)
{
}

void usage_outbox::collect(const usage_table& rows, usage_hour_number hour)
{
    const std::scoped_lock lock(this->mutex);
    for (const auto& [key, counters] : rows)
    {
        this->shards[usage_shard_of(key.workspace)].waiting[hour][key] += counters;
    }
}

std::vector<usage_batch> usage_outbox::seal_batches()
{
    const std::scoped_lock lock(this->mutex);
    std::vector<usage_batch> batches;
    for (auto& [shard, pending] : this->shards)
    {
        if (!pending.in_flight && !pending.waiting.empty())
        {
            auto oldest_hour = pending.waiting.extract(pending.waiting.begin());
            pending.in_flight = usage_batch{
                this->process, this->incarnation, ++this->last_sequence,
                shard,         oldest_hour.key(), std::move(oldest_hour.mapped())};
        }
        if (pending.in_flight)
        {
            batches.push_back(*pending.in_flight);
        }
    }
    return batches;
}

void usage_outbox::acknowledge(const usage_receipt& receipt)
{
    (void)this->discard(receipt);
}

usage_table usage_outbox::discard(const usage_receipt& receipt)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->shards.find(receipt.shard);
    if (found == this->shards.end() || !found->second.in_flight ||
        found->second.in_flight->sequence != receipt.sequence)
    {
        return {};
    }
    usage_table rows = std::move(found->second.in_flight->rows);
    found->second.in_flight.reset();
    if (found->second.waiting.empty())
    {
        this->shards.erase(found);
    }
    return rows;
}

bool usage_outbox::empty() const
{
    const std::scoped_lock lock(this->mutex);
    return this->shards.empty();
}

std::size_t usage_outbox::rows() const
{
    const std::scoped_lock lock(this->mutex);
    std::size_t count = 0;
    for (const auto& [shard, pending] : this->shards)
    {
        count += pending.in_flight ? pending.in_flight->rows.size() : 0;
        for (const auto& [hour, rows] : pending.waiting)
        {
            count += rows.size();
        }
    }
    return count;
}

} // namespace agateseam
