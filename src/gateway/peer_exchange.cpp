#include <gateway/peer_exchange.hpp>

#include <algorithm>

#include <gateway/digest_codec.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

/// News in between at most this often; a placement is known everywhere by then, before
/// the next one is likely to choose the same server.
constexpr auto news_least = 20ms;
/// Between sums of what the entries said: a fraction of the news' own delay.
constexpr auto sum_least = 4ms;
/// Datagrams read before other work has its turn.
constexpr std::size_t most_at_once = 32;
/// News go to so many entries at most, others each time; the rest hear it with the next
/// whole digest. All of them would be n^2 datagrams for each moment's placements.
constexpr std::size_t news_fanout = 40;

asio::ip::udp::endpoint to_udp(const tcp_endpoint& endpoint)
{
    return {endpoint.address(), endpoint.port()};
}

} // namespace

peer_exchange::peer_exchange(entry_state& chosen_state, newer_configuration chosen)
    : state(&chosen_state)
    , on_newer(std::move(chosen))
    , socket(*chosen_state.loop)
    , heard_claims(*chosen_state.loop)
{
}

result<std::unique_ptr<peer_exchange>> peer_exchange::create(entry_state& state,
                                                             newer_configuration on_newer)
{
    const auto endpoint = parse_endpoint(state.settings.peers);
    if (!endpoint)
    {
        return tl::unexpected<error>(endpoint.error());
    }
    std::unique_ptr<peer_exchange> made(new peer_exchange(state, std::move(on_newer)));
    io_error fault;
    made->socket.open(asio::ip::udp::v4(), fault);
    made->socket.bind(to_udp(*endpoint), fault);
    if (fault)
    {
        return fail(error_code::unavailable, "listen for entries", state.settings.peers,
                    fault.message());
    }
    made->socket.non_blocking(true, fault);
    for (const std::string& seed : state.settings.seeds)
    {
        auto at = parse_endpoint(seed);
        // A seed names another of its VM's ports; that of `peers` is the same on all.
        if (at && at->address() != endpoint->address())
        {
            made->peers[seed] = {at->address(), endpoint->port()};
        }
    }
    peer_exchange* self = made.get();
    spawn(*state.loop, [self]() -> task<void> { co_await self->send_digests(); });
    spawn(*state.loop, [self]() -> task<void> { co_await self->receive(); });
    spawn(*state.loop, [self]() -> task<void> { co_await self->follow_claims(); });
    return made;
}

void peer_exchange::set_entries(const std::vector<registered_entry>& entries)
{
    std::map<std::string, asio::ip::udp::endpoint> listed;
    for (const registered_entry& entry : entries)
    {
        const auto at = parse_endpoint(entry.address);
        if (at && entry.vm != this->state->settings.vm)
        {
            listed[entry.vm] = to_udp(*at);
        }
    }
    this->state->ledger.set_entry_count(static_cast<std::uint32_t>(listed.size() + 1));
    this->peers = std::move(listed);
}

std::string peer_exchange::any_peer() const
{
    if (this->peers.empty())
    {
        return "";
    }
    auto chosen = this->peers.begin();
    std::advance(chosen, this->state->random() % this->peers.size());
    return chosen->second.address().to_string() + ":" +
           std::to_string(chosen->second.port());
}

void peer_exchange::stop()
{
    this->stopped = true;
    io_error ignored; // Closed already.
    this->socket.close(ignored);
    this->state->news.notify();
}

task<void> peer_exchange::send_digests()
{
    time_point whole_at{};
    while (!this->stopped)
    {
        const time_point now = boot_now();
        entry_digest digest = this->make_digest(now);
        const entry_digest said = digest;
        const duration digest_every = this->state->ledger.digest_interval();
        const bool is_news = now - whole_at < digest_every;
        if (is_news)
        {
            this->keep_news(digest);
        }
        else
        {
            whole_at = now;
        }
        this->told = said;
        this->send(encode_digest(digest), is_news ? news_fanout : this->peers.size());
        this->log_changes(now);
        this->update_claims();
        co_await pause_for(*this->state->loop, news_least);
        const duration left = whole_at + digest_every - boot_now();
        co_await this->state->news.wait_for(std::max<duration>(left, news_least));
    }
}

entry_digest peer_exchange::make_digest(time_point now)
{
    entry_digest digest = this->state->ledger.make_digest(now);
    digest.leaving = this->state->draining;
    digest.configuration_version =
        this->state->routing ? this->state->routing->version() : 0;
    if (!this->state->routing)
    {
        return digest;
    }
    for (const service_properties& service : this->state->routing->services())
    {
        if (service.engine)
        {
            const engine_service& engines = this->state->engines(service.name);
            const engine_placement& board = engines.board;
            digest.waiting_requests += static_cast<std::uint32_t>(engines.line.size());
            digest.claims.merge(board.own_claims());
            digest.orphan_tokens.merge(board.own_orphans(now));
        }
    }
    return digest;
}

/// Leaves only what the others don't know yet: each of them reads every entry's news.
void peer_exchange::keep_news(entry_digest& digest) const
{
    digest.is_delta = true;
    const auto same_spending = [](const auto& known, const auto& item)
    {
        const auto found = known.find(item.first);
        return found != known.end() && found->second.spent == item.second.spent;
    };
    std::erase_if(digest.allowances, [&](const auto& item)
                  { return same_spending(this->told.allowances, item); });
    std::erase_if(digest.repeats, [&](const auto& item)
                  { return same_spending(this->told.repeats, item); });
    for (const auto& [server, claim] : this->told.claims)
    {
        // A claim that ended is told as one of nothing.
        digest.claims.try_emplace(server);
    }
    std::erase_if(digest.claims,
                  [&](const auto& item)
                  {
                      const auto found = this->told.claims.find(item.first);
                      return found != this->told.claims.end() &&
                             found->second.requests == item.second.requests;
                  });
    digest.orphan_tokens.clear();
}

/// Sends to so many entries, from one at random on in the order of their names.
void peer_exchange::send(const std::string& datagram, std::size_t most)
{
    const std::size_t count = std::min(most, this->peers.size());
    if (count == 0)
    {
        return;
    }
    auto peer = this->peers.begin();
    std::advance(peer, count < this->peers.size()
                           ? this->state->random() % this->peers.size()
                           : 0);
    for (std::size_t sent = 0; sent < count; ++sent)
    {
        io_error ignored; // A lost digest heals with the next whole one: they are totals.
        this->socket.send_to(asio::buffer(datagram), peer->second, 0, ignored);
        ++peer;
        peer = peer == this->peers.end() ? this->peers.begin() : peer;
    }
}

/// Logs entries that were heard first, lost or heard again since the last time.
void peer_exchange::log_changes(time_point now)
{
    std::set<std::string> current;
    for (const auto& [name, at] : this->state->ledger.last_heard_times())
    {
        if (now - at < this->state->ledger.peer_timeout())
        {
            current.insert(name);
        }
    }
    if (current == this->heard)
    {
        return;
    }
    const fleet_view view = this->state->ledger.view(now);
    for (const std::string& name : current)
    {
        if (!this->heard.contains(name))
        {
            log_line(log_level::info, "entry heard",
                     {{"entry", name},
                      {"heard", std::int64_t{view.reachable_entries}},
                      {"entries", std::int64_t{view.known_entries}}});
        }
    }
    for (const std::string& name : this->heard)
    {
        if (!current.contains(name))
        {
            log_line(log_level::warning, "entry not heard any more",
                     {{"entry", name},
                      {"heard", std::int64_t{view.reachable_entries}},
                      {"entries", std::int64_t{view.known_entries}}});
        }
    }
    this->heard = std::move(current);
}

task<void> peer_exchange::receive()
{
    while (!this->stopped)
    {
        io_error fault;
        co_await this->socket.async_wait(asio::socket_base::wait_read,
                                         store_error_in(fault));
        if (fault)
        {
            co_return;
        }
        // As many as are there: each wait is a call to the system.
        for (std::size_t taken = 0; taken < most_at_once && this->receive_one(); ++taken)
        {
        }
    }
}

/// Returns false when no datagram is there.
bool peer_exchange::receive_one()
{
    const auto bytes = shared_read_buffer();
    asio::ip::udp::endpoint from;
    io_error fault;
    const std::size_t count = this->socket.receive_from(
        asio::buffer(bytes.data(), bytes.size()), from, 0, fault);
    if (fault)
    {
        return false;
    }
    this->take({bytes.data(), count}, from);
    return true;
}

void peer_exchange::take(std::string_view datagram, const asio::ip::udp::endpoint& from)
{
    const auto digest = decode_digest(datagram);
    if (!digest)
    {
        this->state->counters.add("agateseam_digests_left_out_total");
        return;
    }
    const time_point now = boot_now();
    if (!this->state->ledger.apply(*digest, now))
    {
        return;
    }
    this->peers[digest->entry] = from;
    this->heard_claims.notify();
    const std::uint64_t own = this->state->routing ? this->state->routing->version() : 0;
    if (digest->configuration_version > own)
    {
        this->on_newer(digest->configuration_version,
                       from.address().to_string() + ":" + std::to_string(from.port()));
    }
}

/// Adds up what came in the last moment at once: a datagram of each entry comes many
/// times a second, and each sum goes over all entries and servers.
task<void> peer_exchange::follow_claims()
{
    while (!this->stopped)
    {
        co_await this->heard_claims.wait_for(fleet_ledger::base_digest_interval);
        co_await pause_for(*this->state->loop, sum_least);
        this->update_claims();
    }
}

void peer_exchange::update_claims()
{
    if (!this->state->routing)
    {
        return;
    }
    const time_point now = boot_now();
    const auto claims = this->state->ledger.peer_claims(now);
    const auto orphans = this->state->ledger.peer_orphan_tokens(now);
    const std::uint32_t rivals = this->state->ledger.peers_with_waiting_requests(now);
    for (const service_properties& service : this->state->routing->services())
    {
        if (service.engine)
        {
            engine_service& engines = this->state->engines(service.name);
            engines.board.set_others_claims(claims, now);
            engines.board.set_others_orphans(orphans);
            engines.board.set_competing_entries(rivals);
            engines.changed.notify();
        }
    }
}

task<void> peer_handler::handle(caller_exchange& exchange)
{
    constexpr int ok = 200;
    constexpr int not_found = 404;
    const std::string_view path = exchange.request().path();
    caller_answer_head head;
    head.status = ok;
    head.fields.push_back({"Content-Type", "application/json"});
    std::string body;
    if (path == configuration_path)
    {
        body = this->state->routing_document;
    }
    else if (path == servers_path && this->state->backends)
    {
        body = encode_servers({this->state->store_reached, this->state->directory.all()});
    }
    if (body.empty())
    {
        head.status = not_found;
    }
    co_await exchange.answer(std::move(head), std::move(body));
}

void peer_handler::refused(int status, std::string_view reason)
{
    log_line(log_level::info, "entry's request refused",
             {{"status", std::int64_t{status}}, {"reason", reason}});
}

} // namespace agateseam
