/// The answer of an entry to a caller of a model, either streamed chunk by chunk or
/// collected and sent as one body.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <agateseam/admission.hpp>
#include <daemon/api_error.hpp>
#include <daemon/model_request_parts.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief The answer to one caller, built from the chunks that an agent sends.
class caller_answer
{
  public:
    explicit caller_answer(std::shared_ptr<http_exchange> caller)
        : exchange(std::move(caller))
    {
    }

    /// \brief Sets the values that the answer's headers and body repeat.
    /// \param decision supplies the values of the rate-limit headers.
    void set_request(std::string request_id, const model_request_parts& request_parts,
                     const admission_decision& decision);

    /// \brief Sends a chunk of a streamed answer, or collects it for a whole answer.
    void add_chunk(std::string_view chunk);

    /// \brief Stores the token counts that the engine reported.
    void set_usage(std::string_view text);

    /// \brief Corrects the reported counts of an answer that several engines produced.
    void correct_usage(std::uint32_t delivered);

    /// \brief Completes the answer.
    void finish();

    /// \brief Answers with an error, or sends the error as an event and aborts the
    /// connection when the stream has begun.
    void refuse(const api_error& refused);

    /// \brief Tells whether a stream has begun or a whole answer has been handed over.
    [[nodiscard]] bool received() const noexcept
    {
        return this->streaming || this->answered;
    }

    /// \brief Tells whether a stream to the caller has begun.
    [[nodiscard]] bool stream_begun() const noexcept { return this->streaming; }

    /// \brief Returns the usage that the engine reported; null when it reported none.
    [[nodiscard]] const nlohmann::json& usage() const noexcept
    {
        return this->reported_usage;
    }

    /// \brief Returns the prompt tokens that the engine counted, or the estimate without
    /// a count.
    [[nodiscard]] std::uint64_t prompt_tokens() const;

  private:
    void begin_stream();
    void append_chunk(std::string_view chunk);
    void finish_stream();
    [[nodiscard]] std::vector<http_header>
    response_headers(std::string_view content_type) const;
    [[nodiscard]] std::string complete_body() const;

    std::shared_ptr<http_exchange> exchange;
    std::string id;
    model_request_parts parts;
    double limit_tokens = 0;
    double remaining_tokens = 0;
    bool streaming = false;
    bool answered = false; ///< A whole answer has been handed over.
    nlohmann::json reported_usage;
    std::string text;
    std::string finish_reason = "stop";
};

} // namespace agateseam
