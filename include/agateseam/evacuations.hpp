/// Which failure domains the operators have emptied.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/backend_directory.hpp>
#include <agateseam/clock.hpp>
#include <agateseam/keyed_map.hpp>
#include <agateseam/store_position.hpp>

namespace agateseam
{

/// \brief What an entry knows of one failure domain.
struct evacuation_report
{
    bool evacuated = false;
    store_position position; ///< Of that knowledge.

    friend bool operator==(const evacuation_report&, const evacuation_report&) = default;
};

/// \brief What an entry tells the others about evacuations.
struct evacuation_reports
{
    /// A domain that isn't in `domains` was not evacuated as of this position; no value
    /// if the entry knows no list.
    std::optional<store_position> listed;
    keyed_map<evacuation_report> domains;

    [[nodiscard]] bool empty() const noexcept
    {
        return !this->listed && this->domains.empty();
    }

    friend bool operator==(const evacuation_reports&,
                           const evacuation_reports&) = default;
};

/// \brief A failure domain that was evacuated or taken back into service.
struct evacuation_change
{
    name_key domain;
    std::string name; ///< Empty if only the key is known, from another entry.
    bool evacuated = false;
};

using evacuation_changes = std::vector<evacuation_change>;

/// \brief Keeps which failure domains are evacuated, as of which position of the store.
///
/// The higher position wins, whatever its source: a list, a watch, a relay or another
/// entry's digest. So messages may come late, repeatedly and in any order.
///
/// A restored store may lack evacuations that were written after its copy; operators
/// write them again. So a domain that was evacuated in an era before the latest list's
/// stays so until `backend_directory::outage_grace` after that era was first known here.
class evacuations
{
  public:
    /// \brief Handles a complete list from the store or a relay.
    /// \param position the list states that no other domain is evacuated as of it.
    /// \returns the domains that changed, as all methods that change the state.
    evacuation_changes replace(const std::vector<std::string>& domains,
                               store_position position, time_point now);

    /// \brief Handles one change from the store or a relay.
    evacuation_changes record(std::string_view domain, bool evacuated,
                              store_position position, time_point now);

    /// \brief Handles what another entry knows.
    evacuation_changes apply(const evacuation_reports& reports, time_point now);

    /// \brief Ends evacuations of an earlier era that the restored store lacks.
    evacuation_changes expire(time_point now);

    /// \brief Returns what other entries are told: the domains whose state doesn't follow
    /// from the list's position, and that position.
    [[nodiscard]] evacuation_reports make_reports() const;

    /// \brief Returns when the reports last changed in more than the list's position
    /// within an era.
    [[nodiscard]] time_point last_change() const noexcept { return this->changed_at; }

    /// \brief Tells whether a failure domain is evacuated.
    [[nodiscard]] bool contains(name_key domain) const;

    /// \brief Tells whether any list is known, so that other domains are in service.
    [[nodiscard]] bool is_known() const noexcept { return this->listed.has_value(); }

    /// \brief Returns when this entry learned that a domain is in service again; nothing
    /// if it is evacuated or never was.
    [[nodiscard]] std::optional<time_point> taken_back_at(name_key domain) const;

    /// \brief Returns the evacuated domains.
    [[nodiscard]] evacuation_changes evacuated() const;

  private:
    struct domain_state
    {
        std::string name; ///< Empty if only the key is known.
        bool evacuated = false;
        store_position position;
        std::optional<time_point> taken_back_at;
    };

    void advance_list(store_position position, time_point now);
    [[nodiscard]] bool in_restoration_grace(store_position position,
                                            time_point now) const;
    [[nodiscard]] bool is_superseded(store_position position, time_point now) const;
    [[nodiscard]] std::optional<store_position> position_of(name_key domain) const;
    void set(name_key domain, std::string_view name, const evacuation_report& report,
             time_point now, evacuation_changes& changes);

    keyed_map<domain_state> domains;
    std::optional<store_position> listed; ///< Of the latest list.
    time_point era_known_since{};         ///< When the era of `listed` was first known.
    time_point changed_at{};
};

} // namespace agateseam
