#include <gateway/quarantine_keeper.hpp>

#include <net/log.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr auto poll_interval = 100ms;
/// Interval of reads while entries are missing, and after a failed read.
constexpr auto read_interval = 1'000ms;
/// The entry with the highest hash of its name and this one acts for the others.
constexpr std::string_view duty_name = "part blocks";

} // namespace

quarantine_keeper::quarantine_keeper(entry_state& entry, platform_link& entry_link)
    : state(&entry)
    , link(&entry_link)
{
    this->state->claim_trial = [this](part_block block)
    { return this->claim_trial(std::move(block)); };
}

void quarantine_keeper::on_store_restored()
{
    this->is_read = false;
    this->state->quarantine.mark_all_unsaved();
}

bool quarantine_keeper::acts_for_others() const
{
    return this->state->ledger.polls_server(duty_name, boot_now());
}

task<void> quarantine_keeper::run()
{
    for (;;)
    {
        const time_point now = boot_now();
        this->log_changes();
        const fleet_view view = this->state->ledger.view(now);
        const bool is_divided = view.reachable_entries < view.known_entries;
        const bool is_read_due =
            !this->is_read || (is_divided && this->acts_for_others());
        if (is_read_due && !this->is_busy &&
            (this->read_at == time_point{} || now - this->read_at >= read_interval))
        {
            co_await this->read_blocks();
        }
        if (!this->is_busy && this->acts_for_others())
        {
            co_await this->save_blocks();
        }
        co_await pause_for(*this->state->loop, poll_interval);
    }
}

task<void> quarantine_keeper::read_blocks()
{
    this->is_busy = true;
    this->read_at = boot_now();
    auto blocks = co_await this->link->list_part_blocks();
    this->is_busy = false;
    if (blocks)
    {
        this->is_read = true;
        this->apply(std::move(*blocks));
    }
    else if (!this->is_read)
    {
        log_error("part blocks not read", blocks.error());
    }
}

void quarantine_keeper::apply(std::vector<part_block> blocks)
{
    quarantine_digest stored;
    stored.blocks = std::move(blocks);
    if (this->state->quarantine.apply(stored, boot_now()))
    {
        this->state->digest_due.notify();
    }
    for (const part_block& block : stored.blocks)
    {
        this->state->quarantine.mark_saved(block);
    }
}

task<void> quarantine_keeper::save_blocks()
{
    for (const part_block& block : this->state->quarantine.unsaved_blocks(boot_now()))
    {
        this->is_busy = true;
        const auto stored = co_await this->link->write_part_block(block, false);
        this->is_busy = false;
        if (!stored)
        {
            log_error("part block not saved", stored.error(),
                      {{"block", to_hex(block.key())}});
            co_await pause_for(*this->state->loop, read_interval);
            co_return;
        }
        this->apply({stored->block});
    }
}

task<bool> quarantine_keeper::claim_trial(part_block block)
{
    const auto turn = this->state->quarantine.next_trial_turn(boot_now());
    if (this->is_busy || !turn || !co_await this->claim(*turn))
    {
        co_return false;
    }
    const bool is_due = this->state->quarantine.is_trial_due(block.key(), boot_now());
    part_block next = std::move(block);
    ++next.number;
    co_return is_due&& co_await this->claim(std::move(next));
}

/// Stores the state that follows the stored one, unless another entry did.
task<bool> quarantine_keeper::claim(part_block next)
{
    this->is_busy = true;
    const auto stored = co_await this->link->write_part_block(next, true);
    this->is_busy = false;
    if (!stored)
    {
        log_error("trial not claimed", stored.error(), {{"block", to_hex(next.key())}});
        co_return false;
    }
    this->apply({stored->block});
    co_return stored->is_written;
}

void quarantine_keeper::log_changes()
{
    for (const part_block& block :
         this->state->quarantine.take_changed_blocks(boot_now()))
    {
        if (part_quarantine::is_trial_turn(block))
        {
            continue;
        }
        std::string parts;
        for (const name_key part : block.parts)
        {
            parts += (parts.empty() ? "" : ",") + to_hex(part);
        }
        this->state->counters.add(block.lifted ? "agateseam_part_blocks_lifted_total"
                                               : "agateseam_part_blocks_total");
        log_line(log_level::warning,
                 block.lifted ? "prompt parts released" : "prompt parts blocked",
                 {{"block", to_hex(block.key())},
                  {"parts", parts},
                  {"number", std::int64_t{block.number}}});
    }
}

} // namespace agateseam
