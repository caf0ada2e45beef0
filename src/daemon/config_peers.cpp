#include <daemon/config_peers.hpp>

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <agateseam/impl/config_index.hpp>
#include <daemon/messages.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t max_wait_ms = 5'000;
constexpr milliseconds call_margin{1'000};
constexpr milliseconds connect_timeout_limit{500};
constexpr std::size_t max_history_size = 64; // Number of changes.
constexpr std::string_view step = "relay configuration";

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string hash_document(std::string_view document)
{
    return std::to_string(XXH3_64bits(document.data(), document.size()));
}

/// Returns the changes after a number; empty unless each one has a diff and none is
/// missing.
std::vector<config_change> changes_after(const config_state& state, std::uint64_t after)
{
    std::vector<config_change> changes;
    for (const config_change& change : state.history)
    {
        if (change.number > after)
        {
            changes.push_back(change);
        }
    }
    const bool complete =
        !changes.empty() && after > 0 && changes.front().number == after + 1 &&
        std::none_of(changes.begin(), changes.end(),
                     [](const config_change& change) { return change.diff.empty(); });
    return complete ? changes : std::vector<config_change>{};
}

json to_json(const config_state& state, std::uint64_t after)
{
    json body = json::object();
    const auto changes = changes_after(state, after);
    const bool diffs = !changes.empty();
    for (const config_change& change : diffs ? changes : state.history)
    {
        body["changes"].push_back(impl::to_json(change));
    }
    body["check"] = hash_document(state.document);
    if (!diffs)
    {
        body["document"] = state.document;
    }
    return body;
}

} // namespace

result<peer_answer> parse_peer_answer(std::string_view text)
{
    try
    {
        const json source = json::parse(text);
        peer_answer answer;
        source.at("number").get_to(answer.status.number);
        answer.status.age = milliseconds(source.at("age_ms").get<std::int64_t>());
        answer.document = source.value("document", "");
        answer.document_hash = source.value("check", "");
        for (const json& change : source.value("changes", json::array()))
        {
            answer.changes.push_back(impl::read_change(change));
        }
        return answer;
    }
    catch (const json::exception& fault)
    {
        return fail(error_code::invalid, step, "", fault.what());
    }
}

result<config_state> apply_answer(const config_state& own, peer_answer answer)
{
    config_state next;
    next.number = answer.status.number;
    next.document = std::move(answer.document);
    next.history = own.history;
    if (!next.document.empty())
    {
        next.history.clear();
    }
    else
    {
        try
        {
            json document = json::parse(own.document);
            for (const config_change& change : answer.changes)
            {
                document = document.patch(json::parse(change.diff));
            }
            next.document = document.dump();
        }
        catch (const json::exception& fault)
        {
            return fail(error_code::conflict, step, "", fault.what());
        }
    }
    if (hash_document(next.document) != answer.document_hash)
    {
        return fail(error_code::conflict, step, "",
                    "the diffs do not result in the peer's document");
    }
    next.history.insert(next.history.end(), answer.changes.begin(), answer.changes.end());
    if (next.history.size() > max_history_size)
    {
        next.history.erase(next.history.begin(),
                           next.history.end() - std::ptrdiff_t{max_history_size});
    }
    return next;
}

http_call make_peer_call(const peer_record& peer, std::string_view secret,
                         std::uint64_t after, milliseconds wait)
{
    http_call call;
    call.url = "http://" + peer.address + "/peer/config?after=" + std::to_string(after) +
               "&wait_ms=" + std::to_string(wait.count());
    call.step = step;
    call.headers = {{std::string(headers::fleet), std::string(secret)}};
    call.connect_timeout = connect_timeout_limit;
    call.total_timeout = wait + call_margin;
    return call;
}

config_peers::config_peers(const clock_source& source, const config_relay& decisions)
    : clock(&source)
    , relay(&decisions)
{
}

void config_peers::answer(std::shared_ptr<http_exchange> exchange)
{
    const http_request& request = exchange->request();
    const std::uint64_t after = parse_number(request.query_argument("after"));
    const milliseconds wait(
        std::min(max_wait_ms, parse_number(request.query_argument("wait_ms"))));
    std::shared_ptr<const config_state> newest;
    {
        const std::scoped_lock lock(this->mutex);
        newest = this->state;
        const bool newer = newest && newest->number > after;
        if (!newer && wait.count() > 0)
        {
            this->waiting.push_back(
                {std::move(exchange), after, this->clock->now() + wait});
            return;
        }
    }
    this->respond(*exchange, newest.get(), after);
}

void config_peers::publish(std::shared_ptr<const config_state> newest)
{
    std::vector<waiting_peer> to_answer;
    {
        const std::scoped_lock lock(this->mutex);
        this->state = newest;
        std::erase_if(this->waiting,
                      [&](waiting_peer& peer)
                      {
                          const bool is_newer = newest->number > peer.after;
                          if (is_newer)
                          {
                              to_answer.push_back(peer);
                          }
                          return is_newer;
                      });
    }
    for (const waiting_peer& peer : to_answer)
    {
        this->respond(*peer.exchange, newest.get(), peer.after);
    }
}

void config_peers::expire()
{
    const time_point now = this->clock->now();
    std::vector<waiting_peer> to_answer;
    std::shared_ptr<const config_state> newest;
    {
        const std::scoped_lock lock(this->mutex);
        newest = this->state;
        std::erase_if(this->waiting,
                      [&](waiting_peer& peer)
                      {
                          const bool expired =
                              peer.deadline <= now || peer.exchange->disconnected();
                          if (expired)
                          {
                              to_answer.push_back(peer);
                          }
                          return expired;
                      });
    }
    for (const waiting_peer& peer : to_answer)
    {
        this->respond(*peer.exchange, newest.get(), peer.after);
    }
}

std::shared_ptr<const config_state> config_peers::current() const
{
    const std::scoped_lock lock(this->mutex);
    return this->state;
}

void config_peers::respond(http_exchange& exchange, const config_state* newest,
                           std::uint64_t after) const
{
    json body = newest != nullptr && newest->number > after ? to_json(*newest, after)
                                                            : json::object();
    const duration age = this->relay->confirmation_age(this->clock->now());
    body["number"] = newest != nullptr ? newest->number : 0;
    body["age_ms"] = std::chrono::duration_cast<milliseconds>(age).count();
    exchange.respond(200, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace agateseam
