#include <agateseam/share_coordinator.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr duration min_read_interval = std::chrono::milliseconds(100);
constexpr duration max_read_interval = std::chrono::seconds(2);
/// The retry delay that callers are told when no home can be reached.
constexpr duration no_home_retry_after = std::chrono::seconds(1);

} // namespace

result<std::unique_ptr<share_coordinator>>
share_coordinator::create(const clock_source& time, std::string vm,
                          std::uint64_t incarnation, const share_holder_options& options,
                          share_transport& transport)
{
    std::unique_ptr<share_coordinator> coordinator(
        new share_coordinator(time, vm, incarnation, transport));
    auto holder = share_holder::create(time, std::move(vm), incarnation, options);
    if (!holder)
    {
        return tl::unexpected<error>(holder.error());
    }
    auto home = share_home::create(time);
    if (!home)
    {
        return tl::unexpected<error>(home.error());
    }
    coordinator->own_holder = std::move(*holder);
    coordinator->own_home = std::move(*home);
    return coordinator;
}

void share_coordinator::configure(std::span<const allowance_limits> limits)
{
    this->own_holder->configure(limits);
    this->own_home->configure(limits);
}

void share_coordinator::set_entries(std::span<const std::string> listed)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->entries.assign(listed.begin(), listed.end());
        ++this->list_number;
        for (auto& [shard, shard_route] : this->routes)
        {
            const bool is_listed =
                std::find(listed.begin(), listed.end(), shard_route.home) != listed.end();
            shard_route.home = is_listed ? shard_route.home : std::string();
        }
    }
    this->own_home->set_entries(listed);
}

void share_coordinator::reserve_async(std::string_view workspace, double tokens,
                                      share_holder::decision_callback done)
{
    this->own_holder->reserve_async(workspace, tokens, std::move(done));
}

void share_coordinator::poll()
{
    this->send_censuses();
    for (const std::uint32_t shard : this->own_holder->shards_due(this->time->now()))
    {
        this->send_report(shard);
    }
}

/// Returns the shard's home if it is known, or else the entry that should be its home.
std::string share_coordinator::report_target(std::uint32_t shard)
{
    const std::scoped_lock lock(this->mutex);
    const route& shard_route = this->routes[shard];
    return shard_route.home.empty() ? std::string(preferred_home(shard, this->entries))
                                    : shard_route.home;
}

void share_coordinator::send_report(std::uint32_t shard)
{
    const std::string target = this->report_target(shard);
    const share_report report = this->own_holder->make_report(shard, this->time->now());
    if (target.empty())
    {
        this->own_holder->report_failed(shard, no_home_retry_after);
    }
    else if (target == this->vm)
    {
        this->handle_answer(shard, target, this->handle_report(report));
    }
    else
    {
        this->transport->send_report(target, report,
                                     [this, shard, target](const auto& answer)
                                     { this->handle_answer(shard, target, answer); });
    }
}

void share_coordinator::handle_answer(std::uint32_t shard, const std::string& asked_vm,
                                      const std::optional<share_answer>& answer)
{
    if (!answer)
    {
        this->own_holder->report_failed(shard, no_home_retry_after);
        this->read_home_record(shard);
        return;
    }
    if (answer->standing != share_standing::not_home)
    {
        this->set_home(shard, asked_vm);
        const std::scoped_lock lock(this->mutex);
        this->routes[shard].read_interval = duration{0};
    }
    else
    {
        this->set_home(shard, answer->home == asked_vm ? std::string() : answer->home);
    }
    this->own_holder->handle_answer(*answer);
}

void share_coordinator::set_home(std::uint32_t shard, const std::string& home_vm)
{
    const std::scoped_lock lock(this->mutex);
    const bool is_listed = std::find(this->entries.begin(), this->entries.end(),
                                     home_vm) != this->entries.end();
    this->routes[shard].home = is_listed ? home_vm : std::string();
}

void share_coordinator::send_censuses()
{
    for (const share_census& census : this->own_home->open_censuses())
    {
        for (const std::string& entry :
             this->own_home->entries_without_census(census.shard))
        {
            if (entry == this->vm)
            {
                this->own_home->handle_census_answer(
                    this->own_holder->answer_census(census));
                continue;
            }
            {
                const std::scoped_lock lock(this->mutex);
                if (!this->pending_censuses.emplace(census.shard, entry).second)
                {
                    continue;
                }
            }
            this->transport->send_census(
                entry, census,
                [this, shard = census.shard, entry](const auto& answer)
                {
                    {
                        const std::scoped_lock lock(this->mutex);
                        this->pending_censuses.erase({shard, entry});
                    }
                    if (answer)
                    {
                        this->own_home->handle_census_answer(*answer);
                    }
                });
        }
    }
}

share_answer share_coordinator::handle_report(const share_report& report)
{
    share_answer answer = this->own_home->handle_report(report);
    if (answer.standing == share_standing::not_home)
    {
        {
            const std::scoped_lock lock(this->mutex);
            answer.home = this->routes[report.shard].home;
        }
        this->read_home_record(report.shard);
    }
    return answer;
}

share_census_answer share_coordinator::answer_census(const share_census& census)
{
    return this->own_holder->answer_census(census);
}

bool share_coordinator::serves_as_home(std::uint32_t shard) const
{
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->home_shards.contains(shard))
        {
            return false;
        }
    }
    return this->own_home->entries_without_census(shard).empty();
}

/// Reads the shard's home record, unless a read is under way or was made shortly before.
/// When the record permits it, this entry then becomes the home.
void share_coordinator::read_home_record(std::uint32_t shard)
{
    {
        const std::scoped_lock lock(this->mutex);
        route& shard_route = this->routes[shard];
        const time_point now = this->time->now();
        if (shard_route.read_pending || now < shard_route.next_read)
        {
            return;
        }
        shard_route.read_pending = true;
        shard_route.read_interval = std::clamp(2 * shard_route.read_interval,
                                               min_read_interval, max_read_interval);
        shard_route.next_read = now + shard_route.read_interval;
    }
    this->transport->read_record(shard, [this, shard](const auto& stored)
                                 { this->handle_home_record(shard, stored); });
}

void share_coordinator::handle_home_record(std::uint32_t shard,
                                           const result<stored_shard_home_record>& stored)
{
    bool takes_over = false;
    {
        const std::scoped_lock lock(this->mutex);
        this->routes[shard].read_pending = false;
        takes_over = stored && this->should_take_over(shard, stored->record);
    }
    if (!stored)
    {
        return;
    }
    const shard_home_record& record = stored->record;
    if (record.home == this->vm && record.incarnation == this->incarnation)
    {
        this->own_home->begin(shard, record.epoch, record.epoch == 1);
        const std::scoped_lock lock(this->mutex);
        this->home_shards.insert(shard);
    }
    else if (takes_over)
    {
        this->take_over(shard, *stored);
        return;
    }
    this->set_home(shard, record.home);
}

/// Must be called with the mutex locked. A list that was requested before the record was
/// read may lack a home that is new, so the home must also be missing from a list that
/// was requested later. Of the lists that arrive after the record was first read, the
/// second was certainly requested after that read.
bool share_coordinator::should_take_over(std::uint32_t shard,
                                         const shard_home_record& record)
{
    constexpr std::uint64_t lists_to_wait_for = 2;
    if (preferred_home(shard, this->entries) != this->vm ||
        !may_take_over(record, this->vm, this->incarnation, this->entries))
    {
        return false;
    }
    if (record.epoch == 0 || record.home == this->vm)
    {
        return true;
    }
    route& shard_route = this->routes[shard];
    if (shard_route.gone_epoch != record.epoch)
    {
        shard_route.gone_epoch = record.epoch;
        shard_route.gone_list = this->list_number;
    }
    return this->list_number >= shard_route.gone_list + lists_to_wait_for;
}

/// Writes this entry into the record as the home. When it is unclear whether the write
/// took effect, the next read of the record shows it.
void share_coordinator::take_over(std::uint32_t shard,
                                  const stored_shard_home_record& stored)
{
    const shard_home_record next{this->vm, this->incarnation, stored.record.epoch + 1};
    this->transport->write_record(
        shard, next, stored.version,
        [this, shard, next](const auto& written)
        {
            if (written)
            {
                this->handle_home_record(shard, stored_shard_home_record{next, *written});
            }
        });
}

} // namespace agateseam
