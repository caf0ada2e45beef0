#include <daemon/open_attempts.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr unsigned unknown_replies_until_lost = 2;

} // namespace

void open_attempts::add(const std::string& address, const attempt_id& id,
                        std::weak_ptr<attempt_owner> owner)
{
    const std::scoped_lock lock(this->mutex);
    this->attempts[id] = {address, std::move(owner), 0};
}

void open_attempts::remove(const attempt_id& id)
{
    const std::scoped_lock lock(this->mutex);
    this->attempts.erase(id);
}

std::map<std::string, std::vector<attempt_id>> open_attempts::ids_by_address() const
{
    std::map<std::string, std::vector<attempt_id>> grouped;
    const std::scoped_lock lock(this->mutex);
    for (const auto& [id, open] : this->attempts)
    {
        grouped[open.address].push_back(id);
    }
    return grouped;
}

void open_attempts::apply_renewal_reply(const std::vector<attempt_id>& requested,
                                        const std::vector<attempt_id>& unknown)
{
    std::vector<std::shared_ptr<attempt_owner>> lost;
    {
        const std::scoped_lock lock(this->mutex);
        for (const attempt_id& id : requested)
        {
            const auto found = this->attempts.find(id);
            if (found == this->attempts.end())
            {
                continue;
            }
            const bool known =
                std::find(unknown.begin(), unknown.end(), id) == unknown.end();
            found->second.unknown_replies = known ? 0 : found->second.unknown_replies + 1;
            if (found->second.unknown_replies >= unknown_replies_until_lost)
            {
                lost.push_back(found->second.owner.lock());
            }
        }
    }
    for (const auto& owner : lost)
    {
        if (owner)
        {
            owner->on_attempt_lost();
        }
    }
}

} // namespace agateseam
