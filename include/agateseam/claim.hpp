/// Claims on calls that may not be repeated: one idempotency key, at most one run.
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

/// Objects over which claims are spread by the hash of their key; the same on every
/// entry.
inline constexpr std::size_t claim_shard_count = 256;

/// \brief What became of a claimed call, as repeats of its key receive it.
struct call_outcome
{
    int status = 0;
    run_state run = run_state::unknown;
    std::string content_type;
    std::string body;
};

/// \brief The wish to run a call once.
struct claim_order
{
    std::string id;          ///< From `make_claim_id`.
    std::string owner;       ///< The request that wants to run; unique over the fleet.
    std::string fingerprint; ///< From `make_call_fingerprint`.
    wall_time now;
    wall_time deadline; ///< By then the run has ended or its outcome is lost.
    wall_time expiry;   ///< Until then repeats are answered from the claim.
};

/// What a claim came to.
enum class claim_verdict : std::uint8_t
{
    granted,  ///< The owner may run the call, once.
    running,  ///< Another request runs it now.
    lost,     ///< Another request may have run it; nobody knows its outcome.
    recorded, ///< It ran; the outcome is known.
    mismatch  ///< The key belongs to another call.
};

/// \brief The answer to a claim.
struct claim_answer
{
    claim_verdict verdict = claim_verdict::lost;
    call_outcome outcome; ///< Valid when recorded.
};

/// \brief The claims of one shard object.
///
/// \remarks Every change may be applied again by the same owner with the same result, so
/// that a write whose answer was lost is resolved by reading and applying once more.
class claim_shard
{
  public:
    /// \brief Reads a shard object's value; `internal` when it is malformed.
    [[nodiscard]] static result<claim_shard> parse(std::string_view text);

    /// \brief Returns the value to store.
    [[nodiscard]] std::string to_text() const;

    /// \brief Returns what a claim would come to; nothing when the call is not claimed.
    [[nodiscard]] std::optional<claim_answer> find(const claim_order& order) const;

    /// \brief Claims a call unless it is claimed already.
    [[nodiscard]] claim_answer claim(const claim_order& order);

    /// \brief Adds the outcome to a claim that the owner holds.
    /// \returns whether the owner holds it.
    bool record(std::string_view id, std::string_view owner, const call_outcome& outcome);

    /// \brief Gives up a claim that the owner holds, because the call was not run.
    void release(std::string_view id, std::string_view owner);

    /// \brief Drops the claims whose time is over.
    void expire(wall_time now);

    [[nodiscard]] std::size_t size() const noexcept { return this->claims.size(); }

  private:
    struct record_type
    {
        std::string owner;
        std::string fingerprint;
        wall_time deadline;
        wall_time expiry;
        std::optional<call_outcome> outcome;
    };

    std::map<std::string, record_type, std::less<>> claims;
};

/// \brief Returns the claim's name for a caller's key: a hash of workspace, route and
/// key.
[[nodiscard]] std::string make_claim_id(std::string_view workspace,
                                        std::string_view route, std::string_view key);

/// \brief Returns a hash that tells one call from another under the same key.
[[nodiscard]] std::string make_call_fingerprint(std::string_view method,
                                                std::string_view path,
                                                std::string_view body);

/// \brief Returns the shard of a claim, below `claim_shard_count`.
[[nodiscard]] std::size_t claim_shard_of(std::string_view id) noexcept;

} // namespace agateseam
