#include <daemon/json_members.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view spaces = " \t\r\n";

/// Reads the members of an object one after the other. The text must be valid.
class member_reader
{
  public:
    explicit member_reader(std::string_view object)
        : text(object)
        , position(object.find('{') + 1)
    {
    }

    /// \returns false after the last member.
    bool next()
    {
        this->position = this->text.find_first_not_of(spaces, this->position);
        if (this->text[this->position] == ',')
        {
            this->position = this->text.find_first_not_of(spaces, this->position + 1);
        }
        if (this->text[this->position] == '}')
        {
            return false;
        }
        const std::size_t begin = this->position;
        this->skip_string();
        this->name = json::parse(this->text.substr(begin, this->position - begin));
        this->position = this->text.find(':', this->position) + 1;
        this->skip_value();
        this->member = this->text.substr(begin, this->position - begin);
        return true;
    }

    std::string name;
    std::string_view member; ///< Its name and its value, as they were sent.

  private:
    void skip_string()
    {
        ++this->position;
        while (this->text[this->position] != '"')
        {
            this->position += this->text[this->position] == '\\' ? 2 : 1;
        }
        ++this->position;
    }

    /// Ends at the comma or the brace behind the value.
    void skip_value()
    {
        std::size_t depth = 0;
        for (;;)
        {
            const char next = this->text[this->position];
            if (depth == 0 && (next == ',' || next == '}'))
            {
                return;
            }
            if (next == '"')
            {
                this->skip_string();
                continue;
            }
            depth += next == '{' || next == '[' ? 1 : 0;
            depth -= next == '}' || next == ']' ? 1 : 0;
            ++this->position;
        }
    }

    std::string_view text;
    std::size_t position;
};

} // namespace

bool is_json_object(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(spaces);
    return begin != std::string_view::npos && text[begin] == '{' && json::accept(text);
}

std::string replace_members(std::string_view object,
                            std::span<const std::string_view> removed, const json& added)
{
    std::string result;
    result.reserve(object.size());
    result += '{';
    member_reader members(object);
    while (members.next())
    {
        if (added.contains(members.name) ||
            std::find(removed.begin(), removed.end(), members.name) != removed.end())
        {
            continue;
        }
        result += result.size() > 1 ? "," : "";
        result += members.member;
    }
    for (const auto& [name, value] : added.items())
    {
        result += result.size() > 1 ? "," : "";
        result += json(name).dump() + ":" + value.dump();
    }
    result += '}';
    return result;
}

} // namespace agateseam
