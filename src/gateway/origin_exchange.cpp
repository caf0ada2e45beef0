#include <gateway/origin_exchange.hpp>

#include <algorithm>
#include <cstring>
#include <span>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

/// An entry answers at once; a datagram that was lost is sent again after this time.
constexpr auto answer_timeout = 50ms;
constexpr int max_tries = 2;
constexpr std::size_t max_entries_asked = 3 * stream_origins::holders;

/// A message: its kind, the stream and, if known, the version that began it, as two
/// 64-bit numbers. Its first byte is never that of a digest.
enum class message_kind : char
{
    origin = 'O',
    question = 'Q',
    unknown = 'U'
};
struct origin_message
{
    message_kind kind = message_kind::unknown;
    name_key stream;
    name_key version;
};
constexpr std::size_t message_size = 1 + 2 * sizeof(std::uint64_t);

std::string encode(const origin_message& message)
{
    std::string bytes(message_size, '\0');
    const std::uint64_t numbers[] = {message.stream.hash(), message.version.hash()};
    bytes.front() = static_cast<char>(message.kind);
    std::memcpy(bytes.data() + 1, numbers, sizeof numbers);
    return bytes;
}

std::optional<origin_message> decode(std::string_view bytes)
{
    const bool has_kind =
        !bytes.empty() && (bytes.front() == static_cast<char>(message_kind::origin) ||
                           bytes.front() == static_cast<char>(message_kind::question) ||
                           bytes.front() == static_cast<char>(message_kind::unknown));
    if (bytes.size() != message_size || !has_kind)
    {
        return std::nullopt;
    }
    std::uint64_t numbers[2];
    std::memcpy(numbers, bytes.data() + 1, sizeof numbers);
    return origin_message{static_cast<message_kind>(bytes.front()),
                          name_key::from_hash(numbers[0]),
                          name_key::from_hash(numbers[1])};
}

} // namespace

origin_exchange::origin_exchange(entry_state& entry, peer_exchange& entries)
    : state(&entry)
    , peers(&entries)
{
    this->state->announce_stream = [this](name_key stream, name_key version)
    { this->announce(stream, version); };
    this->state->find_stream_origin = [this](name_key stream)
    { return this->find(stream); };
    this->peers->set_origin_callback(
        [this](std::string_view datagram, const endpoint& from)
        { return this->handle(datagram, from); });
}

void origin_exchange::announce(name_key stream, name_key version)
{
    this->state->origins.record(stream, version, boot_now());
    const std::string message = encode({message_kind::origin, stream, version});
    for (const std::string& entry :
         rank_stream_holders(stream, this->peers->entry_names(), stream_origins::holders))
    {
        this->peers->send(message, this->peers->endpoint_of(entry));
    }
}

task<std::optional<name_key>> origin_exchange::find(name_key stream)
{
    const auto known = this->state->origins.find(stream, boot_now());
    if (known)
    {
        co_return known;
    }
    const auto names =
        rank_stream_holders(stream, this->peers->entry_names(), max_entries_asked);
    const std::size_t first = std::min(names.size(), stream_origins::holders);
    lookup search(*this->state->loop);
    search.stream = stream;
    this->lookups.push_back(&search);
    for (const auto& [begin, end] :
         {std::pair(std::size_t{0}, first), {first, names.size()}})
    {
        for (std::size_t index = begin; index < end; ++index)
        {
            search.unanswered.insert(this->peers->endpoint_of(names[index]));
        }
        co_await this->ask(search);
        if (this->state->origins.find(stream, boot_now()))
        {
            break;
        }
        search.unanswered.clear();
    }
    this->lookups.remove(&search);
    co_return this->state->origins.find(stream, boot_now());
}

task<void> origin_exchange::ask(lookup& search)
{
    const std::string question = encode({message_kind::question, search.stream, {}});
    for (int attempt = 0; attempt < max_tries && !search.unanswered.empty(); ++attempt)
    {
        for (const endpoint& peer : search.unanswered)
        {
            this->peers->send(question, peer);
        }
        const time_point until = boot_now() + answer_timeout;
        while (!search.unanswered.empty() && boot_now() < until &&
               !this->state->origins.find(search.stream, boot_now()))
        {
            co_await search.answered.wait_for(until - boot_now());
        }
        if (this->state->origins.find(search.stream, boot_now()))
        {
            co_return;
        }
    }
}

bool origin_exchange::handle(std::string_view datagram, const endpoint& from)
{
    const auto message = decode(datagram);
    if (!message)
    {
        return false;
    }
    if (message->kind == message_kind::question)
    {
        const auto version = this->state->origins.find(message->stream, boot_now());
        this->peers->send(encode({version ? message_kind::origin : message_kind::unknown,
                                  message->stream, version.value_or(name_key{})}),
                          from);
        return true;
    }
    if (message->kind == message_kind::origin)
    {
        this->state->origins.record(message->stream, message->version, boot_now());
    }
    for (lookup* search : this->lookups)
    {
        if (search->stream == message->stream)
        {
            search->unanswered.erase(from);
            search->answered.notify();
        }
    }
    return true;
}

} // namespace agateseam
