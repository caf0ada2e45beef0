#include <gateway/peer_exchange.hpp>

#include <algorithm>

#include <gateway/digest_codec.hpp>
#include <gateway/evacuation_changes.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

/// Shortest time between deltas. Other entries learn of a placement before their next one
/// is likely to choose the same server.
constexpr auto min_delta_interval = 20ms;
/// Shortest time between sums of the entries' claims; a fraction of the delta interval.
constexpr auto min_claim_update_interval = 4ms;
/// Maximum datagrams that are read before other coroutines run.
constexpr std::size_t max_datagrams_per_wake = 32;
/// How long an entry that is not listed any more still gets digests.
constexpr auto unlisted_entry_memory = 60s;
/// Maximum number of entries that get a delta; they are chosen at random each time, and
/// the rest get the next full digest. Sending to all would take n^2 datagrams per
/// interval.
constexpr std::size_t delta_fanout = 128;

asio::ip::udp::endpoint to_udp(const tcp_endpoint& endpoint)
{
    return {endpoint.address(), endpoint.port()};
}

std::string to_text(const asio::ip::udp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

peer_exchange::peer_exchange(entry_state& entry, platform_link& entry_link,
                             newer_configuration_callback callback)
    : state(&entry)
    , link(&entry_link)
    , on_newer_configuration(std::move(callback))
    , socket(*entry.loop)
    , digest_received(*entry.loop)
{
}

result<std::unique_ptr<peer_exchange>>
peer_exchange::create(entry_state& state, platform_link& link,
                      newer_configuration_callback on_newer_configuration)
{
    const auto endpoint = parse_endpoint(state.settings.peers);
    if (!endpoint)
    {
        return tl::unexpected<error>(endpoint.error());
    }
    std::unique_ptr<peer_exchange> exchange(
        new peer_exchange(state, link, std::move(on_newer_configuration)));
    io_error fault;
    exchange->socket.open(asio::ip::udp::v4(), fault);
    exchange->socket.bind(to_udp(*endpoint), fault);
    if (fault)
    {
        return fail(error_code::unavailable, "listen for entries", state.settings.peers,
                    fault.message());
    }
    exchange->socket.non_blocking(true, fault);
    for (const std::string& seed : state.settings.seeds)
    {
        auto seed_endpoint = parse_endpoint(seed);
        // A seed may name another port of its VM; the port of `peers` is the same on all
        // VMs.
        if (seed_endpoint && seed_endpoint->address() != endpoint->address())
        {
            exchange->peers[seed] = {seed_endpoint->address(), endpoint->port()};
        }
    }
    peer_exchange* self = exchange.get();
    spawn(*state.loop, [self]() -> task<void> { co_await self->send_digests(); });
    spawn(*state.loop, [self]() -> task<void> { co_await self->receive(); });
    spawn(*state.loop,
          [self]() -> task<void> { co_await self->update_claims_periodically(); });
    return exchange;
}

void peer_exchange::set_entries(const std::vector<registered_entry>& entries)
{
    std::map<std::string, asio::ip::udp::endpoint> listed;
    for (const registered_entry& entry : entries)
    {
        const auto endpoint = parse_endpoint(entry.address);
        if (endpoint && entry.vm != this->state->settings.vm)
        {
            listed[entry.vm] = to_udp(*endpoint);
        }
    }
    this->state->ledger.set_entry_count(static_cast<std::uint32_t>(listed.size() + 1));
    // An entry that restarts while the store turns it away isn't listed and knows nobody,
    // so it learns of the others only if they still send to it.
    const time_point now = boot_now();
    for (const auto& [entry, heard_at] : this->state->ledger.last_heard_times())
    {
        const auto known = this->peers.find(entry);
        if (known != this->peers.end() && now - heard_at < unlisted_entry_memory)
        {
            listed.insert(*known);
        }
    }
    this->peers = std::move(listed);
}

std::string peer_exchange::address_of(const std::string& entry) const
{
    const auto peer = this->peers.find(entry);
    return peer == this->peers.end() ? "" : to_text(peer->second);
}

std::vector<std::string> peer_exchange::entry_names() const
{
    std::vector<std::string> names;
    std::vector<std::string> seeds;
    for (const auto& [name, peer] : this->peers)
    {
        // The key of a seed is its address until its name is known.
        (name.find(':') == std::string::npos ? names : seeds).push_back(name);
    }
    return names.empty() ? seeds : names;
}

asio::ip::udp::endpoint peer_exchange::endpoint_of(const std::string& entry) const
{
    const auto peer = this->peers.find(entry);
    return peer == this->peers.end() ? asio::ip::udp::endpoint{} : peer->second;
}

void peer_exchange::send(const std::string& datagram, const asio::ip::udp::endpoint& to)
{
    io_error ignored; // Its sender doesn't rely on it.
    this->socket.send_to(asio::buffer(datagram), to, 0, ignored);
}

void peer_exchange::stop()
{
    this->stopped = true;
    io_error ignored; // The socket may be closed already.
    this->socket.close(ignored);
    this->state->digest_due.notify();
}

task<void> peer_exchange::send_digests()
{
    while (!this->stopped)
    {
        const time_point now = boot_now();
        const duration interval = this->state->ledger.digest_interval();
        entry_digest digest = this->make_digest(now);
        this->reducer.reduce(digest, now, interval,
                             this->state->ledger.first_heard_count());
        const std::optional<time_point> changed_since =
            digest.scope == digest_scope::complete
                ? std::nullopt
                : std::optional(now - interval * digest_reducer::resent_digests);
        digest.quarantine = this->state->quarantine.make_digest(changed_since, now);
        digest.server_limits = this->state->limiter.make_reports(changed_since, now);
        digest.returns = this->state->returning.make_reports(changed_since, now);
        digest.evacuations = this->make_evacuation_reports(digest.scope, now - interval);
        const bool is_delta = digest.scope == digest_scope::delta;
        this->send_datagram(encode_digest(digest),
                            is_delta ? delta_fanout : this->peers.size());
        this->log_reachability_changes(now);
        this->update_all_claims();
        co_await pause_for(*this->state->loop, min_delta_interval);
        const duration left = this->reducer.next_whole_digest(interval) - boot_now();
        co_await this->state->digest_due.wait_for(
            std::max<duration>(left, min_delta_interval));
    }
}

entry_digest peer_exchange::make_digest(time_point now)
{
    entry_digest digest = this->state->ledger.make_digest(now);
    digest.leaving = this->state->draining();
    digest.reaches_store = this->state->store_reachable;
    digest.store_era = this->link->store_era();
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
            const engine_placement& placement = engines.placement;
            digest.waiting_requests += static_cast<std::uint32_t>(engines.queue.size());
            digest.next_rank = std::min(digest.next_rank, engines.queue.front_rank(now));
            digest.claims.merge(placement.own_claims());
            digest.orphan_tokens.merge(placement.own_orphans(now));
        }
    }
    return digest;
}

/// Returns the evacuations that a digest carries. Whole digests have all of them, since
/// they are few; the position alone, which only new entries need, is in complete ones.
evacuation_reports peer_exchange::make_evacuation_reports(digest_scope scope,
                                                          time_point recent) const
{
    if (!this->state->follows_evacuations())
    {
        return {};
    }
    evacuation_reports reports = this->state->evacuated_domains.make_reports();
    const bool is_due = scope == digest_scope::complete ||
                        (scope == digest_scope::recent && !reports.domains.empty()) ||
                        this->state->evacuated_domains.last_change() >= recent;
    return is_due ? std::move(reports) : evacuation_reports{};
}

/// Sends to at most `max_peers` entries in the order of their names, from a random one
/// on.
void peer_exchange::send_datagram(const std::string& datagram, std::size_t max_peers)
{
    const std::size_t count = std::min(max_peers, this->peers.size());
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
        io_error
            ignored; // The next full digest makes up for a lost one, as it has totals.
        this->socket.send_to(asio::buffer(datagram), peer->second, 0, ignored);
        ++peer;
        peer = peer == this->peers.end() ? this->peers.begin() : peer;
    }
}

/// Logs the entries that became reachable or unreachable since the last call.
void peer_exchange::log_reachability_changes(time_point now)
{
    std::set<std::string> current = this->state->ledger.reachable_peers(now);
    if (current == this->reachable)
    {
        return;
    }
    const fleet_view view = this->state->ledger.view(now);
    for (const std::string& name : current)
    {
        if (!this->reachable.contains(name))
        {
            log_line(log_level::info, "entry heard",
                     {{"entry", name},
                      {"heard", std::int64_t{view.reachable_entries}},
                      {"entries", std::int64_t{view.known_entries}}});
        }
    }
    for (const std::string& name : this->reachable)
    {
        if (!current.contains(name))
        {
            log_line(log_level::warning, "entry not heard any more",
                     {{"entry", name},
                      {"heard", std::int64_t{view.reachable_entries}},
                      {"entries", std::int64_t{view.known_entries}}});
        }
    }
    this->reachable = std::move(current);
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
        // Reads all datagrams that are there, since each wait is a system call.
        for (std::size_t taken = 0; taken < max_datagrams_per_wake && this->receive_one();
             ++taken)
        {
        }
    }
}

/// Handles one datagram; returns false when none is there.
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
    this->handle_datagram({bytes.data(), count}, from);
    return true;
}

void peer_exchange::handle_datagram(std::string_view datagram,
                                    const asio::ip::udp::endpoint& from)
{
    if (this->on_origin && this->on_origin(datagram, from))
    {
        return;
    }
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
    this->link->note_store_era(digest->store_era);
    this->state->returning.note_cold_reports(
        this->state->limiter.apply(digest->entry, digest->incarnation,
                                   digest->server_limits, now),
        now);
    this->state->returning.apply(digest->entry, digest->incarnation, digest->returns,
                                 now);
    if (this->state->quarantine.has_recent_crashes())
    {
        this->state->quarantine.set_heard_since(this->state->ledger.all_heard_since(now));
    }
    // Passed on, as not all entries may reach the one that it comes from.
    if (this->state->quarantine.apply(digest->quarantine, now))
    {
        this->state->digest_due.notify();
    }
    if (this->state->follows_evacuations() && !digest->evacuations.empty())
    {
        const bool was_known = this->state->evacuated_domains.is_known();
        apply_evacuation_changes(
            *this->state, this->state->evacuated_domains.apply(digest->evacuations, now),
            was_known, digest->entry);
    }
    this->digest_received.notify();
    const std::uint64_t own_version =
        this->state->routing ? this->state->routing->version() : 0;
    if (digest->configuration_version > own_version)
    {
        this->on_newer_configuration(digest->configuration_version, to_text(from));
    }
}

/// Passes on what digests that arrived within a short interval changed.
task<void> peer_exchange::update_claims_periodically()
{
    while (!this->stopped)
    {
        co_await this->digest_received.wait_for(fleet_ledger::base_digest_interval);
        co_await pause_for(*this->state->loop, min_claim_update_interval);
        this->update_changed_claims();
    }
}

/// Calls a function with each service of model servers.
template <typename Action>
void peer_exchange::for_each_engine_service(Action action)
{
    if (!this->state->routing)
    {
        return;
    }
    for (const service_properties& service : this->state->routing->services())
    {
        if (service.engine)
        {
            action(this->state->engines(service.name));
        }
    }
}

void peer_exchange::update_changed_claims()
{
    const time_point now = boot_now();
    const auto changed = this->state->ledger.take_claim_changes(now);
    if (!changed)
    {
        this->update_all_claims();
        return;
    }
    const fleet_queue waiting = this->state->ledger.peers_waiting(now);
    this->for_each_engine_service(
        [&](engine_service& engines)
        {
            engines.others_waiting = waiting;
            bool is_relieved = false;
            for (const name_key server : *changed)
            {
                is_relieved |= engines.placement.set_others_claim(
                    server, this->state->ledger.peer_claim(server), now);
            }
            if (is_relieved)
            {
                engines.capacity_changed.notify();
            }
        });
}

/// Passes on everything, also to servers that are listed since the last update.
void peer_exchange::update_all_claims()
{
    const time_point now = boot_now();
    const auto claims = this->state->ledger.peer_claims(now);
    const auto orphans = this->state->ledger.peer_orphan_tokens(now);
    const fleet_queue waiting = this->state->ledger.peers_waiting(now);
    this->for_each_engine_service(
        [&](engine_service& engines)
        {
            engines.placement.set_others_claims(claims, now);
            engines.placement.set_others_orphans(orphans);
            engines.others_waiting = waiting;
            engines.capacity_changed.notify();
        });
}

task<void> peer_handler::handle(caller_exchange& exchange)
{
    constexpr int unavailable = 503;
    const std::string_view path = exchange.request().path();
    const std::string_view target = exchange.request().head.target;
    const std::string query(target.substr(std::min(target.find('?'), target.size() - 1)));
    std::optional<transferred_document> answer;
    if (path == configuration_path)
    {
        answer = this->configuration_for(query);
    }
    else if (path == objects_path)
    {
        answer = co_await this->link->relay(query.substr(1));
    }
    if (!answer || answer->bytes.empty())
    {
        co_await exchange.answer({unavailable, {}}, "");
        co_return;
    }
    co_await answer_transfer(exchange, std::move(*answer));
}

transferred_document peer_handler::configuration_for(std::string_view query)
{
    const std::string& document = this->state->routing_document;
    if (document.empty() || !read_transfer_parameter(query.substr(1)))
    {
        return {document};
    }
    const std::uint64_t version = this->state->routing->version();
    if (this->compressed_version != version)
    {
        this->compressed_configuration = encode_transfer(document, {});
        this->compressed_version = version;
    }
    return this->compressed_configuration;
}

void peer_handler::refused(int status, std::string_view reason)
{
    log_line(log_level::info, "entry's request refused",
             {{"status", std::int64_t{status}}, {"reason", reason}});
}

} // namespace agateseam
