#include <daemon/key_watch.hpp>

#include <algorithm>

#include <daemon/entry_context.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t min_prune_size = 64;

key_state find_state(const configuration_view& view, const std::string& key_id)
{
    if (view.keys.contains(key_id))
    {
        return key_state::valid;
    }
    return view.current.policy.withdrawn_streams == "cut" ? key_state::withdrawn_cut
                                                          : key_state::withdrawn;
}

} // namespace

key_flag key_watch::add(std::string_view key_id,
                        const published<configuration_view>& board)
{
    auto flag = std::make_shared<std::atomic<key_state>>(key_state::valid);
    const std::string id(key_id);
    {
        const std::scoped_lock lock(this->mutex);
        if (this->entries.size() >= this->prune_at)
        {
            this->prune_ended();
        }
        this->entries.push_back({id, flag});
    }
    const auto view = board.read();
    if (view && !view->keys.contains(id))
    {
        flag->store(find_state(*view, id));
    }
    return flag;
}

void key_watch::prune_ended()
{
    std::erase_if(this->entries, [](const entry& item) { return item.flag.expired(); });
    this->prune_at = std::max(min_prune_size, this->entries.size() * 2);
}

void key_watch::update_states(const configuration_view& view)
{
    const std::scoped_lock lock(this->mutex);
    for (const entry& item : this->entries)
    {
        if (const auto flag = item.flag.lock())
        {
            flag->store(find_state(view, item.key_id));
        }
    }
}

} // namespace agateseam
