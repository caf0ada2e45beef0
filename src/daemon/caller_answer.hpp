/// The answer that an entry gives a caller of a model: streamed as it comes, or gathered
/// and given whole.
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

/// \brief One caller's answer, put together from an agent's chunks.
class caller_answer
{
  public:
    explicit caller_answer(std::shared_ptr<http_exchange> caller)
        : exchange(std::move(caller))
    {
    }

    /// \brief Sets what the answer's head and body name.
    /// \param decided the admission, for the rate-limit headers.
    void describe(std::string request_id, const model_request_parts& asked,
                  const admission_decision& decided);

    /// \brief Hands on a chunk, or keeps it until the end.
    void pass(std::string_view chunk);

    /// \brief Takes the engine's own count of tokens.
    void take_usage(std::string_view text);

    /// \brief Corrects the count of an answer that more than one engine produced.
    void complete_usage(std::uint32_t delivered);

    /// \brief Ends the answer whole.
    void finish();

    /// \brief Ends with a refusal, or by cutting a stream that the caller already reads.
    void refuse(const api_error& refused);

    /// \brief Tells whether the caller has received a part of the answer, or all of it.
    [[nodiscard]] bool received() const noexcept
    {
        return this->streaming || this->answered;
    }

    /// \brief Tells whether the caller reads a stream already.
    [[nodiscard]] bool begun() const noexcept { return this->streaming; }

    /// \brief Returns the engine's count; null when it gave none.
    [[nodiscard]] const nlohmann::json& usage() const noexcept { return this->counted; }

    /// \brief Returns the prompt's tokens by the engine's count, or else the estimate.
    [[nodiscard]] std::uint64_t prompt_tokens() const;

  private:
    void begin_stream();
    void gather(std::string_view chunk);
    void finish_stream();
    [[nodiscard]] std::vector<http_header> head(std::string_view content_type) const;
    [[nodiscard]] std::string whole() const;

    std::shared_ptr<http_exchange> exchange;
    std::string id;
    model_request_parts parts;
    double limit = 0;
    double remaining = 0;
    bool streaming = false;
    bool answered = false; ///< A whole answer has been handed over.
    nlohmann::json counted;
    std::string text;
    std::string finish_reason = "stop";
};

} // namespace agateseam
