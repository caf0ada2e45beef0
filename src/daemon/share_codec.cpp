#include <daemon/share_codec.hpp>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

json to_json(const share_account& account)
{
    return {{"workspace", account.workspace},
            {"granted", account.granted},
            {"delivered", account.delivered},
            {"returned", account.returned}};
}

share_account to_account(const json& source)
{
    share_account account;
    source.at("workspace").get_to(account.workspace);
    source.at("granted").get_to(account.granted);
    source.at("delivered").get_to(account.delivered);
    source.at("returned").get_to(account.returned);
    return account;
}

json to_json(const share_report_line& line)
{
    return {{"account", to_json(line.account)},
            {"waiting", line.waiting},
            {"wanted", line.wanted}};
}

share_report_line to_line(const json& source)
{
    share_report_line line;
    line.account = to_account(source.at("account"));
    source.at("waiting").get_to(line.waiting);
    source.at("wanted").get_to(line.wanted);
    return line;
}

json to_json(const share_grant& grant)
{
    return {
        {"workspace", grant.workspace}, {"granted", grant.granted},
        {"scarce", grant.scarce},       {"limit", grant.limit},
        {"level", grant.level},         {"retry_after_ns", grant.retry_after.count()}};
}

share_grant to_grant(const json& source)
{
    share_grant grant;
    source.at("workspace").get_to(grant.workspace);
    source.at("granted").get_to(grant.granted);
    source.at("scarce").get_to(grant.scarce);
    source.at("limit").get_to(grant.limit);
    source.at("level").get_to(grant.level);
    grant.retry_after = duration{source.at("retry_after_ns").get<duration::rep>()};
    return grant;
}

template <typename Message, typename Reader>
result<Message> parse(std::string_view text, Reader reader)
try
{
    return reader(json::parse(text));
}
catch (const json::exception& fault)
{
    return fail(error_code::invalid, "read share message", "", fault.what());
}

/// Converts a container to a JSON array.
template <typename Items>
json to_list(const Items& items)
{
    json list = json::array();
    for (const auto& item : items)
    {
        list.push_back(to_json(item));
    }
    return list;
}

std::string dump(const json& message)
{
    return message.dump(-1, ' ', true, json::error_handler_t::replace);
}

} // namespace

std::string to_text(const share_report& report)
{
    return dump({{"holder", report.holder},
                 {"incarnation", report.incarnation},
                 {"shard", report.shard},
                 {"epoch", report.epoch},
                 {"sequence", report.sequence},
                 {"lines", to_list(report.lines)}});
}

result<share_report> parse_share_report(std::string_view text)
{
    return parse<share_report>(text,
                               [](const json& source)
                               {
                                   share_report report;
                                   source.at("holder").get_to(report.holder);
                                   source.at("incarnation").get_to(report.incarnation);
                                   source.at("shard").get_to(report.shard);
                                   source.at("epoch").get_to(report.epoch);
                                   source.at("sequence").get_to(report.sequence);
                                   for (const json& item : source.at("lines"))
                                   {
                                       report.lines.push_back(to_line(item));
                                   }
                                   return report;
                               });
}

std::string to_text(const share_answer& answer)
{
    return dump({{"standing", static_cast<int>(answer.standing)},
                 {"shard", answer.shard},
                 {"epoch", answer.epoch},
                 {"sequence", answer.sequence},
                 {"home", answer.home},
                 {"grants", to_list(answer.grants)}});
}

result<share_answer> parse_share_answer(std::string_view text)
{
    return parse<share_answer>(text,
                               [](const json& source)
                               {
                                   share_answer answer;
                                   answer.standing = static_cast<share_standing>(
                                       source.at("standing").get<int>());
                                   source.at("shard").get_to(answer.shard);
                                   source.at("epoch").get_to(answer.epoch);
                                   source.at("sequence").get_to(answer.sequence);
                                   source.at("home").get_to(answer.home);
                                   for (const json& item : source.at("grants"))
                                   {
                                       answer.grants.push_back(to_grant(item));
                                   }
                                   return answer;
                               });
}

std::string to_text(const share_census& census)
{
    return dump(
        {{"shard", census.shard}, {"epoch", census.epoch}, {"home", census.home}});
}

result<share_census> parse_share_census(std::string_view text)
{
    return parse<share_census>(text,
                               [](const json& source)
                               {
                                   share_census census;
                                   source.at("shard").get_to(census.shard);
                                   source.at("epoch").get_to(census.epoch);
                                   source.at("home").get_to(census.home);
                                   return census;
                               });
}

std::string to_text(const share_census_answer& answer)
{
    return dump({{"holder", answer.holder},
                 {"incarnation", answer.incarnation},
                 {"shard", answer.shard},
                 {"epoch", answer.epoch},
                 {"accounts", to_list(answer.accounts)}});
}

result<share_census_answer> parse_share_census_answer(std::string_view text)
{
    return parse<share_census_answer>(
        text,
        [](const json& source)
        {
            share_census_answer answer;
            source.at("holder").get_to(answer.holder);
            source.at("incarnation").get_to(answer.incarnation);
            source.at("shard").get_to(answer.shard);
            source.at("epoch").get_to(answer.epoch);
            for (const json& item : source.at("accounts"))
            {
                answer.accounts.push_back(to_account(item));
            }
            return answer;
        });
}

} // namespace agateseam
