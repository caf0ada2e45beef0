#include <fakes/memory_store.hpp>

namespace agateseam::fakes
{

namespace
{

constexpr std::string_view peer_name = "memory";

tl::unexpected<error> answer_lost_error(std::string_view step)
{
    return fail(error_code::broken, step, peer_name, "the answer was lost");
}

} // namespace

result<void> memory_store::check_available() const
{
    if (this->down)
    {
        return fail(error_code::unavailable, "store", peer_name, "the store is down");
    }
    return {};
}

store_fault memory_store::take_next_fault()
{
    if (this->queued_faults.empty())
    {
        return store_fault::none;
    }
    const store_fault fault = this->queued_faults.front();
    this->queued_faults.pop_front();
    return fault;
}

std::uint64_t memory_store::version_of(std::string_view key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? 0 : found->second.version;
}

result<object_record> memory_store::get(std::string_view key)
{
    const std::scoped_lock lock(this->mutex);
    ++this->read_count;
    if (auto available = this->check_available(); !available)
    {
        return tl::unexpected<error>(available.error());
    }
    const auto found = this->objects.find(key);
    if (found == this->objects.end())
    {
        return fail(error_code::not_found, "store get", peer_name, "no such object");
    }
    return object_record{std::string(key), found->second.value, found->second.version};
}

result<std::vector<object_record>> memory_store::list(std::string_view prefix)
{
    const std::scoped_lock lock(this->mutex);
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
    std::function<void()> hook;
    {
        const std::scoped_lock lock(this->mutex);
        hook = this->before_write_hook;
    }
    if (hook)
    {
        hook();
    }
    const std::scoped_lock lock(this->mutex);
    ++this->write_count;
    if (auto available = this->check_available(); !available)
    {
        return tl::unexpected<error>(available.error());
    }
    const store_fault fault = this->take_next_fault();
    if (fault == store_fault::unavailable)
    {
        return fail(error_code::unavailable, "store put", peer_name, "refused");
    }
    if (fault == store_fault::lost_before)
    {
        return answer_lost_error("store put");
    }
    if (this->version_of(key) != expected_version)
    {
        return fail(error_code::conflict, "store put", peer_name, "another version");
    }
    this->objects[std::string(key)] = {std::string(value), ++this->last_version};
    if (fault == store_fault::lost_after || fault == store_fault::down_after)
    {
        this->down = fault == store_fault::down_after;
        return answer_lost_error("store put");
    }
    return this->last_version;
}

result<void> memory_store::remove(std::string_view key, std::uint64_t expected_version)
{
    const std::scoped_lock lock(this->mutex);
    ++this->write_count;
    if (auto available = this->check_available(); !available)
    {
        return available;
    }
    const auto found = this->objects.find(key);
    if (found == this->objects.end() || found->second.version != expected_version)
    {
        return fail(error_code::conflict, "store remove", peer_name, "another version");
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

void memory_store::queue_faults(std::deque<store_fault> faults)
{
    const std::scoped_lock lock(this->mutex);
    this->queued_faults = std::move(faults);
}

void memory_store::set_down(bool refuse)
{
    const std::scoped_lock lock(this->mutex);
    this->down = refuse;
}

void memory_store::set_before_write_hook(std::function<void()> hook)
{
    const std::scoped_lock lock(this->mutex);
    this->before_write_hook = std::move(hook);
}

std::size_t memory_store::writes() const
{
    const std::scoped_lock lock(this->mutex);
    return this->write_count;
}

std::size_t memory_store::reads() const
{
    const std::scoped_lock lock(this->mutex);
    return this->read_count;
}

} // namespace agateseam::fakes
