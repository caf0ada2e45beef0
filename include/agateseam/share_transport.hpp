/// The interface through which entries that share allowances call each other and use the
/// records in the store.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <agateseam/share_directory.hpp>
#include <agateseam/share_messages.hpp>

namespace agateseam
{

/// \brief A shard's home record with its version in the store.
struct stored_shard_home_record
{
    shard_home_record record;  ///< Its epoch is 0 when there is no record.
    std::uint64_t version = 0; ///< 0 when there is no record.
};

/// \brief Sends messages and uses the store; no call blocks.
///
/// \remarks Each callback is called once, perhaps before the call returns, perhaps on
/// another thread. A message may have arrived although its callback is told of a failure.
class share_transport
{
  public:
    using answer_callback = std::function<void(const std::optional<share_answer>&)>;
    using census_callback =
        std::function<void(const std::optional<share_census_answer>&)>;
    using read_callback = std::function<void(const result<stored_shard_home_record>&)>;
    using write_callback = std::function<void(const result<std::uint64_t>&)>;

    virtual ~share_transport() = default;

    /// \brief Sends a report to an entry.
    virtual void send_report(const std::string& vm, const share_report& report,
                             answer_callback done) = 0;

    /// \brief Asks an entry for the tokens that it holds.
    virtual void send_census(const std::string& vm, const share_census& census,
                             census_callback done) = 0;

    /// \brief Reads a shard's home record from the store.
    virtual void read_record(std::uint32_t shard, read_callback done) = 0;

    /// \brief Writes a shard's home record if the stored version is the expected one.
    /// \param done gets the new version.
    virtual void write_record(std::uint32_t shard, const shard_home_record& record,
                              std::uint64_t expected_version, write_callback done) = 0;
};

} // namespace agateseam
