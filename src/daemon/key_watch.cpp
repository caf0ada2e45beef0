#include <daemon/key_watch.hpp>

#include <algorithm>

#include <daemon/entry_context.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t least_drop_size = 64;

key_state state_of(const configuration_view& view, const std::string& key_id)
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
        const std::scoped_lock hold(this->mutex);
        if (this->entries.size() >= this->drop_at)
        {
            this->drop_ended();
        }
        this->entries.push_back({id, flag});
    }
    const auto view = board.read();
    if (view && !view->keys.contains(id))
    {
        flag->store(state_of(*view, id));
    }
    return flag;
}

void key_watch::drop_ended()
{
    std::erase_if(this->entries, [](const entry& item) { return item.flag.expired(); });
    this->drop_at = std::max(least_drop_size, this->entries.size() * 2);
}

void key_watch::check(const configuration_view& view)
{
    const std::scoped_lock hold(this->mutex);
    for (const entry& item : this->entries)
    {
        if (const auto flag = item.flag.lock())
        {
            flag->store(state_of(view, item.key_id));
        }
    }
}

} // namespace agateseam
