#include <agateseam/evacuations.hpp>

#include <set>

namespace agateseam
{

evacuation_changes evacuations::replace(const std::vector<std::string>& names,
                                        store_position position, time_point now)
{
    evacuation_changes changes;
    this->advance_list(position, now);
    std::set<name_key> named;
    for (const std::string& name : names)
    {
        named.insert(name);
        for (evacuation_change& change : this->record(name, true, position, now))
        {
            changes.push_back(std::move(change));
        }
    }
    for (const auto& [domain, state] : this->domains)
    {
        // A watch that breaks may have missed a removal that its position covers, so the
        // list wins at the same position.
        if (state.evacuated && !named.contains(domain) && !(position < state.position) &&
            !this->in_restoration_grace(state.position, now))
        {
            this->set(domain, "", {false, position}, now, changes);
        }
    }
    return changes;
}

evacuation_changes evacuations::record(std::string_view domain, bool evacuated,
                                       store_position position, time_point now)
{
    evacuation_changes changes;
    const auto known_at = this->position_of(domain);
    if (!domain.empty() && !this->is_superseded(position, now) &&
        !(known_at && position < *known_at))
    {
        this->set(domain, domain, {evacuated, position}, now, changes);
    }
    return changes;
}

evacuation_changes evacuations::apply(const evacuation_reports& reports, time_point now)
{
    evacuation_changes changes;
    if (reports.listed)
    {
        this->advance_list(*reports.listed, now);
        for (const auto& [domain, state] : this->domains)
        {
            if (state.evacuated && state.position < *reports.listed &&
                !reports.domains.contains(domain) &&
                !this->in_restoration_grace(state.position, now))
            {
                this->set(domain, "", {false, *reports.listed}, now, changes);
            }
        }
    }
    for (const auto& [domain, report] : reports.domains)
    {
        // A report at the same position doesn't win, since two entries that disagreed
        // there would exchange their states forever.
        const auto known_at = this->position_of(domain);
        if (!this->is_superseded(report.position, now) &&
            (!known_at || *known_at < report.position))
        {
            this->set(domain, "", report, now, changes);
        }
    }
    return changes;
}

evacuation_changes evacuations::expire(time_point now)
{
    evacuation_changes changes;
    for (const auto& [domain, state] : this->domains)
    {
        if (state.evacuated && this->listed && state.position.era < this->listed->era &&
            !this->in_restoration_grace(state.position, now))
        {
            this->set(domain, "", {false, *this->listed}, now, changes);
        }
    }
    return changes;
}

evacuation_reports evacuations::make_reports() const
{
    evacuation_reports reports;
    reports.listed = this->listed;
    for (const auto& [domain, state] : this->domains)
    {
        if (state.evacuated || !this->listed || *this->listed < state.position)
        {
            reports.domains.emplace_hint(
                reports.domains.end(), domain,
                evacuation_report{state.evacuated, state.position});
        }
    }
    return reports;
}

bool evacuations::contains(name_key domain) const
{
    const auto known = this->domains.find(domain);
    return known != this->domains.end() && known->second.evacuated;
}

std::optional<time_point> evacuations::taken_back_at(name_key domain) const
{
    const auto known = this->domains.find(domain);
    return known == this->domains.end() ? std::nullopt : known->second.taken_back_at;
}

evacuation_changes evacuations::evacuated() const
{
    evacuation_changes found;
    for (const auto& [domain, state] : this->domains)
    {
        if (state.evacuated)
        {
            found.push_back({domain, state.name, true});
        }
    }
    return found;
}

void evacuations::advance_list(store_position position, time_point now)
{
    if (this->listed && !(*this->listed < position))
    {
        return;
    }
    if (!this->listed || this->listed->era < position.era)
    {
        this->era_known_since = now;
        this->changed_at = now;
    }
    this->listed = position;
}

/// Tells whether an evacuation as of a position of an earlier era holds although the
/// latest list doesn't name it.
bool evacuations::in_restoration_grace(store_position position, time_point now) const
{
    return this->listed && position.era < this->listed->era &&
           now - this->era_known_since < duration(backend_directory::outage_grace);
}

/// Tells whether the latest list says more about any domain.
bool evacuations::is_superseded(store_position position, time_point now) const
{
    return this->listed && position < *this->listed &&
           !this->in_restoration_grace(position, now);
}

std::optional<store_position> evacuations::position_of(name_key domain) const
{
    const auto known = this->domains.find(domain);
    return known == this->domains.end() ? std::nullopt
                                        : std::optional(known->second.position);
}

void evacuations::set(name_key domain, std::string_view name,
                      const evacuation_report& report, time_point now,
                      evacuation_changes& changes)
{
    domain_state& state = this->domains[domain];
    if (!name.empty())
    {
        state.name = name;
    }
    state.position = report.position;
    if (state.evacuated == report.evacuated)
    {
        return;
    }
    state.evacuated = report.evacuated;
    state.taken_back_at = report.evacuated ? std::nullopt : std::optional(now);
    this->changed_at = now;
    changes.push_back({domain, state.name, report.evacuated});
}

} // namespace agateseam
