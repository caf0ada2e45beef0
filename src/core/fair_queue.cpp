#include <agateseam/fair_queue.hpp>

#include <algorithm>
#include <queue>

namespace agateseam
{

namespace
{

constexpr std::size_t smallest_sweep = 64; // flows

/// A workspace's place in a rehearsal of the queue.
struct rehearsed_flow
{
    double start = 0;
    std::size_t rank = 0; ///< Among the flows, in the order of their names.
    std::size_t next = 0; ///< Index of the item that comes next.

    friend bool operator>(const rehearsed_flow& left,
                          const rehearsed_flow& right) noexcept
    {
        return std::tie(left.start, left.rank) > std::tie(right.start, right.rank);
    }
};

} // namespace

void fair_queue::push(std::string_view workspace, double weight, double cost,
                      const attempt_id& id)
{
    auto found = this->flows.find(workspace);
    if (found == this->flows.end())
    {
        this->forget_idle();
        found = this->flows.emplace(std::string(workspace), flow{}).first;
    }
    flow& owner = found->second;
    if (owner.items.empty())
    {
        owner.start = std::max(owner.start, this->virtual_time);
    }
    owner.items.push_back({id, cost / weight});
    ++this->waiting;
}

std::optional<attempt_id> fair_queue::front() const
{
    const flow* best = nullptr;
    for (const auto& [name, candidate] : this->flows)
    {
        if (!candidate.items.empty() &&
            (best == nullptr || candidate.start < best->start))
        {
            best = &candidate;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return best->items.front().id;
}

std::optional<attempt_id> fair_queue::pop()
{
    const auto found = this->next_flow();
    if (found == this->flows.end())
    {
        return std::nullopt;
    }
    flow& owner = found->second;
    const queued_item taken = std::move(owner.items.front());
    owner.items.pop_front();
    --this->waiting;
    this->virtual_time = std::max(this->virtual_time, owner.start);
    owner.start += taken.charge;
    return taken.id;
}

bool fair_queue::remove(std::string_view workspace, const attempt_id& id)
{
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end())
    {
        return false;
    }
    const std::size_t removed = std::erase_if(
        found->second.items, [&](const queued_item& item) { return item.id == id; });
    this->waiting -= removed;
    return removed > 0;
}

void fair_queue::settle(std::string_view workspace, double weight, double cost)
{
    const auto found = this->flows.find(workspace);
    if (found != this->flows.end())
    {
        found->second.start += cost / weight;
    }
}

std::vector<attempt_id> fair_queue::order() const
{
    std::vector<const flow*> waiting_flows;
    std::priority_queue<rehearsed_flow, std::vector<rehearsed_flow>, std::greater<>>
        rehearsal;
    for (const auto& [name, candidate] : this->flows)
    {
        if (!candidate.items.empty())
        {
            rehearsal.push({candidate.start, waiting_flows.size(), 0});
            waiting_flows.push_back(&candidate);
        }
    }
    std::vector<attempt_id> ids;
    ids.reserve(this->waiting);
    while (!rehearsal.empty())
    {
        rehearsed_flow at = rehearsal.top();
        rehearsal.pop();
        const auto& items = waiting_flows[at.rank]->items;
        ids.push_back(items[at.next].id);
        at.start += items[at.next].charge;
        if (++at.next < items.size())
        {
            rehearsal.push(at);
        }
    }
    return ids;
}

fair_queue::flow_map::iterator fair_queue::next_flow()
{
    auto best = this->flows.end();
    for (auto at = this->flows.begin(); at != this->flows.end(); ++at)
    {
        if (!at->second.items.empty() &&
            (best == this->flows.end() || at->second.start < best->second.start))
        {
            best = at;
        }
    }
    return best;
}

/// A workspace without waiting work whose charge is paid off needs no record.
void fair_queue::forget_idle()
{
    if (this->flows.size() < this->sweep_at)
    {
        return;
    }
    std::erase_if(
        this->flows, [&](const auto& item)
        { return item.second.items.empty() && item.second.start <= this->virtual_time; });
    this->sweep_at = std::max(smallest_sweep, 2 * this->flows.size());
}

} // namespace agateseam
