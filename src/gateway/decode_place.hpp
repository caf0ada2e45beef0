/// RAII guards for what a request occupies at model servers.
#pragma once

#include <memory>
#include <string>

#include <gateway/entry_state.hpp>

namespace agateseam
{

/// \brief Records one request's stream at a decode server until it is destroyed.
class decode_place
{
  public:
    decode_place(engine_service& service,
                 std::shared_ptr<const backend_server> used_server,
                 const stream_memory& stream)
        : engines(&service)
        , server(std::move(used_server))
        , stream_id(this->engines->placement.begin_decode(this->server->id, stream))
    {
    }

    ~decode_place()
    {
        this->engines->placement.end_decode(this->server->id, this->stream_id);
        this->engines->capacity_changed.notify();
    }

    decode_place(const decode_place&) = delete;
    decode_place& operator=(const decode_place&) = delete;

    [[nodiscard]] const backend_server& chosen_server() const noexcept
    {
        return *this->server;
    }

    void record_progress(std::int64_t output_tokens)
    {
        this->engines->placement.record_progress(this->server->id, this->stream_id,
                                                 output_tokens);
    }

    std::string reservation;
    bool has_send = false; ///< A request was taken from the server's limit.

  private:
    engine_service* engines;
    std::shared_ptr<const backend_server> server;
    decode_stream_id stream_id;
};

/// \brief Records prompt tokens in progress at a prefill server until it is destroyed.
class prefill_load
{
  public:
    prefill_load(engine_service& service, const std::string& used_server,
                 std::int64_t prompt_tokens)
        : engines(&service)
        , server_id(used_server)
        , tokens(prompt_tokens)
    {
        this->engines->placement.begin_prefill(this->server_id, this->tokens);
    }

    ~prefill_load()
    {
        this->engines->placement.end_prefill(this->server_id, this->tokens);
    }

    prefill_load(const prefill_load&) = delete;
    prefill_load& operator=(const prefill_load&) = delete;

  private:
    engine_service* engines;
    std::string server_id;
    std::int64_t tokens;
};

} // namespace agateseam
