/// What the sharing of allowances needs from the outside: calls between entries, and the
/// records of the store.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <agateseam/share_directory.hpp>
#include <agateseam/share_messages.hpp>

namespace agateseam
{

/// \brief A shard's record with its version in the store.
struct stored_share_record
{
    share_record record;       ///< Epoch 0 when there is none.
    std::uint64_t version = 0; ///< 0 when there is none.
};

/// \brief Carries messages; no call blocks.
///
/// \remarks Each callback is called once, perhaps before the call returns, perhaps on
/// another thread. A message may arrive although its callback hears of a failure.
class share_transport
{
  public:
    using answer_callback = std::function<void(const std::optional<share_answer>&)>;
    using census_callback =
        std::function<void(const std::optional<share_census_answer>&)>;
    using read_callback = std::function<void(const result<stored_share_record>&)>;
    using write_callback = std::function<void(const result<std::uint64_t>&)>;

    virtual ~share_transport() = default;

    /// \brief Sends a report to an entry.
    virtual void send(const std::string& vm, const share_report& report,
                      answer_callback done) = 0;

    /// \brief Asks an entry what it holds.
    virtual void send(const std::string& vm, const share_census& census,
                      census_callback done) = 0;

    /// \brief Reads a shard's record from the store.
    virtual void read(std::uint32_t shard, read_callback done) = 0;

    /// \brief Writes a shard's record on the condition of a version.
    virtual void write(std::uint32_t shard, const share_record& record,
                       std::uint64_t expected_version, write_callback done) = 0;
};

} // namespace agateseam
