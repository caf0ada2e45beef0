#include <daemon/config_controller.hpp>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds watch_wait{2'000};
constexpr milliseconds retry_wait{200};

result<stored_configuration> decode(const object_record& record)
{
    const json value = json::parse(record.value, nullptr, false);
    if (!value.is_object() || !value.contains("document"))
    {
        return fail(error_code::internal, "read configuration", "",
                    "the stored configuration is malformed");
    }
    return stored_configuration{value.value("number", std::uint64_t{0}),
                                value.value("patch_id", ""), value["document"].dump(),
                                record.version};
}

std::string encode(const stored_configuration& stored)
{
    return json{{"number", stored.number},
                {"patch_id", stored.patch_id},
                {"document", json::parse(stored.document)}}
        .dump();
}

/// After a lost answer: tells whether the patch took effect after all.
result<stored_configuration>
read_back(object_store& store, const stored_configuration& wanted, const error& fault)
{
    auto current = read_configuration(store);
    if (current && current->patch_id == wanted.patch_id)
    {
        return current;
    }
    return tl::unexpected<error>(fault);
}

} // namespace

result<stored_configuration> read_configuration(object_store& store)
{
    const auto record = store.get(config_key);
    if (!record)
    {
        if (record.error().code == error_code::not_found)
        {
            return stored_configuration{0, "", "{}", 0};
        }
        return tl::unexpected<error>(record.error());
    }
    return decode(*record);
}

result<stored_configuration> patch_configuration(object_store& store,
                                                 std::uint64_t against,
                                                 std::string_view patch_id,
                                                 std::string_view merge_patch)
{
    auto current = read_configuration(store);
    if (!current)
    {
        return current;
    }
    if (!patch_id.empty() && current->patch_id == patch_id)
    {
        return current;
    }
    if (current->number != against)
    {
        return fail(error_code::conflict, "patch configuration", "",
                    "the configuration is now at number " +
                        std::to_string(current->number));
    }
    const json patch = json::parse(merge_patch, nullptr, false);
    if (!patch.is_object())
    {
        return fail(error_code::invalid, "patch configuration", "",
                    "the patch is not a JSON object");
    }
    json document = json::parse(current->document);
    document.merge_patch(patch);
    stored_configuration next{against + 1, std::string(patch_id), document.dump(), 0};
    if (auto checked = configuration::parse(next.document, next.number); !checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    const auto written = store.put(config_key, encode(next), current->version);
    if (!written)
    {
        return read_back(store, next, written.error());
    }
    next.version = *written;
    return next;
}

config_controller::config_controller(entry_context& shared)
    : context(&shared)
    , worker([this] { this->run(); })
{
}

config_controller::~config_controller()
{
    this->stopping = true;
    this->worker.join();
}

void config_controller::run()
{
    std::uint64_t version = 0;
    while (!this->stopping)
    {
        const auto record = this->context->store->watch(config_key, version, watch_wait);
        if (!record)
        {
            std::this_thread::sleep_for(retry_wait);
        }
        else if (*record)
        {
            version = (*record)->version;
            this->take(**record);
        }
    }
}

void config_controller::take(const object_record& record)
{
    auto stored = decode(record);
    if (!stored)
    {
        log_error("configuration not taken", stored.error());
        return;
    }
    auto parsed = configuration::parse(stored->document, stored->number);
    if (!parsed)
    {
        log_error("configuration not taken", parsed.error());
        return;
    }
    this->context->allowance->configure(*parsed);
    this->context->board.config.publish(
        configuration_view::create(std::move(*parsed), std::move(stored->document)));
    log_line(log_level::info, "configuration in force",
             {{"number", static_cast<std::int64_t>(stored->number)}});
}

} // namespace agateseam
