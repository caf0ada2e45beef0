#include <agateseam/server_pacer.hpp>

namespace agateseam
{

std::string_view to_string(return_cause cause) noexcept
{
    switch (cause)
    {
    case return_cause::started:
        return "started";
    case return_cause::cold:
        return "cold";
    case return_cause::taken_back:
        return "taken_back";
    case return_cause::recovered:
        return "recovered";
    case return_cause::crashed:
        return "crashed";
    case return_cause::rested:
        break;
    }
    return "rested";
}

bool server_pacer::begin_return(name_key /*server*/, return_cause /*cause*/,
                                double /*capacity_per_second*/,
                                duration /*peers_latency*/, time_point /*now*/)
{
    return false;
}

void server_pacer::record_answer(name_key /*server*/, server_observation /*observation*/,
                                 duration /*latency*/, duration /*peers_latency*/,
                                 time_point /*now*/)
{
}

std::optional<double> server_pacer::pace(name_key /*server*/, time_point /*now*/)
{
    return std::nullopt;
}

std::vector<pace_step> server_pacer::take_steps(time_point /*now*/)
{
    return {};
}

std::size_t server_pacer::returning_count() const noexcept
{
    return 0;
}

void server_pacer::apply(const std::string& /*entry*/, std::uint64_t /*incarnation*/,
                         const keyed_map<server_return_report>& /*reports*/,
                         time_point /*now*/)
{
}

keyed_map<server_return_report>
server_pacer::make_reports(std::optional<time_point> /*since*/, time_point /*now*/)
{
    return {};
}

} // namespace agateseam
