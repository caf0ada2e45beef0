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

constexpr std::size_t history_limit = 64;  // changes
constexpr std::size_t diff_limit = 4'000;  // bytes of one change's diff
constexpr std::size_t paths_limit = 64;    // of one change
constexpr std::uint64_t retired_kept = 16; // numbers
constexpr int read_attempts = 5;
constexpr int write_attempts = 4;
constexpr std::string_view read_step = "read configuration";
constexpr std::string_view patch_step = "patch configuration";

bool effect_unknown(error_code code) noexcept
{
    return code == error_code::timeout || code == error_code::broken;
}

/// A version of the configuration as this process holds it.
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

result<json> apply_patch(const json& document, const config_patch& wanted)
{
    try
    {
        const json patch = json::parse(wanted.text);
        if (wanted.format == patch_format::json_patch)
        {
            return document.patch(patch);
        }
        if (!patch.is_object())
        {
            return fail(error_code::invalid, patch_step, "",
                        "/: a merge patch must be a JSON object");
        }
        json next = document;
        next.merge_patch(patch);
        return next;
    }
    catch (const json::exception& fault)
    {
        return fail(error_code::invalid, patch_step, "", fault.what());
    }
}

config_change make_change(const config_patch& wanted, const json& before,
                          const json& after, wall_time now)
{
    const json diff = json::diff(before, after);
    config_change change;
    change.number = wanted.against + 1;
    change.patch_id = wanted.id;
    change.when = now;
    change.note = wanted.note;
    change.paths = impl::patched_paths(diff);
    change.diff = diff.dump();
    if (change.diff.size() > diff_limit)
    {
        change.diff.clear();
    }
    if (change.paths.size() > paths_limit)
    {
        change.paths.resize(paths_limit);
        change.paths.emplace_back("/");
    }
    return change;
}

class store_impl final : public config_store
{
  public:
    store_impl(object_store& target, const clock_source& source, std::string_view name)
        : store(&target)
        , clock(&source)
        , writer(name)
    {
    }

    [[nodiscard]] result<config_state> read() override
    {
        if (auto loaded = this->load(); !loaded)
        {
            return tl::unexpected<error>(loaded.error());
        }
        return to_state(this->held);
    }

    [[nodiscard]] result<patch_outcome> patch(const config_patch& wanted) override
    {
        if (auto loaded = this->load(); !loaded)
        {
            // Nothing was written yet, whatever became of the read.
            return fail(error_code::unavailable, patch_step, loaded.error().peer,
                        loaded.error().description);
        }
        if (auto known = this->settled(wanted))
        {
            return std::move(*known);
        }
        auto document = apply_patch(this->held.document, wanted);
        if (!document)
        {
            return tl::unexpected<error>(document.error());
        }
        if (auto checked = configuration::parse(document->dump(), wanted.against + 1);
            !checked)
        {
            return tl::unexpected<error>(checked.error());
        }
        return this->write(wanted, *document);
    }

  private:
    /// Brings what is held up to the store's version.
    [[nodiscard]] result<void> load()
    {
        for (int attempt = 0; attempt < read_attempts; ++attempt)
        {
            const auto record = this->store->get(config_key);
            if (!record && record.error().code == error_code::not_found)
            {
                this->held = {};
                return {};
            }
            if (!record)
            {
                return tl::unexpected<error>(record.error());
            }
            if (record->version == this->held.index.version)
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
            // A newer index has retired a chunk meanwhile: read that one.
        }
        return fail(error_code::unavailable, read_step, "",
                    "the configuration keeps changing");
    }

    [[nodiscard]] result<void> assemble(config_index index)
    {
        loaded_configuration next;
        next.document = index.base;
        std::map<std::string, json, std::less<>> used;
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
            used.emplace(chunk.key, std::move(*content));
        }
        if (!workspaces.empty())
        {
            next.document["workspaces"] = std::move(workspaces);
        }
        next.index = std::move(index);
        this->held = std::move(next);
        this->chunks = std::move(used);
        return {};
    }

    [[nodiscard]] result<json> read_chunk(const chunk_reference& chunk)
    {
        const auto known = this->chunks.find(chunk.key);
        if (known != this->chunks.end())
        {
            return known->second;
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

    /// Answers a patch that needs no write: it is stale, or already in.
    [[nodiscard]] std::optional<patch_outcome> settled(const config_patch& wanted) const
    {
        const config_index& index = this->held.index;
        patch_outcome outcome;
        if (const config_change* made = find_patch(index, wanted.id))
        {
            outcome.number = made->number;
            outcome.current = to_state(this->held);
            return outcome;
        }
        if (index.number == wanted.against)
        {
            return std::nullopt;
        }
        outcome.verdict = patch_verdict::stale;
        outcome.number = index.number;
        outcome.current = to_state(this->held);
        outcome.changed_known = wanted.against < index.number && !index.history.empty() &&
                                index.history.front().number <= wanted.against + 1;
        for (const config_change& change : index.history)
        {
            if (change.number > wanted.against)
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

    [[nodiscard]] result<patch_outcome> write(const config_patch& wanted,
                                              const json& document)
    {
        config_index next = this->held.index;
        next.number = wanted.against + 1;
        next.base = document;
        next.base.erase("workspaces");
        next.history.push_back(
            make_change(wanted, this->held.document, document, this->clock->wall_now()));
        if (next.history.size() > history_limit)
        {
            next.history.erase(next.history.begin());
        }
        std::vector<chunk_reference> written;
        auto outcome = this->write_chunks(wanted, document, next, written);
        const std::vector<chunk_reference> outdated = drop_outdated(next);
        if (outcome)
        {
            outcome = this->commit(next);
        }
        if (outcome)
        {
            this->remove(outdated);
            return this->confirmed(wanted);
        }
        const error_code code = outcome.error().code;
        if (code == error_code::conflict || code == error_code::unavailable)
        {
            // No index names these chunks, and none ever will.
            this->remove(written);
        }
        if (code == error_code::conflict)
        {
            return this->overtaken(wanted);
        }
        return tl::unexpected<error>(outcome.error());
    }

    /// Writes the chunks that differ, each under a name that was never used before.
    [[nodiscard]] result<void> write_chunks(const config_patch& wanted,
                                            const json& document, config_index& next,
                                            std::vector<chunk_reference>& written)
    {
        const std::size_t workspaces =
            document.contains("workspaces") ? document["workspaces"].size() : 0;
        const std::size_t count =
            impl::chunk_count(workspaces, this->held.index.chunks.size());
        const std::vector<json> before =
            impl::split_workspaces(this->held.document, count);
        const std::vector<json> after = impl::split_workspaces(document, count);
        const bool grown = count != this->held.index.chunks.size();
        std::vector<chunk_reference> old = next.chunks;
        next.chunks.resize(count);
        for (std::size_t place = 0; place < count; ++place)
        {
            if (!grown && before[place] == after[place])
            {
                continue;
            }
            next.chunks[place] = {};
            if (!after[place].empty())
            {
                auto chunk = this->put_chunk(wanted, place, after[place]);
                if (!chunk)
                {
                    return tl::unexpected<error>(chunk.error());
                }
                next.chunks[place] = *chunk;
                written.push_back(*chunk);
            }
        }
        for (const chunk_reference& chunk : old)
        {
            const bool kept = std::find(next.chunks.begin(), next.chunks.end(), chunk) !=
                              next.chunks.end();
            if (!chunk.key.empty() && !kept)
            {
                next.retired.push_back({next.number, chunk});
            }
        }
        return {};
    }

    [[nodiscard]] result<chunk_reference>
    put_chunk(const config_patch& wanted, std::size_t place, const json& content)
    {
        const std::string text = content.dump();
        const std::string key = "config/chunk/" + std::to_string(wanted.against + 1) +
                                "-" + std::to_string(place) + "-" + this->writer + "-" +
                                std::to_string(++this->chunks_written);
        auto version = this->store->put(key, text, 0);
        const bool check = !version && (version.error().code == error_code::conflict ||
                                        effect_unknown(version.error().code));
        if (check)
        {
            // Only this call uses the name: what is there is its own.
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

    /// Takes the chunks out of the list that readers of old indexes no longer need.
    [[nodiscard]] static std::vector<chunk_reference> drop_outdated(config_index& next)
    {
        std::vector<chunk_reference> outdated;
        std::erase_if(next.retired,
                      [&](const impl::retired_chunk& item)
                      {
                          const bool old = item.number + retired_kept <= next.number;
                          if (old)
                          {
                              outdated.push_back(item.chunk);
                          }
                          return old;
                      });
        return outdated;
    }

    /// Puts the index; `conflict` means that another patch came first for certain.
    [[nodiscard]] result<void> commit(const config_index& next)
    {
        const std::string text = next.to_text();
        bool doubtful = false;
        error fault;
        for (int attempt = 0; attempt < write_attempts; ++attempt)
        {
            const auto version = this->store->put(config_key, text, next.version);
            if (version)
            {
                return {};
            }
            fault = version.error();
            if (fault.code == error_code::conflict && doubtful)
            {
                return this->read_back(next);
            }
            if (!effect_unknown(fault.code))
            {
                break;
            }
            doubtful = true;
        }
        if (doubtful && fault.code != error_code::conflict)
        {
            fault.code = error_code::timeout;
        }
        return tl::unexpected<error>(fault);
    }

    /// After lost answers: tells whether the index took effect.
    [[nodiscard]] result<void> read_back(const config_index& next)
    {
        const auto record = this->store->get(config_key);
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

    [[nodiscard]] result<patch_outcome> confirmed(const config_patch& wanted)
    {
        patch_outcome outcome;
        outcome.number = wanted.against + 1;
        if (auto loaded = this->load(); !loaded)
        {
            outcome.current.number = outcome.number;
            return outcome;
        }
        outcome.current = to_state(this->held);
        return outcome;
    }

    [[nodiscard]] result<patch_outcome> overtaken(const config_patch& wanted)
    {
        if (auto loaded = this->load(); !loaded)
        {
            return fail(error_code::unavailable, patch_step, loaded.error().peer,
                        loaded.error().description);
        }
        if (auto outcome = this->settled(wanted))
        {
            return std::move(*outcome);
        }
        return fail(error_code::unavailable, patch_step, "", "another patch came first");
    }

    /// Removes chunks that nothing names; what cannot be removed stays as garbage.
    void remove(const std::vector<chunk_reference>& unused)
    {
        for (const chunk_reference& chunk : unused)
        {
            static_cast<void>(this->store->remove(chunk.key, chunk.version));
        }
    }

    object_store* store;
    const clock_source* clock;
    std::string writer;
    std::uint64_t chunks_written = 0;
    loaded_configuration held;
    std::map<std::string, json, std::less<>> chunks;
};

} // namespace

std::unique_ptr<config_store> config_store::create(object_store& store,
                                                   const clock_source& clock,
                                                   std::string_view writer)
{
    return std::make_unique<store_impl>(store, clock, writer);
}

} // namespace agateseam
