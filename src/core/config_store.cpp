#include <agateseam/config_store.hpp>

#include <algorithm>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

#include <agateseam/impl/config_index.hpp>

namespace agateseam
{

namespace
{

using impl::chunk_reference;
using impl::config_index;
using json = nlohmann::json;

constexpr std::size_t max_history_changes = 64;
constexpr std::size_t max_diff_bytes = 4'000; // of one change
constexpr std::size_t max_paths_per_change = 64;
constexpr std::uint64_t retired_chunk_lifetime = 16; // in configuration numbers
constexpr int max_read_attempts = 5;
constexpr int max_write_attempts = 4;
constexpr std::string_view read_step = "read configuration";
constexpr std::string_view patch_step = "patch configuration";

bool effect_unknown(error_code code) noexcept
{
    return code == error_code::timeout || code == error_code::broken;
}

/// A version of the configuration in memory: its index and the assembled document.
struct loaded_configuration
{
    config_index index;
    json document = json::object();
};

config_state to_state(const loaded_configuration& loaded)
{
    return {loaded.index.number, loaded.document.dump(), loaded.index.history,
            loaded.index.version};
}

const config_change* find_patch(const config_index& index, std::string_view id)
{
    const auto found =
        std::find_if(index.history.begin(), index.history.end(),
                     [id](const config_change& item) { return item.patch_id == id; });
    return id.empty() || found == index.history.end() ? nullptr : &*found;
}

result<json> apply_patch(const json& document, const config_patch& patch)
{
    try
    {
        const json content = json::parse(patch.text);
        if (patch.format == patch_format::json_patch)
        {
            return document.patch(content);
        }
        if (!content.is_object())
        {
            return fail(error_code::invalid, patch_step, "",
                        "/: a merge patch must be a JSON object");
        }
        json next = document;
        next.merge_patch(content);
        return next;
    }
    catch (const json::exception& exception)
    {
        return fail(error_code::invalid, patch_step, "", exception.what());
    }
}

config_change make_change(const config_patch& patch, const json& before,
                          const json& after, wall_time now)
{
    const json diff = json::diff(before, after);
    config_change change;
    change.number = patch.expected_number + 1;
    change.patch_id = patch.id;
    change.when = now;
    change.note = patch.note;
    change.paths = impl::patched_paths(diff);
    change.diff = diff.dump();
    if (change.diff.size() > max_diff_bytes)
    {
        change.diff.clear();
    }
    if (change.paths.size() > max_paths_per_change)
    {
        change.paths.resize(max_paths_per_change);
        change.paths.emplace_back("/");
    }
    return change;
}

class object_config_store final : public config_store
{
  public:
    object_config_store(object_store& target, const clock_source& time,
                        std::string_view writer_name)
        : store(&target)
        , clock(&time)
        , writer(writer_name)
    {
    }

    [[nodiscard]] result<config_state> read() override
    {
        if (auto status = this->load(); !status)
        {
            return tl::unexpected<error>(status.error());
        }
        return to_state(this->loaded);
    }

    [[nodiscard]] result<patch_outcome> patch(const config_patch& requested) override
    {
        if (auto status = this->load(); !status)
        {
            // Nothing was written yet, so the patch had no effect whichever way the read
            // failed.
            return fail(error_code::unavailable, patch_step, status.error().peer,
                        status.error().description);
        }
        if (auto outcome = this->outcome_without_write(requested))
        {
            return std::move(*outcome);
        }
        auto document = apply_patch(this->loaded.document, requested);
        if (!document)
        {
            return tl::unexpected<error>(document.error());
        }
        if (auto checked =
                configuration::parse(document->dump(), requested.expected_number + 1);
            !checked)
        {
            return tl::unexpected<error>(checked.error());
        }
        return this->write(requested, *document);
    }

  private:
    /// Updates `loaded` and `chunks` to the version that is in the store.
    [[nodiscard]] result<void> load()
    {
        for (int attempt = 0; attempt < max_read_attempts; ++attempt)
        {
            const auto record = this->store->get(config_index_key);
            if (!record && record.error().code == error_code::not_found)
            {
                this->loaded = {};
                return {};
            }
            if (!record)
            {
                return tl::unexpected<error>(record.error());
            }
            if (record->version == this->loaded.index.version)
            {
                return {};
            }
            auto index = config_index::parse(*record);
            if (!index)
            {
                return tl::unexpected<error>(index.error());
            }
            auto assembled = this->assemble(std::move(*index));
            if (assembled || assembled.error().code != error_code::not_found)
            {
                return assembled;
            }
            // A chunk was removed because a newer index no longer needs it: read that
            // index.
        }
        return fail(error_code::unavailable, read_step, "",
                    "the configuration keeps changing");
    }

    /// Reads the chunks of an index and makes it the loaded version.
    [[nodiscard]] result<void> assemble(config_index index)
    {
        loaded_configuration next;
        next.document = index.base;
        std::map<std::string, json, std::less<>> used_chunks;
        json workspaces = json::object();
        for (const chunk_reference& chunk : index.chunks)
        {
            if (chunk.key.empty())
            {
                continue;
            }
            auto content = this->read_chunk(chunk);
            if (!content)
            {
                return tl::unexpected<error>(content.error());
            }
            workspaces.update(*content);
            used_chunks.emplace(chunk.key, std::move(*content));
        }
        if (!workspaces.empty())
        {
            next.document["workspaces"] = std::move(workspaces);
        }
        next.index = std::move(index);
        this->loaded = std::move(next);
        this->chunks = std::move(used_chunks);
        return {};
    }

    /// Returns a chunk's content from memory if it was read before, else from the store.
    [[nodiscard]] result<json> read_chunk(const chunk_reference& chunk)
    {
        const auto cached = this->chunks.find(chunk.key);
        if (cached != this->chunks.end())
        {
            return cached->second;
        }
        const auto record = this->store->get(chunk.key);
        if (!record)
        {
            return tl::unexpected<error>(record.error());
        }
        json content = json::parse(record->value, nullptr, false);
        if (!content.is_object())
        {
            return fail(error_code::internal, read_step, "", "a chunk is malformed");
        }
        return content;
    }

    /// Returns the outcome of a patch that is stale or was applied before; nothing when
    /// it has to be written.
    [[nodiscard]] std::optional<patch_outcome>
    outcome_without_write(const config_patch& patch) const
    {
        const config_index& index = this->loaded.index;
        patch_outcome outcome;
        if (const config_change* applied = find_patch(index, patch.id))
        {
            outcome.number = applied->number;
            outcome.current = to_state(this->loaded);
            return outcome;
        }
        if (index.number == patch.expected_number)
        {
            return std::nullopt;
        }
        outcome.verdict = patch_verdict::stale;
        outcome.number = index.number;
        outcome.current = to_state(this->loaded);
        outcome.changed_known = patch.expected_number < index.number &&
                                !index.history.empty() &&
                                index.history.front().number <= patch.expected_number + 1;
        for (const config_change& change : index.history)
        {
            if (change.number > patch.expected_number)
            {
                outcome.changed.insert(outcome.changed.end(), change.paths.begin(),
                                       change.paths.end());
            }
        }
        std::sort(outcome.changed.begin(), outcome.changed.end());
        outcome.changed.erase(std::unique(outcome.changed.begin(), outcome.changed.end()),
                              outcome.changed.end());
        return outcome;
    }

    /// Writes the new chunks and then the index, and removes the chunks that this leaves
    /// unused.
    [[nodiscard]] result<patch_outcome> write(const config_patch& patch,
                                              const json& document)
    {
        config_index next = this->loaded.index;
        next.number = patch.expected_number + 1;
        next.base = document;
        next.base.erase("workspaces");
        next.history.push_back(
            make_change(patch, this->loaded.document, document, this->clock->wall_now()));
        if (next.history.size() > max_history_changes)
        {
            next.history.erase(next.history.begin());
        }
        std::vector<chunk_reference> new_chunks;
        auto outcome = this->write_chunks(patch, document, next, new_chunks);
        const std::vector<chunk_reference> outdated_chunks = take_outdated_chunks(next);
        if (outcome)
        {
            outcome = this->commit(next);
        }
        if (outcome)
        {
            this->remove(outdated_chunks);
            return this->applied_outcome(patch);
        }
        const error_code code = outcome.error().code;
        if (code == error_code::conflict || code == error_code::unavailable)
        {
            // No index refers to these chunks or ever will, since their keys are unique.
            this->remove(new_chunks);
        }
        if (code == error_code::conflict)
        {
            return this->conflict_outcome(patch);
        }
        return tl::unexpected<error>(outcome.error());
    }

    /// Writes the changed chunks, each under a key that was never used before.
    [[nodiscard]] result<void> write_chunks(const config_patch& patch,
                                            const json& document, config_index& next,
                                            std::vector<chunk_reference>& new_chunks)
    {
        const std::size_t workspace_count =
            document.contains("workspaces") ? document["workspaces"].size() : 0;
        const std::size_t count =
            impl::chunk_count(workspace_count, this->loaded.index.chunks.size());
        const std::vector<json> old_contents =
            impl::split_workspaces(this->loaded.document, count);
        const std::vector<json> new_contents = impl::split_workspaces(document, count);
        const bool count_changed = count != this->loaded.index.chunks.size();
        std::vector<chunk_reference> old_chunks = next.chunks;
        next.chunks.resize(count);
        for (std::size_t index = 0; index < count; ++index)
        {
            if (!count_changed && old_contents[index] == new_contents[index])
            {
                continue;
            }
            next.chunks[index] = {};
            if (!new_contents[index].empty())
            {
                auto chunk = this->put_chunk(patch, index, new_contents[index]);
                if (!chunk)
                {
                    return tl::unexpected<error>(chunk.error());
                }
                next.chunks[index] = *chunk;
                new_chunks.push_back(*chunk);
            }
        }
        for (const chunk_reference& chunk : old_chunks)
        {
            const bool still_used = std::find(next.chunks.begin(), next.chunks.end(),
                                              chunk) != next.chunks.end();
            if (!chunk.key.empty() && !still_used)
            {
                next.retired.push_back({next.number, chunk});
            }
        }
        return {};
    }

    [[nodiscard]] result<chunk_reference>
    put_chunk(const config_patch& patch, std::size_t index, const json& content)
    {
        const std::string text = content.dump();
        const std::string key = "config/chunk/" +
                                std::to_string(patch.expected_number + 1) + "-" +
                                std::to_string(index) + "-" + this->writer + "-" +
                                std::to_string(++this->chunks_written);
        auto version = this->store->put(key, text, 0);
        const bool may_be_written =
            !version && (version.error().code == error_code::conflict ||
                         effect_unknown(version.error().code));
        if (may_be_written)
        {
            // Only this call uses the key, so an object with this content was written by
            // it.
            const auto present = this->store->get(key);
            if (present && present->value == text)
            {
                version = present->version;
            }
        }
        if (!version)
        {
            return fail(error_code::unavailable, patch_step, version.error().peer,
                        version.error().description);
        }
        return chunk_reference{key, *version};
    }

    /// Takes out of the index's list the retired chunks that are no longer kept for
    /// readers of older indexes, and returns them.
    [[nodiscard]] static std::vector<chunk_reference>
    take_outdated_chunks(config_index& next)
    {
        std::vector<chunk_reference> outdated_chunks;
        std::erase_if(next.retired,
                      [&](const impl::retired_chunk& item)
                      {
                          const bool expired =
                              item.number + retired_chunk_lifetime <= next.number;
                          if (expired)
                          {
                              outdated_chunks.push_back(item.chunk);
                          }
                          return expired;
                      });
        return outdated_chunks;
    }

    /// Writes the index; `conflict` means that another patch was certainly written first.
    [[nodiscard]] result<void> commit(const config_index& next)
    {
        const std::string text = next.to_text();
        bool effect_uncertain = false;
        error last_error;
        for (int attempt = 0; attempt < max_write_attempts; ++attempt)
        {
            const auto version = this->store->put(config_index_key, text, next.version);
            if (version)
            {
                return {};
            }
            last_error = version.error();
            if (last_error.code == error_code::conflict && effect_uncertain)
            {
                return this->read_back(next);
            }
            if (!effect_unknown(last_error.code))
            {
                break;
            }
            effect_uncertain = true;
        }
        if (effect_uncertain && last_error.code != error_code::conflict)
        {
            last_error.code = error_code::timeout;
        }
        return tl::unexpected<error>(last_error);
    }

    /// Finds out from the store whether the index was written, after an answer was lost.
    [[nodiscard]] result<void> read_back(const config_index& next)
    {
        const auto record = this->store->get(config_index_key);
        if (!record)
        {
            return fail(error_code::timeout, patch_step, record.error().peer,
                        "whether the patch took effect is not known");
        }
        const auto present = config_index::parse(*record);
        if (present && find_patch(*present, next.history.back().patch_id) != nullptr)
        {
            return {};
        }
        return fail(error_code::conflict, patch_step, "", "another patch came first");
    }

    /// Returns the outcome of a patch whose index was written.
    [[nodiscard]] result<patch_outcome> applied_outcome(const config_patch& patch)
    {
        patch_outcome outcome;
        outcome.number = patch.expected_number + 1;
        if (auto status = this->load(); !status)
        {
            outcome.current.number = outcome.number;
            return outcome;
        }
        outcome.current = to_state(this->loaded);
        return outcome;
    }

    /// Returns the outcome of a patch after another writer changed the index first.
    [[nodiscard]] result<patch_outcome> conflict_outcome(const config_patch& patch)
    {
        if (auto status = this->load(); !status)
        {
            return fail(error_code::unavailable, patch_step, status.error().peer,
                        status.error().description);
        }
        if (auto outcome = this->outcome_without_write(patch))
        {
            return std::move(*outcome);
        }
        return fail(error_code::unavailable, patch_step, "", "another patch came first");
    }

    /// Removes chunks that no index refers to. A chunk whose removal fails stays in the
    /// store.
    void remove(const std::vector<chunk_reference>& unused_chunks)
    {
        for (const chunk_reference& chunk : unused_chunks)
        {
            static_cast<void>(this->store->remove(chunk.key, chunk.version));
        }
    }

    object_store* store;
    const clock_source* clock;
    std::string writer;
    std::uint64_t chunks_written = 0;
    loaded_configuration loaded;
    std::map<std::string, json, std::less<>> chunks; ///< Chunks of `loaded`, by key.
};

} // namespace

std::unique_ptr<config_store> config_store::create(object_store& store,
                                                   const clock_source& clock,
                                                   std::string_view writer)
{
    return std::make_unique<object_config_store>(store, clock, writer);
}

} // namespace agateseam
