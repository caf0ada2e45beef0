/// What a request holds at model servers, given back when it goes.
#pragma once

#include <memory>
#include <string>

#include <gateway/entry_state.hpp>

namespace agateseam
{

/// \brief What is held at a decode server for one request; given back when it goes.
class decode_place
{
  public:
    decode_place(engine_service& chosen, std::shared_ptr<const backend_server> at,
                 const stream_memory& stream)
        : engines(&chosen)
        , server(std::move(at))
        , ticket(this->engines->board.begin_decode(this->server->id, stream))
    {
    }

    ~decode_place()
    {
        this->engines->board.end_decode(this->server->id, this->ticket);
        this->engines->changed.notify();
    }

    decode_place(const decode_place&) = delete;
    decode_place& operator=(const decode_place&) = delete;

    [[nodiscard]] const backend_server& at() const noexcept { return *this->server; }

    void progress(std::int64_t made)
    {
        this->engines->board.record_progress(this->server->id, this->ticket, made);
    }

    std::string reservation;

  private:
    engine_service* engines;
    std::shared_ptr<const backend_server> server;
    decode_stream_id ticket;
};

/// \brief Tokens under way at a prefill server.
class prefill_load
{
  public:
    prefill_load(engine_service& chosen, const std::string& at, std::int64_t amount)
        : engines(&chosen)
        , id(at)
        , tokens(amount)
    {
        this->engines->board.begin_prefill(this->id, this->tokens);
    }

    ~prefill_load() { this->engines->board.end_prefill(this->id, this->tokens); }

    prefill_load(const prefill_load&) = delete;
    prefill_load& operator=(const prefill_load&) = delete;

  private:
    engine_service* engines;
    std::string id;
    std::int64_t tokens;
};

} // namespace agateseam
