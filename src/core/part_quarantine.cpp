#include <agateseam/part_quarantine.hpp>

#include <algorithm>
#include <iterator>
#include <string>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr auto expire_interval = 1s;
/// The part of the object that counts the trials.
const name_key trial_turn_part = "agateseam trial turn";

bool contains_all(std::span<const name_key> parts, const std::vector<name_key>& wanted)
{
    return std::all_of(
        wanted.begin(), wanted.end(),
        [parts](name_key part)
        { return std::find(parts.begin(), parts.end(), part) != parts.end(); });
}

std::span<const name_key> examined(std::span<const name_key> parts)
{
    return parts.first(std::min(parts.size(), part_quarantine::max_parts_in_request));
}

} // namespace

name_key part_block::key() const
{
    std::string text;
    for (const name_key part : this->parts)
    {
        text += to_hex(part);
    }
    return text;
}

request_parts request_parts::create(name_key request,
                                    std::span<const name_key> prompt_parts)
{
    request_parts parts;
    if (!prompt_parts.empty())
    {
        std::string whole = to_hex(request);
        for (const name_key part : prompt_parts)
        {
            whole += to_hex(part);
        }
        parts.keys.emplace_back(whole);
    }
    parts.keys.push_back(request);
    parts.own_keys = parts.keys.size();
    parts.keys.insert(parts.keys.end(), prompt_parts.begin(), prompt_parts.end());
    return parts;
}

part_quarantine::crash_state&
part_quarantine::add_crash(const crash_key& key, time_point happened_at, time_point now)
{
    const auto [found, is_new] = this->crashes.try_emplace(key);
    crash_state& crash = found->second;
    if (is_new)
    {
        crash.happened_at = happened_at;
        crash.changed_at = now;
    }
    // Each report passes the time on its way, so the earliest one is the most exact.
    crash.happened_at = std::min(crash.happened_at, happened_at);
    const auto answer = this->answered.find(key.first);
    if (answer != this->answered.end())
    {
        const bool is_later = answer->second > crash.happened_at;
        crash.changed_at =
            (is_later ? !crash.cleared : !crash.had_answers) ? now : crash.changed_at;
        crash.cleared |= is_later;
        crash.had_answers = true;
    }
    this->is_unevaluated = true;
    return crash;
}

void part_quarantine::record_crash(const request_parts& parts, name_key server,
                                   bool without_event, time_point now)
{
    const std::span<const name_key> keys = examined(parts.keys);
    for (std::size_t index = 0; index < keys.size(); ++index)
    {
        crash_state& crash = this->add_crash({keys[index], server}, now, now);
        crash_report report;
        report.kind = parts.kind_of(index);
        report.without_event = without_event;
        if (parts.own_keys > 0 && index > 0)
        {
            report.requests = {parts.keys.front()};
        }
        crash.merge(report);
        crash.changed_at = now;
    }
}

bool part_quarantine::crash_state::merge(const crash_report& report)
{
    std::vector<name_key> all;
    std::set_union(this->requests.begin(), this->requests.end(), report.requests.begin(),
                   report.requests.end(), std::back_inserter(all));
    all.resize(std::min(all.size(), max_requests_in_report));
    const bool is_new = (report.cleared && !this->cleared) ||
                        (report.without_event && !this->without_event) ||
                        (report.had_answers && !this->had_answers) ||
                        report.kind > this->kind || all != this->requests;
    this->cleared |= report.cleared;
    this->without_event |= report.without_event;
    this->had_answers |= report.had_answers;
    this->kind = std::max(this->kind, report.kind);
    this->requests = std::move(all);
    return is_new;
}

void part_quarantine::record_answer(std::span<const name_key> parts, time_point now)
{
    for (const name_key part : examined(parts))
    {
        this->answered[part] = now;
        this->clear_crashes(part, now);
    }
    this->narrow_blocks(parts, now);
}

void part_quarantine::clear_crashes(name_key part, time_point now)
{
    for (auto crash = this->crashes.lower_bound({part, name_key{}});
         crash != this->crashes.end() && crash->first.first == part; ++crash)
    {
        if (!crash->second.cleared)
        {
            crash->second.cleared = true;
            crash->second.changed_at = now;
        }
    }
}

bool part_quarantine::is_in_block(name_key part) const
{
    return std::any_of(this->blocks.begin(), this->blocks.end(),
                       [part](const auto& item)
                       {
                           const part_block& block = item.second.block;
                           return !block.lifted &&
                                  std::binary_search(block.parts.begin(),
                                                     block.parts.end(), part);
                       });
}

void part_quarantine::narrow_blocks(std::span<const name_key> parts, time_point now)
{
    std::vector<part_block> narrowed;
    for (auto& [key, state] : this->blocks)
    {
        part_block rest{{}, 1, false};
        for (const name_key part : state.block.parts)
        {
            if (std::find(parts.begin(), parts.end(), part) == parts.end())
            {
                rest.parts.push_back(part);
            }
        }
        if (state.block.lifted || rest.parts.size() == state.block.parts.size())
        {
            continue;
        }
        part_block lifted = state.block;
        lifted.lifted = true;
        narrowed.push_back(lifted);
        if (!rest.parts.empty())
        {
            rest.number = state.block.number;
            narrowed.push_back(rest);
        }
    }
    for (const part_block& block : narrowed)
    {
        this->merge_block(block, now);
    }
}

/// Drops the oldest lifted block if there are too many.
bool part_quarantine::make_room_for_block()
{
    if (this->blocks.size() < max_blocks)
    {
        return true;
    }
    const auto oldest = std::min_element(
        this->blocks.begin(), this->blocks.end(),
        [](const auto& left, const auto& right)
        {
            return std::pair(!left.second.block.lifted, left.second.changed_at) <
                   std::pair(!right.second.block.lifted, right.second.changed_at);
        });
    if (!oldest->second.block.lifted)
    {
        return false;
    }
    this->blocks.erase(oldest);
    return true;
}

bool part_quarantine::merge_block(const part_block& block, time_point now)
{
    const name_key key = block.key();
    const auto found = this->blocks.find(key);
    if (found == this->blocks.end() && !this->make_room_for_block())
    {
        return false;
    }
    if (found != this->blocks.end() && !block.is_newer_than(found->second.block))
    {
        return false;
    }
    block_state& state = this->blocks[key];
    state.learned_at = now;
    state.changed_at = now;
    state.block = block;
    state.is_logged = false;
    return true;
}

const part_block* part_quarantine::blocked(std::span<const name_key> parts,
                                           time_point now)
{
    if (parts.empty())
    {
        return nullptr;
    }
    this->evaluate(now);
    for (const auto& [key, state] : this->blocks)
    {
        if (!state.block.lifted && contains_all(examined(parts), state.block.parts))
        {
            return &state.block;
        }
    }
    return nullptr;
}

std::optional<duration> part_quarantine::time_to_trial(name_key block,
                                                       time_point now) const
{
    const auto found = this->blocks.find(block);
    if (found == this->blocks.end() || found->second.block.number > max_trials)
    {
        return std::nullopt;
    }
    const part_block& state = found->second.block;
    if (this->is_ambiguous(state))
    {
        const duration delay = state.number == 1 ? duration(first_ambiguous_trial_delay)
                                                 : duration(next_ambiguous_trial_delay);
        return std::max<duration>(found->second.learned_at + delay - now,
                                  duration::zero());
    }
    const bool had_answers =
        std::all_of(state.parts.begin(), state.parts.end(),
                    [this](name_key part) { return this->answered.contains(part); });
    const duration first_delay =
        had_answers ? duration(known_part_trial_delay) : duration(first_trial_delay);
    const duration delay = state.number == 1 ? first_delay : duration(next_trial_delay);
    return std::max<duration>(found->second.learned_at + delay - now, duration::zero());
}

bool part_quarantine::is_trial_due(name_key block, time_point now) const
{
    const auto left = this->time_to_trial(block, now);
    return left && *left <= duration::zero();
}

std::optional<part_block> part_quarantine::next_trial_turn(time_point now) const
{
    part_block turn{{trial_turn_part}, 1, false};
    const auto known = this->blocks.find(turn.key());
    if (known == this->blocks.end())
    {
        return turn;
    }
    if (now - known->second.learned_at < trial_spacing)
    {
        return std::nullopt;
    }
    turn.number = known->second.block.number + 1;
    return turn;
}

bool part_quarantine::is_trial_turn(const part_block& block)
{
    return block.parts.size() == 1 && block.parts.front() == trial_turn_part;
}

bool part_quarantine::apply(const quarantine_digest& digest, time_point now)
{
    bool is_changed = false;
    for (const crash_report& report : digest.crashes)
    {
        const std::chrono::milliseconds age(static_cast<std::int64_t>(report.age_ms));
        if (age >= memory)
        {
            continue;
        }
        const crash_key key{report.part, report.server};
        const auto known = this->crashes.find(key);
        if (known == this->crashes.end() && report.cleared)
        {
            continue; // It says nothing that isn't known.
        }
        is_changed |= known == this->crashes.end();
        crash_state& crash = this->add_crash(key, now - age, now);
        if (crash.merge(report))
        {
            crash.changed_at = now;
            is_changed = true;
        }
    }
    for (const part_block& block : digest.blocks)
    {
        if (!block.parts.empty() && this->merge_block(block, now))
        {
            is_changed = true;
            this->narrow_blocks(this->cleared_parts(block), now);
        }
    }
    return is_changed;
}

/// Returns the parts of a block whose crashes are all known and cleared here: an entry
/// that was cut off didn't hear of the answers.
std::vector<name_key> part_quarantine::cleared_parts(const part_block& block) const
{
    std::vector<name_key> cleared;
    for (const name_key part : block.parts)
    {
        std::size_t count = 0;
        bool is_cleared = !block.lifted;
        for (auto crash = this->crashes.lower_bound({part, name_key{}});
             crash != this->crashes.end() && crash->first.first == part; ++crash)
        {
            ++count;
            is_cleared = is_cleared && crash->second.cleared;
        }
        if (is_cleared && count >= min_crashes)
        {
            cleared.push_back(part);
        }
    }
    return cleared;
}

quarantine_digest part_quarantine::make_digest(std::optional<time_point> since,
                                               time_point now)
{
    this->evaluate(now);
    quarantine_digest digest;
    std::vector<std::pair<time_point, crash_report>> reports;
    for (const auto& [key, crash] : this->crashes)
    {
        if (!since || crash.changed_at >= *since)
        {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - crash.happened_at);
            reports.push_back(
                {crash.happened_at,
                 {key.first, key.second,
                  static_cast<std::uint64_t>(std::max(age.count(), decltype(age)::rep{})),
                  crash.without_event, crash.cleared, crash.had_answers, crash.kind,
                  crash.requests}});
        }
    }
    std::sort(reports.begin(), reports.end(),
              [](const auto& left, const auto& right)
              { return left.first > right.first; });
    for (const auto& [happened_at, report] : reports)
    {
        if (digest.crashes.size() >= max_reports_in_digest)
        {
            break;
        }
        digest.crashes.push_back(report);
    }
    for (const auto& [key, state] : this->blocks)
    {
        if (!since || state.changed_at >= *since)
        {
            digest.blocks.push_back(state.block);
        }
    }
    return digest;
}

std::vector<part_block> part_quarantine::unsaved_blocks(time_point now)
{
    this->evaluate(now);
    std::vector<part_block> unsaved;
    for (const auto& [key, state] : this->blocks)
    {
        if (!state.saved || state.block.is_newer_than(*state.saved))
        {
            unsaved.push_back(state.block);
        }
    }
    return unsaved;
}

void part_quarantine::mark_saved(const part_block& block)
{
    const auto found = this->blocks.find(block.key());
    if (found != this->blocks.end())
    {
        found->second.saved = block;
    }
}

void part_quarantine::mark_all_unsaved()
{
    for (auto& [key, state] : this->blocks)
    {
        state.saved.reset();
    }
}

std::vector<part_block> part_quarantine::take_changed_blocks(time_point now)
{
    this->evaluate(now);
    std::vector<part_block> changed;
    for (auto& [key, state] : this->blocks)
    {
        if (!std::exchange(state.is_logged, true))
        {
            changed.push_back(state.block);
        }
    }
    return changed;
}

void part_quarantine::expire(time_point now)
{
    if (now < this->expire_at && this->crashes.size() <= max_reports &&
        this->answered.size() <= max_parts_with_answers)
    {
        return;
    }
    this->expire_at = now + expire_interval;
    std::erase_if(this->crashes,
                  [now](const auto& item)
                  {
                      const crash_state& crash = item.second;
                      return now - crash.happened_at >= memory ||
                             (crash.cleared &&
                              now - crash.changed_at >= cleared_report_memory);
                  });
    std::erase_if(this->answered,
                  [now](const auto& item) { return now - item.second >= memory; });
    if (this->answered.size() > max_parts_with_answers)
    {
        std::vector<time_point> times;
        for (const auto& [part, time] : this->answered)
        {
            times.push_back(time);
        }
        const auto oldest_kept = times.begin() + max_parts_with_answers / 4;
        std::nth_element(times.begin(), oldest_kept, times.end());
        std::erase_if(this->answered, [limit = *oldest_kept](const auto& item)
                      { return item.second < limit; });
    }
    while (this->crashes.size() > max_reports)
    {
        this->crashes.erase(std::min_element(this->crashes.begin(), this->crashes.end(),
                                             [](const auto& left, const auto& right) {
                                                 return left.second.happened_at <
                                                        right.second.happened_at;
                                             }));
    }
}

} // namespace agateseam
