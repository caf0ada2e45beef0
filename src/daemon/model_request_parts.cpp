#include <daemon/model_request_parts.hpp>

#include <algorithm>
#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t max_nesting_depth = 64;
constexpr std::size_t message_overhead_bytes = 2;
constexpr std::size_t root_depth = 1;
constexpr std::size_t messages_depth = 2;
constexpr std::size_t message_depth = 3;

/// Members of the root object that are read here or that callers must not set.
enum class member_name : std::uint8_t
{
    other,
    model,
    prompt,
    messages,
    stream,
    stream_options,
    max_tokens,
    choice_count,
    reserved
};

struct named_member
{
    std::string_view text;
    member_name name;
};

constexpr std::array<named_member, 10> known_members{{
    {"model", member_name::model},
    {"prompt", member_name::prompt},
    {"messages", member_name::messages},
    {"stream", member_name::stream},
    {"stream_options", member_name::stream_options},
    {"max_tokens", member_name::max_tokens},
    {"max_completion_tokens", member_name::max_tokens},
    {"n", member_name::choice_count},
    {"kv_transfer_params", member_name::reserved},
    {"resume_from", member_name::reserved},
}};

member_name find_member(std::string_view text) noexcept
{
    for (const named_member& known : known_members)
    {
        if (known.text == text)
        {
            return known.name;
        }
    }
    return member_name::other;
}

/// SAX handler for the body. A function that returns false stops the parser after it has
/// stored a description in `fault`.
class request_reader final : public json::json_sax_t
{
  public:
    request_reader(bool chat, const limit_settings& request_limits)
        : limits(&request_limits)
    {
        this->parts.chat = chat;
        this->parts.output_tokens = request_limits.max_output_tokens;
    }

    bool null() override { return this->accept_scalar(json::value_t::null); }

    bool boolean(bool value) override
    {
        if (this->at_root(member_name::stream))
        {
            this->parts.stream = value;
            return true;
        }
        if (this->member == member_name::stream_options &&
            this->depth == messages_depth && this->nested_key == "include_usage")
        {
            this->parts.include_usage = value;
            return true;
        }
        return this->accept_scalar(json::value_t::boolean);
    }

    bool number_integer(number_integer_t) override
    {
        return this->accept_scalar(json::value_t::number_integer);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        if (this->at_root(member_name::max_tokens) && value > 0)
        {
            this->parts.output_tokens = static_cast<std::uint32_t>(
                std::min<std::uint64_t>(value, this->limits->max_output_tokens));
            return true;
        }
        if (this->at_root(member_name::choice_count) && value == 1)
        {
            return true;
        }
        return this->accept_scalar(json::value_t::number_unsigned);
    }

    bool number_float(number_float_t, const string_t&) override
    {
        return this->accept_scalar(json::value_t::number_float);
    }

    bool string(string_t& value) override
    {
        if (this->at_root(member_name::model))
        {
            this->parts.model = std::move(value);
            return true;
        }
        const bool is_prompt_text =
            this->at_root(member_name::prompt) ||
            (this->member == member_name::messages && this->depth >= message_depth);
        if (is_prompt_text)
        {
            this->prompt_bytes += value.size();
            return true;
        }
        return this->accept_scalar(json::value_t::string);
    }

    bool binary(binary_t&) override { return this->accept_scalar(json::value_t::binary); }

    bool start_object(std::size_t) override
    {
        const bool message =
            this->member == member_name::messages && this->depth == messages_depth;
        this->prompt_bytes += message ? message_overhead_bytes : 0;
        this->role_seen = false;
        return this->open(json::value_t::object);
    }

    bool key(string_t& name) override
    {
        if (this->depth == root_depth)
        {
            this->member = find_member(name);
            return this->check_member(name);
        }
        this->nested_key = std::move(name);
        this->role_seen = this->role_seen ||
                          (this->depth == message_depth && this->nested_key == "role");
        return true;
    }

    bool end_object() override
    {
        const bool message =
            this->member == member_name::messages && this->depth == message_depth;
        if (message && !this->role_seen)
        {
            return this->refuse("each message must have a role");
        }
        return this->close();
    }

    bool start_array(std::size_t) override { return this->open(json::value_t::array); }
    bool end_array() override { return this->close(); }

    bool parse_error(std::size_t, const std::string&, const json::exception&) override
    {
        return this->refuse("the body is not a JSON object");
    }

    /// Checks that the required members were present, and returns the parts.
    [[nodiscard]] result<model_request_parts> finish()
    {
        if (this->fault.empty() && !this->seen(member_name::model))
        {
            this->fault = "model must be a string";
        }
        const auto required_member =
            this->parts.chat ? member_name::messages : member_name::prompt;
        if (this->fault.empty() && !this->seen(required_member))
        {
            this->fault = this->parts.chat ? "messages must be a list of messages"
                                           : "prompt must be a string";
        }
        if (!this->fault.empty())
        {
            return fail(error_code::invalid, "read request", "", this->fault);
        }
        this->parts.prompt_tokens =
            static_cast<std::uint32_t>(this->prompt_bytes / bytes_per_token + 1);
        return std::move(this->parts);
    }

  private:
    [[nodiscard]] bool at_root(member_name name) const noexcept
    {
        return this->depth == root_depth && this->member == name;
    }

    [[nodiscard]] bool seen(member_name name) const noexcept
    {
        return (this->seen_members & (1U << static_cast<unsigned>(name))) != 0;
    }

    bool refuse(std::string_view description)
    {
        if (this->fault.empty())
        {
            this->fault = description;
        }
        return false;
    }

    bool check_member(std::string_view name)
    {
        if (this->member == member_name::other)
        {
            return true;
        }
        if (this->member == member_name::reserved)
        {
            return this->refuse(std::string(name) + " is not for callers");
        }
        if (this->seen(this->member))
        {
            return this->refuse(std::string(name) + " is there twice");
        }
        this->seen_members |= 1U << static_cast<unsigned>(this->member);
        return true;
    }

    /// Checks a value that none of the handlers above has consumed.
    bool accept_scalar(json::value_t type)
    {
        if (this->depth == 0)
        {
            return this->refuse("the body is not a JSON object");
        }
        if (this->depth == root_depth)
        {
            return this->accept_scalar_at_root(type);
        }
        if (this->member == member_name::messages)
        {
            return this->accept_scalar_in_message(type);
        }
        return true;
    }

    bool accept_scalar_at_root(json::value_t type)
    {
        switch (this->member)
        {
        case member_name::model:
            return this->refuse("model must be a string");
        case member_name::prompt:
            return this->refuse("prompt must be a string");
        case member_name::messages:
            return this->refuse("messages must be a list of messages");
        case member_name::stream:
            return this->refuse("stream must be true or false");
        case member_name::stream_options:
            return type == json::value_t::null ||
                   this->refuse("stream_options must be an object");
        case member_name::max_tokens:
            return this->refuse("max_tokens must be a whole number above 0");
        case member_name::choice_count:
            return this->refuse("n must be 1");
        default:
            return true;
        }
    }

    bool accept_scalar_in_message(json::value_t type)
    {
        if (this->depth == messages_depth)
        {
            return this->refuse("each message must be an object");
        }
        const bool text = this->nested_key == "role" ||
                          (this->nested_key == "content" && type != json::value_t::null);
        if (this->depth == message_depth && text)
        {
            return this->refuse("a message's " + this->nested_key + " must be a string");
        }
        return true;
    }

    bool open(json::value_t type)
    {
        const bool object = type == json::value_t::object;
        const bool messages = this->at_root(member_name::messages) && !object;
        const bool options = this->at_root(member_name::stream_options) && object;
        if (this->depth == 0 && !object)
        {
            return this->refuse("the body is not a JSON object");
        }
        if (this->depth == root_depth && !messages && !options &&
            !this->accept_scalar_at_root(type))
        {
            return false;
        }
        const bool in_list =
            this->member == member_name::messages && this->depth == messages_depth;
        const bool in_message =
            this->member == member_name::messages && this->depth == message_depth &&
            (this->nested_key == "role" || this->nested_key == "content");
        if ((in_list && !object) || in_message)
        {
            return this->accept_scalar_in_message(type);
        }
        if (++this->depth > max_nesting_depth)
        {
            return this->refuse("the body nests too deep");
        }
        return true;
    }

    bool close()
    {
        --this->depth;
        return true;
    }

    const limit_settings* limits;
    model_request_parts parts;
    std::size_t prompt_bytes = 0;
    std::size_t depth = 0;
    member_name member = member_name::other;
    std::string nested_key; ///< The last key read below the root object.
    bool role_seen = false;
    std::uint32_t seen_members = 0; ///< One bit for each member_name.
    std::string fault;
};

} // namespace

result<model_request_parts> read_model_request(const http_request& request,
                                               const limit_settings& limits)
{
    request_reader reader(request.path == "/v1/chat/completions", limits);
    (void)json::sax_parse(request.body, &reader);
    return reader.finish();
}

} // namespace agateseam
