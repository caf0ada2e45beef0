/// Idempotency claims on calls that must not be repeated: each idempotency key allows at
/// most one run.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/request.hpp>

namespace agateseam
{

/// Number of stored objects over which claims are spread by the hash of their id. It must
/// be the same on every entry.
inline constexpr std::size_t claim_shard_count = 256;

/// \brief The result of a claimed call, which repeats with the same key receive.
struct call_outcome
{
    int status = 0; ///< HTTP status.
    run_state run = run_state::unknown;
    std::string content_type;
    std::string body;
};

/// \brief A request for the right to run a call once.
struct claim_request
{
    std::string id;          ///< From `make_claim_id`.
    std::string owner;       ///< Id of the request that wants to run; fleet-wide unique.
    std::string fingerprint; ///< From `make_call_fingerprint`.
    wall_time now;
    wall_time deadline; ///< After it a run without a recorded outcome counts as lost.
    wall_time expiry;   ///< Until then repeats are answered from the claim.
};

/// The status of a claim, as seen by a request for it.
enum class claim_status : std::uint8_t
{
    granted,         ///< The owner may run the call, once.
    running,         ///< Another request runs the call now.
    outcome_unknown, ///< Another request may have run the call; no outcome was recorded.
    recorded,        ///< The call ran and its outcome is known.
    mismatch         ///< The key was used for a different call.
};

/// \brief The answer to a claim request.
struct claim_answer
{
    claim_status status = claim_status::outcome_unknown;
    call_outcome outcome; ///< Set only if the status is `recorded`.
};

/// \brief The claims that one stored object holds.
///
/// \remarks The same owner may apply each change again with the same result. So a write
/// whose answer was lost is resolved by reading the object and applying the change again.
class claim_shard
{
  public:
    /// \brief Parses the value of a shard object; `internal` when it is malformed.
    [[nodiscard]] static result<claim_shard> parse(std::string_view text);

    /// \brief Returns the value to store.
    [[nodiscard]] std::string to_text() const;

    /// \brief Returns the answer to a request without claiming; empty if nobody has
    /// claimed the call.
    [[nodiscard]] std::optional<claim_answer> find(const claim_request& request) const;

    /// \brief Claims a call unless it is claimed already.
    [[nodiscard]] claim_answer claim(const claim_request& request);

    /// \brief Adds the outcome to a claim that the owner holds.
    /// \returns whether the owner holds it.
    bool record(std::string_view id, std::string_view owner, const call_outcome& outcome);

    /// \brief Removes a claim without an outcome that the owner holds, because the call
    /// was not run.
    void release(std::string_view id, std::string_view owner);

    /// \brief Removes the claims whose expiry has passed.
    void remove_expired(wall_time now);

    [[nodiscard]] std::size_t size() const noexcept { return this->claims.size(); }

  private:
    struct claim_record
    {
        std::string owner;
        std::string fingerprint;
        wall_time deadline;
        wall_time expiry;
        std::optional<call_outcome> outcome;
    };

    std::map<std::string, claim_record, std::less<>> claims;
};

/// \brief Returns the id of a claim: a hash of workspace, route and the caller's key.
[[nodiscard]] std::string make_claim_id(std::string_view workspace,
                                        std::string_view route, std::string_view key);

/// \brief Returns a hash that distinguishes different calls with the same key.
[[nodiscard]] std::string make_call_fingerprint(std::string_view method,
                                                std::string_view path,
                                                std::string_view body);

/// \brief Returns the shard number of a claim, below `claim_shard_count`.
[[nodiscard]] std::size_t claim_shard_index(std::string_view id) noexcept;

} // namespace agateseam
