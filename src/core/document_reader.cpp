#include <agateseam/impl/document_reader.hpp>

#include <algorithm>

namespace agateseam::impl
{

namespace
{

const nlohmann::json empty_object = nlohmann::json::object();
const nlohmann::json empty_list = nlohmann::json::array();

template <typename Number>
std::string range_text(Number least, Number most)
{
    return "must be from " + nlohmann::json(least).dump() + " to " +
           nlohmann::json(most).dump();
}

} // namespace

std::string join_faults(const document_faults& faults)
{
    std::string text;
    for (const document_fault& fault : faults)
    {
        text += (text.empty() ? "" : "\n") + fault.path + ": " + fault.description;
    }
    return text;
}

section_reader::section_reader(const nlohmann::json& from, std::string at,
                               document_faults& found_faults)
    : source(&from)
    , path(std::move(at))
    , faults(&found_faults)
{
    if (!from.is_object())
    {
        this->faults->push_back(
            {this->path.empty() ? "/" : this->path, "must be an object"});
        this->source = &empty_object;
    }
}

section_reader::~section_reader()
{
    for (const auto& [key, value] : this->source->items())
    {
        if (!this->asked.contains(key))
        {
            this->fault(key, "is not a known key");
        }
    }
}

std::string section_reader::path_of(std::string_view key) const
{
    return this->path + "/" + std::string(key);
}

void section_reader::fault(std::string_view key, std::string description)
{
    this->faults->push_back({this->path_of(key), std::move(description)});
}

const nlohmann::json* section_reader::find(std::string_view key, bool required)
{
    this->asked.emplace(key);
    const auto found = this->source->find(std::string(key));
    if (found != this->source->end())
    {
        return &*found;
    }
    if (required)
    {
        this->fault(key, "is missing");
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
        this->fault(key, "must be a string");
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
        std::string list;
        for (const std::string_view word : words)
        {
            list += (list.empty() ? "" : ", ") + std::string(word);
        }
        this->fault(key, "must be one of: " + list);
    }
    return value;
}

std::int64_t section_reader::integer(std::string_view key, std::int64_t least,
                                     std::int64_t most,
                                     std::optional<std::int64_t> fallback)
{
    const nlohmann::json* value = this->find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(least);
    }
    const bool fits = value->is_number_integer() &&
                      (!value->is_number_unsigned() ||
                       value->get<std::uint64_t>() <=
                           std::uint64_t{std::numeric_limits<std::int64_t>::max()});
    if (!fits)
    {
        this->fault(key, "must be a whole number");
        return least;
    }
    const auto chosen = value->get<std::int64_t>();
    if (chosen < least || chosen > most)
    {
        this->fault(key, range_text(least, most));
        return least;
    }
    return chosen;
}

double section_reader::number(std::string_view key, double least, double most,
                              std::optional<double> fallback)
{
    const nlohmann::json* value = this->find(key, !fallback);
    if (value == nullptr)
    {
        return fallback.value_or(least);
    }
    if (!value->is_number())
    {
        this->fault(key, "must be a number");
        return least;
    }
    const auto chosen = value->get<double>();
    if (chosen < least || chosen > most)
    {
        this->fault(key, range_text(least, most));
        return least;
    }
    return chosen;
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
        this->fault(key, "must be true or false");
        return false;
    }
    return value->get<bool>();
}

std::vector<std::string> section_reader::texts(std::string_view key)
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
            this->fault(key, "must hold strings only");
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
        this->fault(key, "must be an object");
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
        this->fault(key, "must be a list");
        return empty_list;
    }
    return *value;
}

} // namespace agateseam::impl
