#include <agateseam/usage_batch.hpp>

namespace agateseam
{

usage_outbox::usage_outbox(std::string vm, std::uint64_t start)
    : process(std::move(vm))
    , incarnation(start)
{
}

void usage_outbox::collect(const usage_table& rows, usage_hour_number hour)
{
    const std::scoped_lock hold(this->mutex);
    for (const auto& [key, counters] : rows)
    {
        this->shards[usage_shard(key.workspace)].waiting[hour][key] += counters;
    }
}

std::vector<usage_batch> usage_outbox::seal()
{
    const std::scoped_lock hold(this->mutex);
    std::vector<usage_batch> batches;
    for (auto& [shard, state] : this->shards)
    {
        if (!state.sealed && !state.waiting.empty())
        {
            auto oldest = state.waiting.extract(state.waiting.begin());
            state.sealed =
                usage_batch{this->process, this->incarnation, ++this->sequence,
                            shard,         oldest.key(),      std::move(oldest.mapped())};
        }
        if (state.sealed)
        {
            batches.push_back(*state.sealed);
        }
    }
    return batches;
}

void usage_outbox::acknowledge(const usage_receipt& receipt)
{
    (void)this->give_up(receipt);
}

usage_table usage_outbox::give_up(const usage_receipt& receipt)
{
    const std::scoped_lock hold(this->mutex);
    const auto found = this->shards.find(receipt.shard);
    if (found == this->shards.end() || !found->second.sealed ||
        found->second.sealed->sequence != receipt.sequence)
    {
        return {};
    }
    usage_table rows = std::move(found->second.sealed->rows);
    found->second.sealed.reset();
    if (found->second.waiting.empty())
    {
        this->shards.erase(found);
    }
    return rows;
}

bool usage_outbox::empty() const
{
    const std::scoped_lock hold(this->mutex);
    return this->shards.empty();
}

std::size_t usage_outbox::rows() const
{
    const std::scoped_lock hold(this->mutex);
    std::size_t count = 0;
    for (const auto& [shard, state] : this->shards)
    {
        count += state.sealed ? state.sealed->rows.size() : 0;
        for (const auto& [hour, rows] : state.waiting)
        {
            count += rows.size();
        }
    }
    return count;
}

} // namespace agateseam
