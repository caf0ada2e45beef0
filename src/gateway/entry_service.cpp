#include <gateway/entry_service.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

#include <boost/asio/signal_set.hpp>

#include <agateseam/memory_budget.hpp>
#include <gateway/digest_codec.hpp>
#include <gateway/engine_calls.hpp>
#include <gateway/entry_handlers.hpp>
#include <gateway/evacuation_changes.hpp>
#include <gateway/memory_report_poller.hpp>
#include <gateway/origin_exchange.hpp>
#include <gateway/quarantine_keeper.hpp>
#include <gateway/usage_recorder.hpp>
#include <transport/caller_listener.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr auto cleanup_interval = 250ms;
constexpr auto min_cleanup_pause = 1ms;
/// A fraction of the interval in which the pace of a returning server changes.
constexpr auto pace_update_interval = 50ms;
constexpr auto settings_poll_interval =
    2'000ms; ///< The file may change without a signal.
/// Part of the grace period that is reserved for the exit itself: the last answers, the
/// last usage record and the deregistration, each with its time-out.
constexpr auto exit_margin = 800ms;
/// Time for the requests that are open at the end of a stop to be answered or cut.
constexpr auto last_answers_time = 100ms;
constexpr auto min_configuration_fetch_interval = 300ms;
/// New servers are published together after this delay, which is small beside the seconds
/// for which a server lives.
constexpr auto publish_delay = 10ms;
/// The store usually answers within a few milliseconds.
constexpr auto confirm_servers_timeout = 250ms;
/// Time until another entry's answer begins, and the longest pause in it.
constexpr auto peer_call_timeout = 1'000ms;
constexpr auto max_peer_transfer_time = 15'000ms;
constexpr std::size_t max_configuration_bytes = 8 << 20;
/// The feed may take this much longer than the news of a version, before the version is
/// fetched from the entry that has it; an entry without any configuration waits less.
constexpr auto feed_patience = 500ms;
constexpr auto first_feed_patience = 100ms;
constexpr auto feed_poll_interval = 50ms;

class entry_service final : public platform_listener
{
  public:
    entry_service(const gateway_settings& settings, std::string settings_path,
                  std::uint64_t incarnation, entry_environment& environment)
        : state(this->loop, settings, incarnation)
        , settings_file(std::move(settings_path))
        , pipeline(this->state)
        , readiness(this->state)
        , metrics(this->state)
        , link(environment.make_link(this->loop, settings, incarnation, *this))
        , peer_requests(this->state, *this->link)
        , signals(this->loop)
    {
        this->state.dialect = environment.make_dialect();
        process_memory_budget().set_limits(held_memory_limit(settings.memory_bytes),
                                           connection_limit_of(settings.descriptors));
        this->keeper = std::make_unique<quarantine_keeper>(this->state, *this->link);
        this->state.confirm_servers = [this] { return this->confirm_servers(); };
    }

    result<void> open_listeners()
    {
        const gateway_settings& settings = this->state.settings;
        auto exchange = peer_exchange::create(
            this->state, *this->link,
            [this](std::uint64_t version, const std::string& address)
            { this->fetch_configuration(version, address); });
        if (!exchange)
        {
            return tl::unexpected<error>(exchange.error());
        }
        this->peers = std::move(*exchange);
        this->stream_search =
            std::make_unique<origin_exchange>(this->state, *this->peers);
        if (auto opened = this->listen(settings.peers, this->peer_requests); !opened)
        {
            return opened;
        }
        if (auto opened = this->listen(settings.readiness, this->readiness); !opened)
        {
            return opened;
        }
        if (!settings.metrics.empty())
        {
            if (auto opened = this->listen(settings.metrics, this->metrics); !opened)
            {
                return opened;
            }
        }
        auto listener =
            caller_listener::create(this->loop, settings.callers, this->pipeline);
        if (!listener)
        {
            return tl::unexpected<error>(listener.error());
        }
        this->callers = std::move(*listener);
        return {};
    }

    int run()
    {
        this->signals.add(SIGTERM);
        this->signals.add(SIGINT);
        this->signals.add(SIGHUP);
        spawn(this->loop, [this]() -> task<void> { co_await this->handle_signals(); });
        spawn(this->loop, [this]() -> task<void> { co_await this->run_cleanup(); });
        spawn(this->loop, [this]() -> task<void> { co_await this->watch_settings(); });
        if (this->state.settings.pace_servers)
        {
            spawn(this->loop, [this]() -> task<void> { co_await this->update_paces(); });
        }
        spawn(this->loop,
              [this]() -> task<void> { co_await poll_memory_reports(this->state); });
        spawn(this->loop,
              [this]() -> task<void>
              { co_await write_usage_periodically(this->state, *this->link); });
        spawn(this->loop, [this]() -> task<void> { co_await this->keeper->run(); });
        this->link->start();
        this->loop.run();
        return this->requests_cut == 0 ? 0 : 1;
    }

    void on_configuration(std::shared_ptr<const routing_table> table,
                          std::string document) override
    {
        this->note_stored_version(table->version());
        this->take_configuration(std::move(table), std::move(document));
    }

    void on_servers(std::vector<backend_server> servers, bool after_outage) override
    {
        log_line(log_level::info, "backend servers listed",
                 {{"servers", static_cast<std::int64_t>(servers.size())},
                  {"after_outage", after_outage}});
        this->state.directory.replace(std::move(servers), after_outage, boot_now());
        if (after_outage)
        {
            this->state.versions.interrupt(boot_now());
        }
        const bool is_first_list = !std::exchange(this->state.servers_known, true);
        this->state.publish_servers();
        if (is_first_list)
        {
            log_unknown_evacuations(this->state,
                                    this->state.evacuated_domains.evacuated());
        }
    }

    void on_server_changed(backend_server server) override
    {
        log_line(log_level::info, "backend server changed",
                 {{"server", server.id},
                  {"address", server.address},
                  {"version", server.version},
                  {"leaving", server.leaving}});
        const bool leaving = server.leaving;
        this->state.directory.put(std::move(server));
        if (leaving)
        {
            this->state.publish_servers();
            return;
        }
        this->schedule_publication();
    }

    void on_server_removed(std::string_view id, bool after_outage) override
    {
        log_line(log_level::info, "backend server gone",
                 {{"server", id}, {"after_outage", after_outage}});
        this->state.directory.remove(id, after_outage, boot_now());
        this->state.publish_servers();
    }

    void on_evacuations(const std::vector<std::string>& domains, store_position position,
                        std::string_view source) override
    {
        evacuations& known = this->state.evacuated_domains;
        const bool was_known = known.is_known();
        apply_evacuation_changes(
            this->state, known.replace(domains, position, boot_now()), was_known, source);
    }

    void on_evacuation_changed(std::string_view domain, bool evacuated,
                               store_position position, std::string_view source) override
    {
        evacuations& known = this->state.evacuated_domains;
        apply_evacuation_changes(this->state,
                                 known.record(domain, evacuated, position, boot_now()),
                                 known.is_known(), source);
    }

    void on_entries(std::vector<registered_entry> entries) override
    {
        this->links_mbps.clear();
        for (const registered_entry& entry : entries)
        {
            this->links_mbps[entry.vm] = entry.link_mbps;
        }
        this->peers->set_entries(entries);
    }

    void on_store_reachability_changed(bool reached, std::string_view reason) override
    {
        this->state.store_reachable = reached;
        this->state.versions.interrupt(boot_now());
        log_line(reached ? log_level::info : log_level::warning,
                 reached ? "platform store reached again" : "platform store out of reach",
                 {{"reason", reason}});
    }

    void on_store_era_changed(std::uint64_t before, std::uint64_t era) override
    {
        log_line(log_level::warning, "store era changed",
                 {{"before", static_cast<std::int64_t>(before)},
                  {"era", static_cast<std::int64_t>(era)}});
        this->state.counters.add("agateseam_store_eras_total");
        this->state.digest_due.notify();
        this->state.usage.mark_unwritten();
        this->keeper->on_store_restored();
    }

    [[nodiscard]] store_watch_plan plan_watch() const override
    {
        auto others = this->state.ledger.watch_candidates(boot_now());
        for (watch_candidate& other : others)
        {
            const auto link_mbps = this->links_mbps.find(other.name);
            other.link_mbps = link_mbps == this->links_mbps.end() ? 0 : link_mbps->second;
        }
        store_watch_plan plan =
            plan_store_watch({this->state.settings.vm,
                              this->state.store_reachable && !this->state.draining(),
                              this->state.settings.link_mbps},
                             others);
        for (std::string& relay : plan.relays)
        {
            relay = this->peers->address_of(relay);
        }
        std::erase(plan.relays, "");
        return plan;
    }

  private:
    /// Puts a configuration in force unless it is older than the present one.
    void take_configuration(std::shared_ptr<const routing_table> table,
                            std::string document)
    {
        const std::uint64_t own_version =
            this->state.routing ? this->state.routing->version() : 0;
        if (table->version() <= own_version)
        {
            return;
        }
        const time_point now = boot_now();
        this->state.routing = std::move(table);
        this->state.routing_document = std::move(document);
        this->state.routing_since = now;
        this->state.ledger.set_routing(*this->state.routing, now);
        this->state.publish_servers();
        this->state.digest_due.notify();
        log_line(
            log_level::info, "configuration in force",
            {{"version", static_cast<std::int64_t>(this->state.routing->version())},
             {"before", static_cast<std::int64_t>(own_version)},
             {"bytes", static_cast<std::int64_t>(this->state.routing_document.size())}});
    }

    /// Logs when the store's configuration is older than the one in force, as after it
    /// came back from a copy, and when it has caught up.
    void note_stored_version(std::uint64_t stored)
    {
        const std::uint64_t in_force =
            this->state.routing ? this->state.routing->version() : 0;
        const bool is_behind = stored < in_force;
        if (is_behind != this->stored_version_is_behind)
        {
            log_line(is_behind ? log_level::warning : log_level::info,
                     is_behind ? "configuration behind in store"
                               : "configuration caught up in store",
                     {{"stored", static_cast<std::int64_t>(stored)},
                      {"in_force", static_cast<std::int64_t>(in_force)}});
        }
        this->stored_version_is_behind = is_behind;
    }

    result<void> listen(const std::string& address, caller_handler& handler)
    {
        auto listener = caller_listener::create(this->loop, address, handler);
        if (!listener)
        {
            return tl::unexpected<error>(listener.error());
        }
        this->listeners.push_back(std::move(*listener));
        return {};
    }

    task<bool> confirm_servers()
    {
        const bool are_confirmed =
            co_await this->link->confirm_servers(confirm_servers_timeout);
        if (are_confirmed && this->publication_scheduled)
        {
            this->state.publish_servers();
        }
        co_return are_confirmed;
    }

    /// Publishes new servers together, since each publication goes over all servers.
    /// Servers that leave are published at once.
    void schedule_publication()
    {
        if (this->publication_scheduled)
        {
            return;
        }
        this->publication_scheduled = true;
        spawn(this->loop,
              [this]() -> task<void>
              {
                  co_await pause_for(this->loop, publish_delay);
                  this->publication_scheduled = false;
                  this->state.publish_servers();
              });
    }

    /// Fetches a newer configuration that a peer has, unless one is being fetched.
    void fetch_configuration(std::uint64_t version, const std::string& address)
    {
        const time_point now = boot_now();
        if (this->is_fetching_configuration ||
            now - this->last_configuration_fetch_at <
                duration(min_configuration_fetch_interval))
        {
            return;
        }
        this->is_fetching_configuration = true;
        spawn(this->loop,
              [this, version, address]() -> task<void>
              {
                  co_await this->fetch_configuration_from(version, address);
                  this->is_fetching_configuration = false;
                  this->last_configuration_fetch_at = boot_now();
              });
    }

    /// Waits for the feed, which usually brings a new version. A copy of a document that
    /// the feed is receiving would only take a part of its link.
    /// \returns whether the version is in force.
    task<bool> wait_for_feed(std::uint64_t version)
    {
        const time_point until =
            boot_now() + (this->state.routing ? duration(feed_patience)
                                              : duration(first_feed_patience));
        const auto has_version = [this, version]
        { return this->state.routing && this->state.routing->version() >= version; };
        while (!has_version() &&
               (boot_now() < until || this->link->is_receiving_configuration()))
        {
            co_await pause_for(this->loop, feed_poll_interval);
        }
        co_return has_version();
    }

    /// Returns the configuration document of another entry. A failure is logged.
    task<std::optional<std::string>> call_peer(std::string address)
    {
        std::string head = "GET " + std::string(peer_handler::configuration_path) + "?" +
                           transfer_parameter({}) + " HTTP/1.1\r\nHost: " + address +
                           "\r\n\r\n";
        auto answer = co_await call_entry(this->state, address, std::move(head),
                                          peer_call_timeout, max_peer_transfer_time);
        if (answer.end != io_outcome::good || answer.head.status != status_ok)
        {
            log_line(log_level::info, "entry did not answer",
                     {{"peer", address},
                      {"path", peer_handler::configuration_path},
                      {"end", to_string(answer.end)},
                      {"bytes", static_cast<std::int64_t>(answer.received_bytes)}});
            co_return std::nullopt;
        }
        auto document = decode_transfer(answer.head, std::move(answer.body), {},
                                        max_configuration_bytes);
        if (!document)
        {
            log_error("configuration of entry ignored", document.error());
            co_return std::nullopt;
        }
        co_return std::move(*document);
    }

    task<void> fetch_configuration_from(std::uint64_t version, std::string address)
    {
        if (co_await this->wait_for_feed(version))
        {
            co_return;
        }
        auto document = co_await this->call_peer(address);
        if (!document)
        {
            this->link->refresh_configuration();
            co_return;
        }
        auto table = this->link->decode(*document);
        if (!table)
        {
            log_error("configuration of entry ignored", table.error());
            co_return;
        }
        this->take_configuration(std::move(*table), std::move(*document));
    }

    task<void> handle_signals()
    {
        for (;;)
        {
            io_error fault;
            const int signal = co_await this->signals.async_wait(store_error_in(fault));
            if (fault)
            {
                co_return;
            }
            if (signal == SIGHUP)
            {
                this->reload("signal");
                continue;
            }
            if (!this->state.draining())
            {
                this->state.stop.emplace(boot_now(), this->state.settings.grace -
                                                         duration(exit_margin));
                log_line(log_level::info, "draining",
                         {{"signal", std::int64_t{signal}},
                          {"requests", static_cast<std::int64_t>(
                                           this->pipeline.open_request_count())}});
                spawn(this->loop, [this]() -> task<void> { co_await this->drain(); });
            }
        }
    }

    /// Keeps serving until the platform has moved callers away and all requests have
    /// ended. Those that are open at the end are answered or visibly cut.
    task<void> drain()
    {
        const stop_schedule& stop = *this->state.stop;
        this->state.digest_due.notify();
        while (boot_now() < stop.ends_at())
        {
            co_await pause_for(this->loop, 50ms);
            if (stop.callers_moved(boot_now()) && this->callers->close_idle() == 0)
            {
                break;
            }
        }
        const duration drained_after = boot_now() - stop.started_at();
        this->pipeline.log_cut_requests();
        this->requests_cut = this->pipeline.interrupt_open_requests();
        const time_point answered_by = boot_now() + duration(last_answers_time);
        while (this->pipeline.open_request_count() > 0 && boot_now() < answered_by)
        {
            co_await pause_for(this->loop, 5ms);
        }
        this->pipeline.abort_open_requests();
        this->callers->stop_accepting();
        this->link->stop();
        if (this->state.store_reachable)
        {
            co_await write_usage(this->state, *this->link);
        }
        co_await this->link->deregister();
        log_line(this->requests_cut == 0 ? log_level::info : log_level::warning,
                 "stopped",
                 {{"requests_cut", static_cast<std::int64_t>(this->requests_cut)},
                  {"drained_ms", whole_milliseconds(drained_after)},
                  {"took_ms", whole_milliseconds(boot_now() - stop.started_at())}});
        this->loop.stop();
    }

    task<void> run_cleanup()
    {
        for (;;)
        {
            // A server is kept for nearly as long as requests may reach one that is gone,
            // so it is dropped on time rather than at the end of the interval.
            const duration until_expiry =
                this->state.directory.next_expiry() - boot_now();
            co_await pause_for(
                this->loop,
                std::clamp<duration>(until_expiry, min_cleanup_pause, cleanup_interval));
            this->state.pool.close_expired();
            if (this->state.directory.expire(boot_now()))
            {
                this->state.publish_servers();
            }
            apply_evacuation_changes(this->state,
                                     this->state.evacuated_domains.expire(boot_now()),
                                     true, "store restored");
        }
    }

    task<void> update_paces()
    {
        for (;;)
        {
            co_await pause_for(this->loop, pace_update_interval);
            this->state.returning.update(boot_now());
        }
    }

    task<void> watch_settings()
    {
        for (;;)
        {
            co_await pause_for(this->loop, settings_poll_interval);
            this->reload("file");
        }
    }

    /// Reads the settings file again and applies what may change at run time; addresses
    /// don't change.
    void reload(std::string_view cause)
    {
        if (this->settings_file.empty())
        {
            return;
        }
        const auto next = gateway_settings::load(this->settings_file);
        if (!next)
        {
            log_error("settings left as they are", next.error(), {{"cause", cause}});
            return;
        }
        const bool changed = !(next->ledger == this->state.settings.ledger) ||
                             next->grace != this->state.settings.grace;
        if (changed || cause == "signal")
        {
            log_line(log_level::info, "settings loaded",
                     {{"cause", cause}, {"changed", changed}});
        }
        this->state.settings.grace = next->grace;
        if (changed)
        {
            this->state.settings.ledger = next->ledger;
            this->state.ledger.set_options(next->ledger);
            if (this->state.routing)
            {
                this->state.ledger.set_routing(*this->state.routing, boot_now());
            }
        }
    }

    event_loop loop{1};
    entry_state state;
    std::string settings_file;
    request_pipeline pipeline;
    readiness_handler readiness;
    metrics_handler metrics;
    std::unique_ptr<platform_link> link;
    std::unique_ptr<quarantine_keeper> keeper;
    peer_handler peer_requests;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<origin_exchange> stream_search;
    std::unique_ptr<caller_listener> callers;
    std::vector<std::unique_ptr<caller_listener>> listeners;
    asio::basic_signal_set<loop_executor> signals;
    bool publication_scheduled = false;
    bool stored_version_is_behind = false;
    std::size_t requests_cut = 0;
    time_point last_configuration_fetch_at{};
    bool is_fetching_configuration = false;
    std::map<std::string, double> links_mbps; ///< Of the listed entries, by name.
};

} // namespace

result<int> run_entry(const gateway_settings& settings, const std::string& settings_file,
                      entry_environment& environment)
{
    // The wall clock may stand still or jump between two starts. Both together are
    // unlikely to produce the same value twice.
    const auto incarnation =
        static_cast<std::uint64_t>(boot_clock{}.wall_now().time_since_epoch().count());
    // Never destroyed, since coroutines of requests that were cut off still refer to it.
    auto* const service =
        new entry_service(settings, settings_file, incarnation, environment);
    if (auto opened = service->open_listeners(); !opened)
    {
        return tl::unexpected<error>(opened.error());
    }
    log_line(log_level::info, "started",
             {{"callers", settings.callers},
              {"store", settings.store},
              {"incarnation", static_cast<std::int64_t>(incarnation)}});
    return service->run();
}

} // namespace agateseam
