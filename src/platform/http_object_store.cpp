#include <platform/http_object_store.hpp>

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include <net/uri_component.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_too_large = 413;

/// Returns the version that an entity tag states, or 0 without one.
std::uint64_t parse_version(std::string_view entity_tag)
{
    if (entity_tag.size() >= 2 && entity_tag.front() == '"')
    {
        entity_tag = entity_tag.substr(1, entity_tag.size() - 2);
    }
    std::uint64_t version = 0;
    std::from_chars(entity_tag.data(), entity_tag.data() + entity_tag.size(), version);
    return version;
}

/// Encodes each segment of a key, which may name what another writer stored. The slashes
/// between them stay.
std::string encode_key(std::string_view key)
{
    std::string encoded;
    for (std::size_t begin = 0; begin <= key.size();)
    {
        const std::size_t end = std::min(key.find('/', begin), key.size());
        encoded += begin == 0 ? "" : "/";
        encoded += encode_uri_component(key.substr(begin, end - begin));
        begin = end + 1;
    }
    return encoded;
}

class http_object_store final : public object_store
{
  public:
    http_object_store(const object_store_options& initial_options,
                      http_client& store_client)
        : options(initial_options)
        , client(&store_client)
    {
    }

    [[nodiscard]] result<object_record> get(std::string_view key) override
    {
        const auto reply = this->call("GET", this->object_url(key), "store get", {}, "");
        if (!reply)
        {
            return tl::unexpected<error>(reply.error());
        }
        return this->to_record(*reply, key, "store get");
    }

    [[nodiscard]] result<std::vector<object_record>>
    list(std::string_view prefix) override
    {
        const std::string url =
            this->options.url + "/objects?prefix=" + encode_uri_component(prefix);
        const auto reply = this->call("GET", url, "store list", {}, "");
        if (!reply)
        {
            return tl::unexpected<error>(reply.error());
        }
        const json items = json::parse(reply->body, nullptr, false);
        if (reply->status != status_ok || !items.is_array())
        {
            return this->to_error(*reply, "store list");
        }
        std::vector<object_record> records;
        for (const json& item : items)
        {
            records.push_back({item.value("key", ""), item.value("value", ""),
                               item.value("version", std::uint64_t{0})});
        }
        return records;
    }

    [[nodiscard]] result<std::uint64_t> put(std::string_view key, std::string_view value,
                                            std::uint64_t expected_version) override
    {
        const auto reply =
            this->call("PUT", this->object_url(key), "store put",
                       {version_precondition(expected_version)}, std::string(value));
        if (!reply)
        {
            return tl::unexpected<error>(reply.error());
        }
        if (reply->status != status_ok)
        {
            return this->to_error(*reply, "store put");
        }
        return parse_version(reply->header("ETag"));
    }

    [[nodiscard]] result<void> remove(std::string_view key,
                                      std::uint64_t expected_version) override
    {
        const auto reply = this->call("DELETE", this->object_url(key), "store remove",
                                      {version_precondition(expected_version)}, "");
        if (!reply)
        {
            return tl::unexpected<error>(reply.error());
        }
        if (reply->status != status_ok)
        {
            return this->to_error(*reply, "store remove");
        }
        return {};
    }

    [[nodiscard]] result<std::optional<object_record>>
    watch(std::string_view key, std::uint64_t after_version,
          std::chrono::milliseconds wait) override
    {
        http_call call;
        call.url = this->object_url(key) + "?after=" + std::to_string(after_version) +
                   "&wait_ms=" + std::to_string(wait.count());
        call.step = "store watch";
        call.total_timeout = wait + this->options.timeout;
        const auto reply = this->client->fetch(std::move(call));
        if (!reply)
        {
            return tl::unexpected<error>(reply.error());
        }
        if (reply->status == status_no_content)
        {
            return std::optional<object_record>{};
        }
        auto record = this->to_record(*reply, key, "store watch");
        if (!record)
        {
            return tl::unexpected<error>(record.error());
        }
        return std::optional<object_record>{std::move(*record)};
    }

    [[nodiscard]] result<std::vector<vm_record>> vms() override
    {
        const auto reply =
            this->call("GET", this->options.url + "/vms", "list VMs", {}, "");
        if (!reply)
        {
            return tl::unexpected<error>(reply.error());
        }
        const json items = json::parse(reply->body, nullptr, false);
        if (reply->status != status_ok || !items.is_array())
        {
            return this->to_error(*reply, "list VMs");
        }
        std::vector<vm_record> records;
        for (const json& item : items)
        {
            records.push_back({item.value("name", ""), item.value("address", ""),
                               item.value("role", ""), item.value("failure_domain", ""),
                               item.value("leaving", false)});
        }
        return records;
    }

  private:
    [[nodiscard]] static http_header version_precondition(std::uint64_t expected_version)
    {
        if (expected_version == 0)
        {
            return {"If-None-Match", "*"};
        }
        return {"If-Match", "\"" + std::to_string(expected_version) + "\""};
    }

    [[nodiscard]] std::string object_url(std::string_view key) const
    {
        return this->options.url + "/objects/" + encode_key(key);
    }

    [[nodiscard]] result<http_reply> call(std::string method, std::string url,
                                          std::string_view step,
                                          std::vector<http_header> headers,
                                          std::string body)
    {
        http_call request;
        request.method = std::move(method);
        request.url = std::move(url);
        request.step = step;
        request.headers = std::move(headers);
        request.body = std::move(body);
        request.total_timeout = this->options.timeout;
        // libcurl sends a request again when its pooled connection turns out to be
        // closed. If the first write had taken effect, the second would fail with a
        // version conflict.
        request.fresh_connection = request.method != "GET";
        return this->client->fetch(std::move(request));
    }

    [[nodiscard]] result<object_record>
    to_record(const http_reply& reply, std::string_view key, std::string_view step) const
    {
        if (reply.status != status_ok)
        {
            return this->to_error(reply, step);
        }
        return object_record{std::string(key), reply.body,
                             parse_version(reply.header("ETag"))};
    }

    [[nodiscard]] tl::unexpected<error> to_error(const http_reply& reply,
                                                 std::string_view step) const
    {
        switch (reply.status)
        {
        case status_not_found:
            return fail(error_code::not_found, step, this->options.url, "no such object");
        case status_precondition_failed:
            return fail(error_code::conflict, step, this->options.url,
                        "the object has another version");
        case status_too_large:
            return fail(error_code::invalid, step, this->options.url,
                        "the value is over the store's limit");
        default:
            return fail(error_code::unavailable, step, this->options.url,
                        "status " + std::to_string(reply.status));
        }
    }

    object_store_options options;
    http_client* client;
};

} // namespace

result<std::unique_ptr<object_store>>
make_http_object_store(const object_store_options& options, http_client& client)
{
    if (!options.url.starts_with("http://") && !options.url.starts_with("https://"))
    {
        return fail(error_code::invalid, "settings", options.url,
                    "the platform's URL must begin with http:// or https://");
    }
    return std::make_unique<http_object_store>(options, client);
}

} // namespace agateseam
