#include <agateseam/fair_queue.hpp>

#include <algorithm>
#include <queue>

namespace agateseam
{

namespace
{

/// Lower bound for the number of flows at which idle ones are removed.
constexpr std::size_t min_cleanup_threshold = 64;

/// The state of a workspace's flow while `service_order` simulates the queue.
struct simulated_flow
{
    double start = 0;
    std::size_t rank = 0; ///< Position among the flows by name; breaks ties.
    std::size_t next = 0; ///< Index of the next attempt.

    friend bool operator>(const simulated_flow& left,
                          const simulated_flow& right) noexcept
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
        this->remove_idle_flows();
        found = this->flows.emplace(std::string(workspace), flow{}).first;
    }
    flow& workspace_flow = found->second;
    if (workspace_flow.attempts.empty())
    {
        workspace_flow.start = std::max(workspace_flow.start, this->virtual_time);
    }
    workspace_flow.attempts.push_back({id, cost / weight});
    ++this->waiting_count;
}

std::optional<attempt_id> fair_queue::front() const
{
    const flow* earliest = nullptr;
    for (const auto& [name, candidate] : this->flows)
    {
        if (!candidate.attempts.empty() &&
            (earliest == nullptr || candidate.start < earliest->start))
        {
            earliest = &candidate;
        }
    }
    if (earliest == nullptr)
    {
        return std::nullopt;
    }
    return earliest->attempts.front().id;
}

std::optional<attempt_id> fair_queue::pop()
{
    const auto found = this->next_flow();
    if (found == this->flows.end())
    {
        return std::nullopt;
    }
    flow& workspace_flow = found->second;
    const queued_attempt taken_attempt = std::move(workspace_flow.attempts.front());
    workspace_flow.attempts.pop_front();
    --this->waiting_count;
    this->virtual_time = std::max(this->virtual_time, workspace_flow.start);
    workspace_flow.start += taken_attempt.charge;
    return taken_attempt.id;
}

bool fair_queue::remove(std::string_view workspace, const attempt_id& id)
{
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end())
    {
        return false;
    }
    const std::size_t removed =
        std::erase_if(found->second.attempts,
                      [&](const queued_attempt& item) { return item.id == id; });
    this->waiting_count -= removed;
    return removed > 0;
}

void fair_queue::adjust_charge(std::string_view workspace, double weight, double cost)
{
    const auto found = this->flows.find(workspace);
    if (found != this->flows.end())
    {
        found->second.start += cost / weight;
    }
}

std::vector<attempt_id> fair_queue::service_order() const
{
    std::vector<const flow*> waiting_flows;
    std::priority_queue<simulated_flow, std::vector<simulated_flow>, std::greater<>>
        simulation;
    for (const auto& [name, candidate] : this->flows)
    {
        if (!candidate.attempts.empty())
        {
            simulation.push({candidate.start, waiting_flows.size(), 0});
            waiting_flows.push_back(&candidate);
        }
    }
    std::vector<attempt_id> ids;
    ids.reserve(this->waiting_count);
    while (!simulation.empty())
    {
        simulated_flow current = simulation.top();
        simulation.pop();
        const auto& attempts = waiting_flows[current.rank]->attempts;
        ids.push_back(attempts[current.next].id);
        current.start += attempts[current.next].charge;
        if (++current.next < attempts.size())
        {
            simulation.push(current);
        }
    }
    return ids;
}

fair_queue::flow_map::iterator fair_queue::next_flow()
{
    auto earliest = this->flows.end();
    for (auto at = this->flows.begin(); at != this->flows.end(); ++at)
    {
        if (!at->second.attempts.empty() &&
            (earliest == this->flows.end() || at->second.start < earliest->second.start))
        {
            earliest = at;
        }
    }
    return earliest;
}

/// Removes flows without waiting attempts whose start time is not ahead of the virtual
/// time: a new flow of the same workspace would start no earlier.
void fair_queue::remove_idle_flows()
{
    if (this->flows.size() < this->cleanup_threshold)
    {
        return;
    }
    std::erase_if(this->flows,
                  [&](const auto& item) {
                      return item.second.attempts.empty() &&
                             item.second.start <= this->virtual_time;
                  });
    this->cleanup_threshold = std::max(min_cleanup_threshold, 2 * this->flows.size());
}

} // namespace agateseam
