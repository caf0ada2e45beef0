/// The numbered configuration that operators change by patches: typed, checked whole.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief One key of a workspace, as kept: never the secret itself.
struct key_record
{
    std::string id;   ///< The public part of the key.
    std::string salt; ///< Hexadecimal digits.
    std::string hash; ///< SHA-256 of salt and secret, hexadecimal digits.
};

/// \brief A workspace: one organisation's account.
struct workspace_config
{
    double rate = 0;   ///< Tokens per second over the whole fleet.
    double burst = 0;  ///< Tokens.
    double weight = 1; ///< Share of a contended backend server against other workspaces.
    std::vector<key_record> keys;
    std::vector<std::string> pools; ///< Pools it may use; empty means all.
};

/// \brief A pool of backend servers.
struct pool_config
{
    std::string model; ///< The model it serves; empty for plain services.
};

/// \brief A path prefix that leads to a pool of plain services.
struct route_config
{
    std::string prefix; ///< Such as "/booking/".
    std::string pool;
    bool repeatable = false; ///< Whether a call may be sent twice.
    bool open = false;       ///< Whether no key is asked for.
};

/// \brief Prices of a pool, in the configuration's currency per million tokens.
struct price_config
{
    double prompt = 0;
    double cached = 0;
    double output = 0;
};

/// \brief What placement weighs against what.
struct policy_config
{
    double cache_weight = 1;         ///< Seconds of prefill saved count this much.
    double domain_weight = 1;        ///< Seconds of transfer across failure domains.
    double load_weight = 1;          ///< Seconds of waiting.
    double first_token_limit = 0.62; ///< Seconds.
    double token_gap_limit = 0.039;  ///< Seconds.
    std::string withdrawn_streams = "finish"; ///< "finish" or "cut".
    double claim_retention = 3'600; ///< Seconds for which a repeat gets the outcome.
};

/// \brief One version of the configuration; immutable once made.
struct configuration
{
    std::uint64_t number = 0; ///< Rises by one with each accepted patch.
    std::map<std::string, workspace_config, std::less<>> workspaces;
    std::map<std::string, pool_config, std::less<>> pools;
    std::map<std::string, route_config, std::less<>> routes;
    std::map<std::string, price_config, std::less<>> prices; ///< By pool.
    policy_config policy;

    /// \brief Checks a document whole and makes a configuration of it.
    /// \param document JSON text of the document, without the number.
    /// \returns `invalid` with every fault and its path, a line each.
    [[nodiscard]] static result<configuration> parse(std::string_view document,
                                                     std::uint64_t number);
};

} // namespace agateseam
