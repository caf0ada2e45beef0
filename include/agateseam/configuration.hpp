/// The numbered configuration that operators change by patches, as typed values that are
/// validated together.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief One API key of a workspace as it is stored, without the secret itself.
struct key_record
{
    std::string id;   ///< The public part of the key.
    std::string salt; ///< Hexadecimal digits.
    std::string hash; ///< SHA-256 of salt and secret, hexadecimal digits.
};

/// \brief The settings of a workspace, which is one organisation's account.
struct workspace_config
{
    double rate = 0;   ///< Tokens per second, over the whole fleet.
    double burst = 0;  ///< Tokens.
    double weight = 1; ///< Share of a contended backend server, relative to others.
    std::vector<key_record> keys;
    std::vector<std::string> pools; ///< Pools that it may use; empty means all.
};

/// \brief The settings of a pool of backend servers.
struct pool_config
{
    std::string model; ///< The model that it serves; empty for plain services.
};

/// \brief A route from a path prefix to a pool of plain services.
struct route_config
{
    std::string prefix; ///< Such as "/booking/".
    std::string pool;
    bool repeatable = false; ///< Whether a call may be executed more than once.
    bool open = false;       ///< Whether callers need no key.
};

/// \brief Prices of a pool, in the configuration's currency per million tokens.
struct price_config
{
    double prompt = 0;
    double cached = 0;
    double output = 0;
};

/// \brief Weights and limits of placement, and further rules that operators set.
struct policy_config
{
    double cache_weight = 1;  ///< Weight of each second of prefill saved.
    double domain_weight = 1; ///< Weight of each second of transfer between domains.
    double load_weight = 1;   ///< Weight of each second of waiting.
    double first_token_limit = 0.62; ///< Seconds to the first token.
    double token_gap_limit = 0.039;  ///< Seconds between tokens.
    /// Whether open streams of a withdrawn key "finish" or are "cut".
    std::string withdrawn_streams = "finish";
    /// Seconds for which a repeat gets the first outcome.
    double claim_retention = 3'600;
};

/// \brief One version of the configuration; immutable once parsed.
struct configuration
{
    std::uint64_t number = 0; ///< Rises by one with each accepted patch.
    std::map<std::string, workspace_config, std::less<>> workspaces;
    std::map<std::string, pool_config, std::less<>> pools;
    std::map<std::string, route_config, std::less<>> routes;
    std::map<std::string, price_config, std::less<>> prices; ///< By name of the pool.
    policy_config policy;

    /// \brief Validates a whole document and converts it to a configuration.
    /// \param document the JSON text, which does not hold the number.
    /// \returns `invalid` with all errors, each on a line with its path.
    [[nodiscard]] static result<configuration> parse(std::string_view document,
                                                     std::uint64_t number);
};

} // namespace agateseam
