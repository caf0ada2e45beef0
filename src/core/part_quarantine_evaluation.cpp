#include <agateseam/part_quarantine.hpp>

#include <algorithm>
#include <tuple>

namespace agateseam
{

namespace
{

bool includes_all(const std::set<name_key>& all, const std::set<name_key>& some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

/// Returns the order in which suspects of the same crashes and of as many requests are
/// blocked: the narrowest first.
int breadth(part_kind kind) noexcept
{
    switch (kind)
    {
    case part_kind::whole_request:
        return 0;
    case part_kind::request:
        return 1;
    case part_kind::prompt_part:
        break;
    }
    return 2;
}

} // namespace

/// Tells whether all reports of a crash are there, or have had enough time.
bool part_quarantine::is_settled(time_point reported_at, time_point now) const
{
    const duration age = now - reported_at;
    return age >= max_settle_time ||
           (age >= settle_time && this->heard_since >= reported_at + settle_time);
}

/// Returns the servers at which each part is implicated and not cleared.
std::map<name_key, part_quarantine::server_set>
part_quarantine::open_crashes(time_point now) const
{
    // All reports of a crash count from the same moment on, since one part's alone would
    // look like the cause.
    struct server_end
    {
        time_point reported_at;
        bool has_request_without_event = false;
    };
    std::map<name_key, server_end> ends;
    for (const auto& [key, crash] : this->crashes)
    {
        const auto [end, is_new] =
            ends.try_emplace(key.second, server_end{crash.happened_at});
        end->second.reported_at = std::min(end->second.reported_at, crash.happened_at);
        end->second.has_request_without_event |= crash.without_event && !crash.cleared;
    }
    std::map<name_key, server_set> open;
    for (const auto& [key, crash] : this->crashes)
    {
        const server_end& end = ends.at(key.second);
        const bool is_suspect = crash.without_event || !end.has_request_without_event;
        if (!crash.cleared && is_suspect && this->is_settled(end.reported_at, now))
        {
            open[key.first].insert(key.second);
        }
    }
    return open;
}

part_quarantine::candidate
part_quarantine::make_candidate(name_key part, const server_set& servers) const
{
    candidate result;
    result.part = part;
    result.servers = &servers;
    std::vector<std::pair<time_point, double>> ends;
    for (const name_key server : servers)
    {
        const crash_state& crash = this->crashes.at({part, server});
        result.had_answers |= crash.had_answers;
        result.kind = std::max(result.kind, crash.kind);
        result.requests.insert(crash.requests.begin(), crash.requests.end());
    }
    if (result.kind == part_kind::whole_request)
    {
        result.requests = {part};
    }
    for (auto crash = this->crashes.lower_bound({part, name_key{}});
         crash != this->crashes.end() && crash->first.first == part; ++crash)
    {
        result.reports += crash->second.cleared ? 0 : 1;
    }
    for (const name_key server : servers)
    {
        const crash_state& crash = this->crashes.at({part, server});
        ends.emplace_back(crash.happened_at, this->weight_of(result, server));
        if (crash.without_event)
        {
            result.without_event.insert(server);
        }
    }
    std::sort(ends.begin(), ends.end());
    // Servers that end at the same time have a common cause outside the prompts, such as
    // the entry's own connections.
    const duration min_interval =
        result.had_answers ? duration(common_cause_time) : duration(simultaneous_time);
    time_point counted_at{};
    double counted_weight = 0;
    for (const auto& [time, weight] : ends)
    {
        // Bodies that streams with several prompts share tell no request from another.
        const bool is_only_cause = result.kind != part_kind::prompt_part &&
                                   result.requests.size() <= 1 && !result.had_answers &&
                                   !this->has_other_end(servers, time);
        if (time - counted_at >= min_interval || is_only_cause)
        {
            counted_at = time;
            counted_weight = 0;
        }
        result.crash_weight += std::max(0.0, weight - counted_weight);
        counted_weight = std::max(counted_weight, weight);
    }
    return result;
}

/// Tells whether a server without the part ended at about a time.
bool part_quarantine::has_other_end(const server_set& servers, time_point time) const
{
    return std::any_of(this->crashes.begin(), this->crashes.end(),
                       [&servers, time](const auto& item)
                       {
                           return std::chrono::abs(item.second.happened_at - time) <
                                      simultaneous_time &&
                                  !servers.contains(item.first.second);
                       });
}

/// Returns the crashes that the blocks explain: those in which all parts of a block are
/// implicated.
part_quarantine::server_set
part_quarantine::explained_crashes(const std::map<name_key, server_set>& open,
                                   bool is_of_parts) const
{
    server_set explained;
    for (const auto& [key, state] : this->blocks)
    {
        const auto first = open.find(state.block.parts.front());
        if (state.block.lifted || first == open.end() ||
            (is_of_parts &&
             this->crashes_of_request(state.block).kind != part_kind::prompt_part))
        {
            continue;
        }
        for (const name_key server : first->second)
        {
            if (std::all_of(state.block.parts.begin(), state.block.parts.end(),
                            [&open, server](name_key part)
                            {
                                const auto found = open.find(part);
                                return found != open.end() &&
                                       found->second.contains(server);
                            }))
            {
                explained.insert(server);
            }
        }
    }
    return explained;
}

void part_quarantine::evaluate(time_point now)
{
    this->expire(now);
    if (!this->is_unevaluated || now < this->evaluate_at)
    {
        return;
    }
    const auto open = this->open_crashes(now);
    server_set explained = this->explained_crashes(open, false);
    server_set explained_by_parts = this->explained_crashes(open, true);
    std::vector<candidate> candidates;
    for (const auto& [part, servers] : open)
    {
        if (servers.size() < min_crashes)
        {
            continue; // No crash weighs more than one.
        }
        candidate suspect = this->make_candidate(part, servers);
        if (suspect.crash_weight >= static_cast<double>(min_crashes))
        {
            candidates.push_back(suspect);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& left, const candidate& right)
                     {
                         if (left.had_answers != right.had_answers)
                         {
                             return right.had_answers;
                         }
                         // The cause was in all crashes, whatever the streams beside it
                         // had received; of what was, the narrowest.
                         const auto rank = [](const candidate& suspect)
                         {
                             return std::tuple(
                                 -static_cast<std::ptrdiff_t>(suspect.reports),
                                 suspect.requests.size(),
                                 -static_cast<std::ptrdiff_t>(suspect.servers->size()),
                                 breadth(suspect.kind));
                         };
                         return rank(left) < rank(right);
                     });
    for (const candidate& suspect : candidates)
    {
        const bool is_tied = this->is_tied_request(suspect);
        if (this->is_explained(suspect, is_tied ? explained_by_parts : explained, now))
        {
            continue;
        }
        part_block block = this->make_block(suspect, candidates);
        const auto known = this->blocks.find(block.key());
        block.number = known == this->blocks.end() ? 1 : known->second.block.number + 1;
        if (known == this->blocks.end() || known->second.block.lifted)
        {
            this->merge_block(block, now);
        }
        explained.insert(suspect.servers->begin(), suspect.servers->end());
        if (suspect.kind == part_kind::prompt_part)
        {
            explained_by_parts.insert(suspect.servers->begin(), suspect.servers->end());
        }
    }
    this->lift_explained_blocks(now);
    this->is_unevaluated =
        std::any_of(this->crashes.begin(), this->crashes.end(),
                    [now](const auto& item)
                    { return now - item.second.happened_at <= common_cause_time; });
    this->evaluate_at = now + settle_time / 10;
}

bool part_quarantine::is_alike(const candidate& left, const candidate& right)
{
    return left.had_answers == right.had_answers &&
           (left.without_event.empty() ? *left.servers == *right.servers
                                       : left.without_event == right.without_event);
}

bool part_quarantine::is_tied_request(const candidate& suspect) const
{
    if (suspect.kind == part_kind::prompt_part)
    {
        return false;
    }
    bool is_tied = false;
    for (const auto& [key, state] : this->blocks)
    {
        const request_crashes blocked = this->crashes_of_request(state.block);
        const bool is_same = blocked.request == suspect.part ||
                             this->are_of_same_request(blocked.request, suspect.part);
        if (is_same && includes_all(blocked.servers, *suspect.servers))
        {
            return false;
        }
        is_tied |= !blocked.servers.empty() && !is_same &&
                   includes_all(*suspect.servers, blocked.servers);
    }
    return is_tied;
}

bool part_quarantine::are_of_same_request(name_key left, name_key right) const
{
    return this->has_request(left, right) || this->has_request(right, left);
}

bool part_quarantine::has_request(name_key part, name_key whole_request) const
{
    for (auto crash = this->crashes.lower_bound({part, name_key{}});
         crash != this->crashes.end() && crash->first.first == part; ++crash)
    {
        const std::vector<name_key>& requests = crash->second.requests;
        if (std::binary_search(requests.begin(), requests.end(), whole_request))
        {
            return true;
        }
    }
    return false;
}

/// Returns the block of a suspect: of a request with the parts of its
/// prompt that the same crashes implicate, of a prompt's part with all such parts.
part_block part_quarantine::make_block(const candidate& suspect,
                                       std::span<const candidate> candidates) const
{
    part_block block;
    if (suspect.kind != part_kind::prompt_part)
    {
        block.parts.push_back(suspect.part);
    }
    for (const candidate& other : candidates)
    {
        if (other.kind == part_kind::prompt_part && is_alike(other, suspect) &&
            (suspect.kind == part_kind::prompt_part || this->is_part_of(other, suspect)))
        {
            block.parts.push_back(other.part);
        }
    }
    std::sort(block.parts.begin(), block.parts.end());
    return block;
}

bool part_quarantine::is_part_of(const candidate& part, const candidate& request) const
{
    return std::all_of(
        part.servers->begin(), part.servers->end(),
        [this, &part, &request](name_key server)
        {
            const auto crash = this->crashes.find({request.part, server});
            const auto& requests = this->crashes.at({part.part, server}).requests;
            return crash != this->crashes.end() &&
                   std::any_of(requests.begin(), requests.end(),
                               [&request, &crash](name_key whole)
                               {
                                   return whole == request.part ||
                                          std::binary_search(
                                              crash->second.requests.begin(),
                                              crash->second.requests.end(), whole);
                               });
        });
}

part_quarantine::request_crashes
part_quarantine::crashes_of_request(const part_block& block) const
{
    request_crashes result;
    for (const name_key part : block.parts)
    {
        for (auto crash = this->crashes.lower_bound({part, name_key{}});
             crash != this->crashes.end() && crash->first.first == part && !block.lifted;
             ++crash)
        {
            if (crash->second.kind != part_kind::prompt_part && !crash->second.cleared)
            {
                result.request = part;
                result.kind = crash->second.kind;
                result.servers.insert(crash->first.second);
            }
        }
    }
    return result;
}

bool part_quarantine::is_ambiguous(const part_block& block) const
{
    const request_crashes own = this->crashes_of_request(block);
    return !own.servers.empty() &&
           std::any_of(this->blocks.begin(), this->blocks.end(),
                       [this, &own, &block](const auto& item)
                       {
                           const part_block& other = item.second.block;
                           const request_crashes others = this->crashes_of_request(other);
                           return other.parts != block.parts &&
                                  includes_all(others.servers, own.servers);
                       });
}

part_quarantine::server_set
part_quarantine::crashes_of_block(const part_block& block) const
{
    std::map<name_key, std::size_t> counts;
    for (const name_key part : block.parts)
    {
        for (auto crash = this->crashes.lower_bound({part, name_key{}});
             crash != this->crashes.end() && crash->first.first == part && !block.lifted;
             ++crash)
        {
            counts[crash->first.second] += crash->second.cleared ? 0 : 1;
        }
    }
    server_set servers;
    for (const auto& [server, count] : counts)
    {
        if (count == block.parts.size())
        {
            servers.insert(server);
        }
    }
    return servers;
}

void part_quarantine::lift_explained_blocks(time_point now)
{
    std::vector<std::pair<part_block, server_set>> crashed;
    for (const auto& [key, state] : this->blocks)
    {
        crashed.emplace_back(state.block, this->crashes_of_block(state.block));
    }
    for (const auto& [block, servers] : crashed)
    {
        const bool is_explained =
            !servers.empty() &&
            std::any_of(crashed.begin(), crashed.end(),
                        [&servers = servers](const auto& other) {
                            return other.second.size() > servers.size() &&
                                   includes_all(other.second, servers);
                        });
        if (is_explained)
        {
            part_block lifted = block;
            lifted.lifted = true;
            this->merge_block(lifted, now);
        }
    }
}

/// Returns how much a server's end counts against a part.
double part_quarantine::weight_of(const candidate& suspect, name_key server) const
{
    if (this->crashes.at({suspect.part, server}).without_event)
    {
        return 1;
    }
    return suspect.had_answers ? 0 : weight_after_event;
}

/// Tells whether blocked parts explain enough of a part's crashes.
bool part_quarantine::is_explained(const candidate& suspect, const server_set& explained,
                                   time_point now) const
{
    double unexplained = 0;
    bool has_request_without_event = false;
    // Whether the part ended a server without the other parts of its block.
    bool is_refined = false;
    for (const name_key server : *suspect.servers)
    {
        if (!explained.contains(server))
        {
            unexplained += this->weight_of(suspect, server);
            has_request_without_event |= suspect.without_event.contains(server);
            const crash_state& crash = this->crashes.at({suspect.part, server});
            is_refined |= crash.without_event && this->is_in_block(suspect.part) &&
                          now - crash.happened_at >= common_cause_time;
        }
    }
    if (explained.empty() || suspect.had_answers || !has_request_without_event)
    {
        return unexplained < static_cast<double>(min_crashes);
    }
    // Beside a blocked part, one crash more may be a coincidence.
    constexpr double min_unexplained = 2;
    return !is_refined && unexplained < min_unexplained;
}

} // namespace agateseam
