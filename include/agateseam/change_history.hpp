/// The recent changes of a set of objects, from which other entries are served.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>
#include <agateseam/store_position.hpp>

namespace agateseam
{

/// \brief One change of an object, or its removal.
struct object_change
{
    std::uint64_t revision = 0; ///< Revision at which the change was known, in the era.
    std::string name;
    std::string document; ///< The object as the platform wrote it.
    bool removed = false;
    bool after_outage = false; ///< A removal that an outage of the store may have caused.
};

/// \brief A copy of a set of objects with its latest changes by revision.
///
/// Positions are those of the platform's store, so a reader may move from one copy to
/// another, or to the store itself, and go on at the position that it has reached. A copy
/// is of one era: only a complete list takes it to another.
class change_history
{
  public:
    /// Changes that are kept. A reader that is further behind reads all objects again.
    static constexpr std::size_t max_changes = 512;
    /// Documents of changes that are kept; at least the latest change is.
    static constexpr std::size_t max_change_bytes = 4 << 20;

    /// \brief Replaces all objects by a complete list; earlier changes are forgotten.
    void replace(std::map<std::string, std::string> listed, store_position position);

    /// \brief Adds the changes that one answer of the store contained.
    /// \param position the store's position that the answer covers.
    /// \returns `conflict` if the position is of another era than this copy, which then
    /// stays as it is.
    [[nodiscard]] result<void> record(std::vector<object_change> changes,
                                      store_position position);

    /// \brief Returns the changes after a position in their order; empty when there are
    /// none yet, also for a reader that is ahead of this copy in its era.
    /// \returns no value when the changes since then are not known any more, or when the
    /// position is of another era.
    [[nodiscard]] std::optional<std::vector<const object_change*>>
    changes_since(store_position position) const;

    /// \brief Returns all objects' documents by name.
    [[nodiscard]] const std::map<std::string, std::string>& objects() const noexcept
    {
        return this->current;
    }

    /// \brief Returns the document with a hash, among the objects and the changes that
    /// are kept; null without one.
    [[nodiscard]] const std::string*
    document_with_hash(std::uint64_t hash) const noexcept;

    /// \brief Returns the document of the only object; null unless there is just one.
    [[nodiscard]] const std::string* only_document() const noexcept;

    /// \brief Returns the position up to which all changes are known; zeros before a
    /// list.
    [[nodiscard]] store_position position() const noexcept { return this->known_until; }

  private:
    std::map<std::string, std::string> current;
    std::deque<object_change> recent;
    std::size_t recent_bytes = 0; ///< Of the documents in `recent`.
    std::uint64_t known_from = 0; ///< Changes after this revision are in `recent`.
    store_position known_until;
};

} // namespace agateseam
