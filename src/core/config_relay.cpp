#include <agateseam/config_relay.hpp>

#include <algorithm>

#include <xxhash.h>

namespace agateseam
{

namespace
{

std::uint64_t hash_for_rank(const peer_record& entry)
{
    const std::string text = entry.failure_domain + "\n" + entry.vm;
    return XXH3_64bits(text.data(), text.size());
}

bool ranks_before(const peer_record& left, const peer_record& right)
{
    return std::pair(hash_for_rank(left), left.vm) <
           std::pair(hash_for_rank(right), right.vm);
}

} // namespace

config_relay::config_relay(peer_record own, const config_relay_options& initial_options)
    : self(std::move(own))
    , options(initial_options)
    , ranked_domain_entries{this->self}
{
}

result<std::unique_ptr<config_relay>>
config_relay::create(peer_record own, const config_relay_options& options)
{
    if (options.watchers_per_domain == 0 || options.fanout == 0)
    {
        return fail(error_code::invalid, "make relay", "",
                    "watchers and fanout must be above 0");
    }
    return std::unique_ptr<config_relay>(new config_relay(std::move(own), options));
}

void config_relay::set_peers(std::vector<peer_record> entries)
{
    std::erase_if(entries,
                  [this](const peer_record& peer) { return peer.vm == this->self.vm; });
    std::sort(entries.begin(), entries.end(), ranks_before);
    const std::scoped_lock lock(this->mutex);
    this->ranked_domain_entries.assign(1, this->self);
    for (const peer_record& peer : entries)
    {
        if (peer.failure_domain == this->self.failure_domain)
        {
            this->ranked_domain_entries.push_back(peer);
        }
    }
    std::sort(this->ranked_domain_entries.begin(), this->ranked_domain_entries.end(),
              ranks_before);
    this->peers = std::move(entries);
    std::erase_if(this->peer_states,
                  [this](const auto& item)
                  {
                      return std::none_of(this->peers.begin(), this->peers.end(),
                                          [&](const peer_record& peer)
                                          { return peer.vm == item.first; });
                  });
}

std::size_t config_relay::own_rank_locked() const
{
    const auto position = std::find_if(
        this->ranked_domain_entries.begin(), this->ranked_domain_entries.end(),
        [this](const peer_record& entry) { return entry.vm == this->self.vm; });
    return static_cast<std::size_t>(position - this->ranked_domain_entries.begin());
}

bool config_relay::watches_store() const
{
    const std::scoped_lock lock(this->mutex);
    return this->own_rank_locked() < this->options.watchers_per_domain;
}

bool config_relay::in_retry_delay(const peer_record& peer, time_point now) const
{
    const auto found = this->peer_states.find(peer.vm);
    return found != this->peer_states.end() && found->second.failed_at &&
           now - *found->second.failed_at < this->options.peer_retry_delay;
}

config_source config_relay::next_source(time_point now) const
{
    const std::scoped_lock lock(this->mutex);
    const std::size_t rank = this->own_rank_locked();
    if (rank < this->options.watchers_per_domain)
    {
        return {};
    }
    const std::size_t parent_rank =
        (rank - this->options.watchers_per_domain) / this->options.fanout;
    for (std::size_t offset = 0; offset < rank; ++offset)
    {
        const peer_record& candidate =
            this->ranked_domain_entries[(parent_rank + offset) % rank];
        if (!this->in_retry_delay(candidate, now))
        {
            return {false, candidate};
        }
    }
    return {};
}

std::optional<peer_record> config_relay::next_probe(time_point now)
{
    const std::scoped_lock lock(this->mutex);
    if (this->peers.empty() || now < this->next_probe_at)
    {
        return std::nullopt;
    }
    const bool urgent =
        this->confirmation_age_locked(now) > this->options.max_unconfirmed_age / 4;
    this->next_probe_at = now + (urgent ? this->options.urgent_probe_interval
                                        : this->options.probe_interval);
    // Each entry starts at a place of its own in the list, so that the entries do not all
    // probe the same peer at once.
    const std::size_t position = hash_for_rank(this->self) + this->probe_count++;
    const peer_record& chosen = this->peers[position % this->peers.size()];
    this->peer_states[chosen.vm].probed_at = now;
    return chosen;
}

void config_relay::record_store_number(time_point now, std::uint64_t store_number)
{
    const std::scoped_lock lock(this->mutex);
    this->highest_known_number = std::max(this->highest_known_number, store_number);
    if (this->number_in_force >= this->highest_known_number)
    {
        this->confirmed_newest_at =
            std::max(this->confirmed_newest_at.value_or(now), now);
    }
}

void config_relay::record_peer_status(std::string_view vm, time_point now,
                                      const peer_config_status& status)
{
    const std::scoped_lock lock(this->mutex);
    peer_state& state = this->peer_states[std::string(vm)];
    state.answered_at = now;
    state.failed_at.reset();
    this->highest_known_number = std::max(this->highest_known_number, status.number);
    const time_point confirmed_at = now - status.age;
    if (this->number_in_force >= this->highest_known_number &&
        (!this->confirmed_newest_at || confirmed_at > *this->confirmed_newest_at))
    {
        this->confirmed_newest_at = confirmed_at;
    }
}

void config_relay::record_peer_failure(std::string_view vm, time_point now)
{
    const std::scoped_lock lock(this->mutex);
    this->peer_states[std::string(vm)].failed_at = now;
}

void config_relay::record_number_in_force(std::uint64_t number)
{
    const std::scoped_lock lock(this->mutex);
    this->number_in_force = std::max(this->number_in_force, number);
}

duration config_relay::confirmation_age_locked(time_point now) const
{
    return this->confirmed_newest_at ? now - *this->confirmed_newest_at : duration::max();
}

duration config_relay::confirmation_age(time_point now) const
{
    const std::scoped_lock lock(this->mutex);
    return this->confirmation_age_locked(now);
}

bool config_relay::may_admit(time_point now) const
{
    const std::scoped_lock lock(this->mutex);
    if (this->confirmation_age_locked(now) < this->options.max_unconfirmed_age)
    {
        return true;
    }
    if (this->number_in_force < this->highest_known_number)
    {
        return false;
    }
    if (this->peers.empty())
    {
        return this->number_in_force > 0;
    }
    std::size_t probed = 0;
    std::size_t answered = 0;
    for (const auto& [vm, state] : this->peer_states)
    {
        const bool probed_recently =
            state.probed_at && now - *state.probed_at < this->options.max_unconfirmed_age;
        probed += probed_recently ? 1 : 0;
        answered += probed_recently && state.answered_at &&
                            now - *state.answered_at < this->options.max_unconfirmed_age
                        ? 1
                        : 0;
    }
    return probed > 0 && answered * 2 >= probed;
}

} // namespace agateseam
