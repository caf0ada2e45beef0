#include <fakes/memory_store.hpp>

namespace agateseam::fakes
{

namespace
{

constexpr std::string_view peer = "memory";

tl::unexpected<error> lost(std::string_view step)
{
    return fail(error_code::broken, step, peer, "the answer was lost");
}

} // namespace

result<void> memory_store::check_up() const
{
    if (this->down)
    {
        return fail(error_code::unavailable, "store", peer, "the store is down");
    }
    return {};
}

store_fault memory_store::next_fate()
{
    if (this->fates.empty())
    {
        return store_fault::none;
    }
    const store_fault next = this->fates.front();
    this->fates.pop_front();
    return next;
}

std::uint64_t memory_store::version_of(std::string_view key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? 0 : found->second.version;
}

result<object_record> memory_store::get(std::string_view key)
{
    const std::scoped_lock hold(this->mutex);
    ++this->read_count;
    if (auto up = this->check_up(); !up)
    {
        return tl::unexpected<error>(up.error());
    }
    const auto found = this->objects.find(key);
    if (found == this->objects.end())
    {
        return fail(error_code::not_found, "store get", peer, "no such object");
    }
    return object_record{std::string(key), found->second.value, found->second.version};
}

result<std::vector<object_record>> memory_store::list(std::string_view prefix)
{
    const std::scoped_lock hold(this->mutex);
    std::vector<object_record> records;
    for (const auto& [key, object] : this->objects)
    {
        if (key.starts_with(prefix))
        {
            records.push_back({key, object.value, object.version});
        }
    }
    return records;
}

result<std::uint64_t> memory_store::put(std::string_view key, std::string_view value,
                                        std::uint64_t expected_version)
{
    std::function<void()> call;
    {
        const std::scoped_lock hold(this->mutex);
        call = this->hook;
    }
    if (call)
    {
        call();
    }
    const std::scoped_lock hold(this->mutex);
    ++this->write_count;
    if (auto up = this->check_up(); !up)
    {
        return tl::unexpected<error>(up.error());
    }
    const store_fault fate = this->next_fate();
    if (fate == store_fault::unavailable)
    {
        return fail(error_code::unavailable, "store put", peer, "refused");
    }
    if (fate == store_fault::lost_before)
    {
        return lost("store put");
    }
    if (this->version_of(key) != expected_version)
    {
        return fail(error_code::conflict, "store put", peer, "another version");
    }
    this->objects[std::string(key)] = {std::string(value), ++this->last_version};
    if (fate == store_fault::lost_after || fate == store_fault::down_after)
    {
        this->down = fate == store_fault::down_after;
        return lost("store put");
    }
    return this->last_version;
}

result<void> memory_store::remove(std::string_view key, std::uint64_t expected_version)
{
    const std::scoped_lock hold(this->mutex);
    ++this->write_count;
    if (auto up = this->check_up(); !up)
    {
        return up;
    }
    const auto found = this->objects.find(key);
    if (found == this->objects.end() || found->second.version != expected_version)
    {
        return fail(error_code::conflict, "store remove", peer, "another version");
    }
    this->objects.erase(found);
    return {};
}

result<std::optional<object_record>>
memory_store::watch(std::string_view key, std::uint64_t after_version,
                    std::chrono::milliseconds /*wait*/)
{
    auto record = this->get(key);
    if (!record)
    {
        return tl::unexpected<error>(record.error());
    }
    if (record->version <= after_version)
    {
        return std::optional<object_record>{};
    }
    return std::optional<object_record>{std::move(*record)};
}

result<std::vector<vm_record>> memory_store::vms()
{
    return std::vector<vm_record>{};
}

void memory_store::line_up(std::deque<store_fault> next)
{
    const std::scoped_lock hold(this->mutex);
    this->fates = std::move(next);
}

void memory_store::set_down(bool refuse)
{
    const std::scoped_lock hold(this->mutex);
    this->down = refuse;
}

void memory_store::before_write(std::function<void()> call)
{
    const std::scoped_lock hold(this->mutex);
    this->hook = std::move(call);
}

std::size_t memory_store::writes() const
{
    const std::scoped_lock hold(this->mutex);
    return this->write_count;
}

std::size_t memory_store::reads() const
{
    const std::scoped_lock hold(this->mutex);
    return this->read_count;
}

} // namespace agateseam::fakes
