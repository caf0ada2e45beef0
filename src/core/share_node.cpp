#include <agateseam/share_node.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr duration least_read_pause = std::chrono::milliseconds(100);
constexpr duration most_read_pause = std::chrono::seconds(2);
constexpr duration refusal_wait =
    std::chrono::seconds(1); ///< When no home can be reached.

} // namespace

result<std::unique_ptr<share_node>>
share_node::create(const clock_source& time, std::string vm, std::uint64_t incarnation,
                   const share_options& options, share_transport& transport)
{
    std::unique_ptr<share_node> node(new share_node(time, vm, incarnation, transport));
    auto holder = share_holder::create(time, std::move(vm), incarnation, options);
    if (!holder)
    {
        return tl::unexpected<error>(holder.error());
    }
    auto made = share_home::create(time);
    if (!made)
    {
        return tl::unexpected<error>(made.error());
    }
    node->own = std::move(*holder);
    node->home = std::move(*made);
    return node;
}

void share_node::configure(std::span<const allowance_terms> terms)
{
    this->own->configure(terms);
    this->home->configure(terms);
}

void share_node::set_entries(std::span<const std::string> listed)
{
    {
        const std::scoped_lock hold(this->mutex);
        this->entries.assign(listed.begin(), listed.end());
        ++this->list_number;
        for (auto& [shard, way] : this->routes)
        {
            const bool known =
                std::find(listed.begin(), listed.end(), way.home) != listed.end();
            way.home = known ? way.home : std::string();
        }
    }
    this->home->set_entries(listed);
}

void share_node::ask(std::string_view workspace, double tokens,
                     share_holder::callback done)
{
    this->own->ask(workspace, tokens, std::move(done));
}

void share_node::poll()
{
    this->send_censuses();
    for (const std::uint32_t shard : this->own->due(this->time->now()))
    {
        this->send_report(shard);
    }
}

/// The home as far as it is known, or else the entry that should be it.
std::string share_node::target_of(std::uint32_t shard)
{
    const std::scoped_lock hold(this->mutex);
    const route& way = this->routes[shard];
    return way.home.empty() ? std::string(preferred_home(shard, this->entries))
                            : way.home;
}

void share_node::send_report(std::uint32_t shard)
{
    const std::string target = this->target_of(shard);
    const share_report report = this->own->report(shard, this->time->now());
    if (target.empty())
    {
        this->own->failed(shard, refusal_wait);
    }
    else if (target == this->vm)
    {
        this->answered(shard, target, this->take(report));
    }
    else
    {
        this->transport->send(target, report,
                              [this, shard, target](const auto& answer)
                              { this->answered(shard, target, answer); });
    }
}

void share_node::answered(std::uint32_t shard, const std::string& asked,
                          const std::optional<share_answer>& answer)
{
    if (!answer)
    {
        this->own->failed(shard, refusal_wait);
        this->look_up(shard);
        return;
    }
    if (answer->standing != share_standing::not_home)
    {
        this->note_home(shard, asked);
        const std::scoped_lock hold(this->mutex);
        this->routes[shard].read_pause = duration{0};
    }
    else
    {
        this->note_home(shard, answer->home == asked ? std::string() : answer->home);
    }
    this->own->take(*answer);
}

void share_node::note_home(std::uint32_t shard, const std::string& name)
{
    const std::scoped_lock hold(this->mutex);
    const bool listed = std::find(this->entries.begin(), this->entries.end(), name) !=
                        this->entries.end();
    this->routes[shard].home = listed ? name : std::string();
}

void share_node::send_censuses()
{
    for (const share_census& census : this->home->open_censuses())
    {
        for (const std::string& missing : this->home->census_due(census.shard))
        {
            if (missing == this->vm)
            {
                this->home->take(this->own->take(census));
                continue;
            }
            {
                const std::scoped_lock hold(this->mutex);
                if (!this->asking.emplace(census.shard, missing).second)
                {
                    continue;
                }
            }
            this->transport->send(
                missing, census,
                [this, shard = census.shard, missing](const auto& answer)
                {
                    {
                        const std::scoped_lock hold(this->mutex);
                        this->asking.erase({shard, missing});
                    }
                    if (answer)
                    {
                        this->home->take(*answer);
                    }
                });
        }
    }
}

share_answer share_node::take(const share_report& report)
{
    share_answer answer = this->home->take(report);
    if (answer.standing == share_standing::not_home)
    {
        {
            const std::scoped_lock hold(this->mutex);
            answer.home = this->routes[report.shard].home;
        }
        this->look_up(report.shard);
    }
    return answer;
}

share_census_answer share_node::take(const share_census& census)
{
    return this->own->take(census);
}

bool share_node::serves(std::uint32_t shard) const
{
    {
        const std::scoped_lock hold(this->mutex);
        if (!this->serving.contains(shard))
        {
            return false;
        }
    }
    return this->home->census_due(shard).empty();
}

/// Reads who the home is, and becomes it where that is safe.
void share_node::look_up(std::uint32_t shard)
{
    {
        const std::scoped_lock hold(this->mutex);
        route& way = this->routes[shard];
        const time_point now = this->time->now();
        if (way.reading || now < way.read_next)
        {
            return;
        }
        way.reading = true;
        way.read_pause =
            std::clamp(2 * way.read_pause, least_read_pause, most_read_pause);
        way.read_next = now + way.read_pause;
    }
    this->transport->read(shard, [this, shard](const auto& found)
                          { this->looked_up(shard, found); });
}

void share_node::looked_up(std::uint32_t shard, const result<stored_share_record>& found)
{
    bool due = false;
    {
        const std::scoped_lock hold(this->mutex);
        this->routes[shard].reading = false;
        due = found && this->may_begin(shard, found->record);
    }
    if (!found)
    {
        return;
    }
    const share_record& record = found->record;
    if (record.home == this->vm && record.incarnation == this->incarnation)
    {
        this->home->begin(shard, record.epoch, record.epoch == 1);
        const std::scoped_lock hold(this->mutex);
        this->serving.insert(shard);
    }
    else if (due)
    {
        this->take_over(shard, *found);
        return;
    }
    this->note_home(shard, record.home);
}

/// Called with the lock held. A list that was asked for before the record was read may
/// not name a home that is new, so the home must be missing from a later one; of the
/// lists that arrive after the first look, the second was surely asked for after it.
bool share_node::may_begin(std::uint32_t shard, const share_record& record)
{
    constexpr std::uint64_t later_lists = 2;
    if (preferred_home(shard, this->entries) != this->vm ||
        !may_take_over(record, this->vm, this->incarnation, this->entries))
    {
        return false;
    }
    if (record.epoch == 0 || record.home == this->vm)
    {
        return true;
    }
    route& way = this->routes[shard];
    if (way.gone_epoch != record.epoch)
    {
        way.gone_epoch = record.epoch;
        way.gone_list = this->list_number;
    }
    return this->list_number >= way.gone_list + later_lists;
}

/// Writes itself into the record. After an unclear answer the next look at the record
/// shows whether the write took effect.
void share_node::take_over(std::uint32_t shard, const stored_share_record& found)
{
    const share_record next{this->vm, this->incarnation, found.record.epoch + 1};
    this->transport->write(
        shard, next, found.version,
        [this, shard, next](const auto& written)
        {
            if (written)
            {
                this->looked_up(shard, stored_share_record{next, *written});
            }
        });
}

} // namespace agateseam
