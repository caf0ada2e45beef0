/// Runs the prefill of a request's prompt at a prefill server.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gateway/request_scope.hpp>

namespace agateseam
{

/// \brief Tries prefill servers for one request until its prompt is prefilled.
class prompt_prefiller
{
  public:
    explicit prompt_prefiller(request_scope& request);

    /// \brief Has the prompt prefilled.
    /// \returns "IP:port/handle" of the KV cache, or an empty text if no server did it.
    /// The decode server then processes the prompt itself, more slowly.
    /// \param version the only one that may be used, if the stream has begun.
    task<std::string> run(std::optional<std::int64_t> last_event_number,
                          std::optional<name_key> version);

    /// \brief Lets `run` end without a result, because the prompt isn't needed any more.
    /// The call in progress has to be ended by the caller.
    void cancel() noexcept { this->is_cancelled = true; }

    /// \brief Returns the server that holds the prompt's KV cache, or null.
    [[nodiscard]] std::shared_ptr<const backend_server> kv_server() const
    {
        return this->server;
    }

  private:
    [[nodiscard]] std::shared_ptr<const backend_server>
    choose(const std::vector<std::string>& tried, std::optional<name_key> version) const;
    /// Takes a repeat for the case that the call is refused, and the decode after it is
    /// the second arrival. Without one, the decode server reads the prompt itself.
    [[nodiscard]] bool may_call_server();
    task<std::string> prefill_on(std::shared_ptr<const backend_server> candidate,
                                 std::optional<std::int64_t> last_event_number);

    request_scope* scope;
    entry_state* state;
    engine_service* engines;
    std::shared_ptr<const backend_server> server;
    bool is_cancelled = false;
};

} // namespace agateseam
