#include <agateseam/config_relay.hpp>

#include <algorithm>

#include <xxhash.h>

namespace agateseam
{

namespace
{

std::uint64_t rank_hash(const peer_record& entry)
{
    const std::string text = entry.failure_domain + "\n" + entry.vm;
    return XXH3_64bits(text.data(), text.size());
}

bool ranks_before(const peer_record& left, const peer_record& right)
{
    return std::pair(rank_hash(left), left.vm) < std::pair(rank_hash(right), right.vm);
}

} // namespace

config_relay::config_relay(peer_record own, const config_relay_options& chosen)
    : self(std::move(own))
    , options(chosen)
    , ranked{this->self}
{
}

result<std::unique_ptr<config_relay>>
config_relay::create(peer_record own, const config_relay_options& options)
{
    if (options.watchers == 0 || options.fanout == 0)
    {
        return fail(error_code::invalid, "make relay", "",
                    "watchers and fanout must be above 0");
    }
    return std::unique_ptr<config_relay>(new config_relay(std::move(own), options));
}

void config_relay::set_peers(std::vector<peer_record> listed)
{
    std::erase_if(listed,
                  [this](const peer_record& peer) { return peer.vm == this->self.vm; });
    std::sort(listed.begin(), listed.end(), ranks_before);
    const std::scoped_lock hold(this->mutex);
    this->ranked.assign(1, this->self);
    for (const peer_record& peer : listed)
    {
        if (peer.failure_domain == this->self.failure_domain)
        {
            this->ranked.push_back(peer);
        }
    }
    std::sort(this->ranked.begin(), this->ranked.end(), ranks_before);
    this->others = std::move(listed);
    std::erase_if(this->states,
                  [this](const auto& item)
                  {
                      return std::none_of(this->others.begin(), this->others.end(),
                                          [&](const peer_record& peer)
                                          { return peer.vm == item.first; });
                  });
}

std::size_t config_relay::own_rank() const
{
    const auto found = std::find_if(this->ranked.begin(), this->ranked.end(),
                                    [this](const peer_record& entry)
                                    { return entry.vm == this->self.vm; });
    return static_cast<std::size_t>(found - this->ranked.begin());
}

bool config_relay::watches() const
{
    const std::scoped_lock hold(this->mutex);
    return this->own_rank() < this->options.watchers;
}

bool config_relay::paused(const peer_record& peer, time_point now) const
{
    const auto found = this->states.find(peer.vm);
    return found != this->states.end() && found->second.failed &&
           now - *found->second.failed < this->options.parent_pause;
}

config_step config_relay::next_step(time_point now) const
{
    const std::scoped_lock hold(this->mutex);
    const std::size_t rank = this->own_rank();
    if (rank < this->options.watchers)
    {
        return {};
    }
    const std::size_t parent = (rank - this->options.watchers) / this->options.fanout;
    for (std::size_t step = 0; step < rank; ++step)
    {
        const peer_record& candidate = this->ranked[(parent + step) % rank];
        if (!this->paused(candidate, now))
        {
            return {false, candidate};
        }
    }
    return {};
}

std::optional<peer_record> config_relay::next_probe(time_point now)
{
    const std::scoped_lock hold(this->mutex);
    if (this->others.empty() || now < this->next_probe_at)
    {
        return std::nullopt;
    }
    const bool urgent = this->age_locked(now) > this->options.cutoff / 4;
    this->next_probe_at =
        now + (urgent ? this->options.urgent_interval : this->options.probe_interval);
    // Each entry begins its turns elsewhere, so that no peer is asked by all at once.
    const std::size_t place = rank_hash(this->self) + this->probe_turn++;
    const peer_record& chosen = this->others[place % this->others.size()];
    this->states[chosen.vm].asked = now;
    return chosen;
}

void config_relay::heard_store(time_point now, std::uint64_t named)
{
    const std::scoped_lock hold(this->mutex);
    this->newest = std::max(this->newest, named);
    if (this->number >= this->newest)
    {
        this->confirmed = std::max(this->confirmed.value_or(now), now);
    }
}

void config_relay::heard_peer(std::string_view vm, time_point now, const peer_word& word)
{
    const std::scoped_lock hold(this->mutex);
    peer_state& state = this->states[std::string(vm)];
    state.answered = now;
    state.failed.reset();
    this->newest = std::max(this->newest, word.number);
    const time_point known = now - word.age;
    if (this->number >= this->newest && (!this->confirmed || known > *this->confirmed))
    {
        this->confirmed = known;
    }
}

void config_relay::peer_failed(std::string_view vm, time_point now)
{
    const std::scoped_lock hold(this->mutex);
    this->states[std::string(vm)].failed = now;
}

void config_relay::in_force(std::uint64_t taken)
{
    const std::scoped_lock hold(this->mutex);
    this->number = std::max(this->number, taken);
}

duration config_relay::age_locked(time_point now) const
{
    return this->confirmed ? now - *this->confirmed : duration::max();
}

duration config_relay::age(time_point now) const
{
    const std::scoped_lock hold(this->mutex);
    return this->age_locked(now);
}

bool config_relay::may_admit(time_point now) const
{
    const std::scoped_lock hold(this->mutex);
    if (this->age_locked(now) < this->options.cutoff)
    {
        return true;
    }
    if (this->number < this->newest)
    {
        return false;
    }
    if (this->others.empty())
    {
        return this->number > 0;
    }
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (const auto& [vm, state] : this->states)
    {
        const bool recent = state.asked && now - *state.asked < this->options.cutoff;
        asked += recent ? 1 : 0;
        answered +=
            recent && state.answered && now - *state.answered < this->options.cutoff ? 1
                                                                                     : 0;
    }
    return asked > 0 && answered * 2 >= asked;
}

} // namespace agateseam
