#include <agateseam/impl/document_reader.hpp>

#include <algorithm>

namespace agateseam::impl
{

namespace
{

const nlohmann::json empty_object = nlohmann::json::object();
const nlohmann::json empty_list = nlohmann::json::array();

template <typename Number>
std::string range_error(Number minimum, Number maximum)
{
    return "must be from " + nlohmann::json(minimum).dump() + " to " +
           nlohmann::json(maximum).dump();
}

} // namespace

std::string join_errors(const document_errors& errors)
{
    std::string text;
    for (const document_error& item : errors)
    {
        text += (text.empty() ? "" : "\n") + item.path + ": " + item.description;
    }
    return text;
}

section_reader::section_reader(const nlohmann::json& object_source,
                               std::string object_path, document_errors& found_errors)
    : source(&object_source)
    , path(std::move(object_path))
    , errors(&found_errors)
{
    if (!object_source.is_object())
    {
        this->errors->push_back(
            {this->path.empty() ? "/" : this->path, "must be an object"});
        this->source = &empty_object;
    }
}

section_reader::~section_reader()
{
    for (const auto& [key, value] : this->source->items())
    {
        if (!this->read_keys.contains(key))
        {
            this->add_error(key, "is not a known key");
        }
    }
}

std::string section_reader::path_of(std::string_view key) const
{
    return this->path + "/" + std::string(key);
}

void section_reader::add_error(std::string_view key, std::string description)
{
    this->errors->push_back({this->path_of(key), std::move(description)});
}

const nlohmann::json* section_reader::find(std::string_view key, bool required)
{
    this->read_keys.emplace(key);
    const auto found = this->source->find(std::string(key));
    if (found != this->source->end())
    {
        return &*found;
    }
    if (required)
    {
        this->add_error(key, "is missing");
    }
    return nullptr;
}

bool section_reader::has(std::string_view key)
{
    return this->find(key, false) != nullptr;
}

std::string section_reader::text(std::string_view key,
                                 std::optional<std::string_view> fallback)
{
    const nlohmann::json* value = this->find(key, !fallback);
    if (value == nullptr)
    {
        return std::string(fallback.value_or(""));
    }
    if (!value->is_string())
    {
        this->add_error(key, "must be a string");
        return {};
    }
    return value->get<std::string>();
}

std::string section_reader::one_of(std::string_view key,
                                   const std::vector<std::string_view>& words,
                                   std::optional<std::string_view> fallback)
{
    std::string value = this->text(key, fallback);
    if (this->has(key) && std::find(words.begin(), words.end(), value) == words.end())
    {
        std::string allowed;
        for (const std::string_view word : words)
        {
            allowed += (allowed.empty() ? "" : ", ") + std::string(word);
        }
        this->add_error(key, "must be one of: " + allowed);
    }
    return value;
}

std::int64_t section_reader::integer(std::string_view key, std::int64_t minimum,
                                     std::int64_t maximum,
                                     std::optional<std::int64_t> fallback)
{
    const nlohmann::json* value = this->find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(minimum);
    }
    const bool fits_int64 = value->is_number_integer() &&
                            (!value->is_number_unsigned() ||
                             value->get<std::uint64_t>() <=
                                 std::uint64_t{std::numeric_limits<std::int64_t>::max()});
    if (!fits_int64)
    {
        this->add_error(key, "must be a whole number");
        return minimum;
    }
    const auto number_value = value->get<std::int64_t>();
    if (number_value < minimum || number_value > maximum)
    {
        this->add_error(key, range_error(minimum, maximum));
        return minimum;
    }
    return number_value;
}

double section_reader::number(std::string_view key, double minimum, double maximum,
                              std::optional<double> fallback)
{
    const nlohmann::json* value = this->find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(minimum);
    }
    if (!value->is_number())
    {
        this->add_error(key, "must be a number");
        return minimum;
    }
    const auto number_value = value->get<double>();
    if (number_value < minimum || number_value > maximum)
    {
        this->add_error(key, range_error(minimum, maximum));
        return minimum;
    }
    return number_value;
}

bool section_reader::boolean(std::string_view key, std::optional<bool> fallback)
{
    const nlohmann::json* value = this->find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(false);
    }
    if (!value->is_boolean())
    {
        this->add_error(key, "must be true or false");
        return false;
    }
    return value->get<bool>();
}

std::vector<std::string> section_reader::string_list(std::string_view key)
{
    std::vector<std::string> values;
    for (const nlohmann::json& item : this->list(key))
    {
        if (item.is_string())
        {
            values.push_back(item.get<std::string>());
        }
        else
        {
            this->add_error(key, "must hold strings only");
        }
    }
    return values;
}

const nlohmann::json& section_reader::object(std::string_view key, bool required)
{
    const nlohmann::json* value = this->find(key, required);
    if (value == nullptr)
    {
        return empty_object;
    }
    if (!value->is_object())
    {
        this->add_error(key, "must be an object");
        return empty_object;
    }
    return *value;
}

const nlohmann::json& section_reader::list(std::string_view key)
{
    const nlohmann::json* value = this->find(key, false);
    if (value == nullptr)
    {
        return empty_list;
    }
    if (!value->is_array())
    {
        this->add_error(key, "must be a list");
        return empty_list;
    }
    return *value;
}

} // namespace agateseam::impl
