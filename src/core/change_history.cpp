#include <agateseam/change_history.hpp>

#include <algorithm>

#include <agateseam/document_codec.hpp>

namespace agateseam
{

void change_history::replace(std::map<std::string, std::string> listed,
                             store_position position)
{
    this->current = std::move(listed);
    this->recent.clear();
    this->recent_bytes = 0;
    this->known_from = position.revision;
    this->known_until = position;
}

result<void> change_history::record(std::vector<object_change> changes,
                                    store_position position)
{
    if (position.era != this->known_until.era)
    {
        return fail(error_code::conflict, "record changes", "",
                    "the changes are of another store era");
    }
    this->known_until = std::max(this->known_until, position);
    for (object_change& change : changes)
    {
        // The answer's revision covers all of its changes, and a reader gets them all or
        // none.
        change.revision = this->known_until.revision;
        if (change.removed)
        {
            this->current.erase(change.name);
        }
        else
        {
            this->current.insert_or_assign(change.name, change.document);
        }
        this->recent_bytes += change.document.size();
        this->recent.push_back(std::move(change));
    }
    while (this->recent.size() > max_changes ||
           (this->recent.size() > 1 && this->recent_bytes > max_change_bytes))
    {
        this->known_from = this->recent.front().revision;
        this->recent_bytes -= this->recent.front().document.size();
        this->recent.pop_front();
    }
    return {};
}

const std::string* change_history::document_with_hash(std::uint64_t hash) const noexcept
{
    for (const auto& [name, document] : this->current)
    {
        if (document_hash(document) == hash)
        {
            return &document;
        }
    }
    const auto found = std::find_if(this->recent.begin(), this->recent.end(),
                                    [hash](const object_change& change)
                                    { return document_hash(change.document) == hash; });
    return found == this->recent.end() ? nullptr : &found->document;
}

const std::string* change_history::only_document() const noexcept
{
    return this->current.size() == 1 ? &this->current.begin()->second : nullptr;
}

std::optional<std::vector<const object_change*>>
change_history::changes_since(store_position position) const
{
    if (position.era != this->known_until.era || position.revision < this->known_from)
    {
        return std::nullopt;
    }
    std::vector<const object_change*> later;
    for (const object_change& change : this->recent)
    {
        if (change.revision > position.revision)
        {
            later.push_back(&change);
        }
    }
    return later;
}

} // namespace agateseam
