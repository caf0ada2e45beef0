#include <daemon/open_attempts.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr unsigned lost_after = 2; // answers in a row

} // namespace

void open_attempts::add(const std::string& address, const attempt_id& id,
                        std::weak_ptr<attempt_owner> owner)
{
    const std::scoped_lock hold(this->mutex);
    this->attempts[id] = {address, std::move(owner), 0};
}

void open_attempts::remove(const attempt_id& id)
{
    const std::scoped_lock hold(this->mutex);
    this->attempts.erase(id);
}

std::map<std::string, std::vector<attempt_id>> open_attempts::by_address() const
{
    std::map<std::string, std::vector<attempt_id>> grouped;
    const std::scoped_lock hold(this->mutex);
    for (const auto& [id, open] : this->attempts)
    {
        grouped[open.address].push_back(id);
    }
    return grouped;
}

void open_attempts::note_reply(const std::vector<attempt_id>& asked,
                               const std::vector<attempt_id>& unknown)
{
    std::vector<std::shared_ptr<attempt_owner>> lost;
    {
        const std::scoped_lock hold(this->mutex);
        for (const attempt_id& id : asked)
        {
            const auto found = this->attempts.find(id);
            if (found == this->attempts.end())
            {
                continue;
            }
            const bool known =
                std::find(unknown.begin(), unknown.end(), id) == unknown.end();
            found->second.unknown = known ? 0 : found->second.unknown + 1;
            if (found->second.unknown >= lost_after)
            {
                lost.push_back(found->second.owner.lock());
            }
        }
    }
    for (const auto& owner : lost)
    {
        if (owner)
        {
            owner->on_lost();
        }
    }
}

} // namespace agateseam
