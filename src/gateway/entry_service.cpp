#include <gateway/entry_service.hpp>

#include <csignal>

#include <boost/asio/signal_set.hpp>

#include <gateway/digest_codec.hpp>
#include <gateway/engine_calls.hpp>
#include <gateway/engine_reports.hpp>
#include <gateway/entry_handlers.hpp>
#include <gateway/usage_recorder.hpp>
#include <transport/caller_listener.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr auto tidy_every = 250ms;
constexpr auto settings_every = 2'000ms; ///< A settings file may change without a signal.
/// The platform asks once a second and takes an entry out after two misses.
constexpr auto moved_away_after = 2'500ms;
/// Kept of the grace for the exit itself.
constexpr auto exit_time = 500ms;
constexpr auto refresh_again = 300ms;
/// Servers that come are published together after this; they have seconds of life.
constexpr auto publish_pause = 10ms;
constexpr auto entry_call_time = 1'000ms;
/// Work for a leaving server is bounded by some seconds: a list this old is in time.
constexpr auto servers_from_entry_every = 500ms;

class entry_service final : public platform_listener
{
  public:
    entry_service(const gateway_settings& settings, std::string chosen_file,
                  std::uint64_t incarnation, entry_environment& environment)
        : state(this->loop, settings, incarnation)
        , file(std::move(chosen_file))
        , pipeline(this->state)
        , readiness(this->state)
        , metrics(this->state)
        , peer_requests(this->state)
        , signals(this->loop)
    {
        this->state.dialect = environment.make_dialect();
        this->link = environment.make_link(this->loop, settings, incarnation, *this);
    }

    result<void> open()
    {
        const gateway_settings& settings = this->state.settings;
        auto exchange = peer_exchange::create(
            this->state, [this](std::uint64_t version, const std::string& address)
            { this->fetch_configuration(version, address); });
        if (!exchange)
        {
            return tl::unexpected<error>(exchange.error());
        }
        this->peers = std::move(*exchange);
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
        spawn(this->loop, [this]() -> task<void> { co_await this->follow_signals(); });
        spawn(this->loop, [this]() -> task<void> { co_await this->tidy(); });
        spawn(this->loop, [this]() -> task<void> { co_await this->watch_settings(); });
        spawn(this->loop,
              [this]() -> task<void> { co_await ask_for_reports(this->state); });
        spawn(this->loop,
              [this]() -> task<void> { co_await this->follow_entries_servers(); });
        spawn(this->loop,
              [this]() -> task<void>
              { co_await record_usage(this->state, *this->link); });
        this->link->start();
        this->loop.run();
        return this->cut == 0 ? 0 : 1;
    }

    void on_configuration(std::shared_ptr<const routing_table> table,
                          std::string document) override
    {
        const std::uint64_t own =
            this->state.routing ? this->state.routing->version() : 0;
        if (table->version() <= own)
        {
            return;
        }
        const time_point now = boot_now();
        this->state.routing = std::move(table);
        this->state.routing_document = std::move(document);
        this->state.routing_at = now;
        this->state.ledger.set_routing(*this->state.routing, now);
        this->publish_servers();
        this->state.news.notify();
        log_line(log_level::info, "configuration in force",
                 {{"version", static_cast<std::int64_t>(this->state.routing->version())},
                  {"before", static_cast<std::int64_t>(own)}});
    }

    void on_servers(std::vector<backend_server> servers, bool after_outage) override
    {
        log_line(log_level::info, "backend servers listed",
                 {{"servers", static_cast<std::int64_t>(servers.size())},
                  {"from", this->state.store_reached ? "store" : "entry"},
                  {"after_outage", after_outage}});
        this->state.directory.replace(std::move(servers), after_outage, boot_now());
        this->servers_known = true;
        this->publish_servers();
    }

    void on_server(backend_server server) override
    {
        log_line(log_level::info, "backend server changed",
                 {{"server", server.id},
                  {"address", server.address},
                  {"leaving", server.leaving}});
        const bool leaving = server.leaving;
        this->state.directory.put(std::move(server));
        if (leaving)
        {
            this->publish_servers();
            return;
        }
        this->publish_soon();
    }

    void on_server_gone(std::string_view id, bool after_outage) override
    {
        log_line(log_level::info, "backend server gone",
                 {{"server", id}, {"after_outage", after_outage}});
        this->state.directory.remove(id, after_outage, boot_now());
        this->publish_servers();
    }

    void on_entries(std::vector<registered_entry> entries) override
    {
        this->peers->set_entries(entries);
    }

    void on_store_reach(bool reached, std::string_view reason) override
    {
        this->state.store_reached = reached;
        this->reach_changed_at = boot_now();
        log_line(reached ? log_level::info : log_level::warning,
                 reached ? "platform store reached again" : "platform store out of reach",
                 {{"reason", reason}});
    }

  private:
    result<void> listen(const std::string& address, caller_handler& handler)
    {
        auto made = caller_listener::create(this->loop, address, handler);
        if (!made)
        {
            return tl::unexpected<error>(made.error());
        }
        this->listeners.push_back(std::move(*made));
        return {};
    }

    /// Servers that come are published together, as each publication goes over all of
    /// them; those that leave are published at once.
    void publish_soon()
    {
        if (this->publication_due)
        {
            return;
        }
        this->publication_due = true;
        spawn(this->loop,
              [this]() -> task<void>
              {
                  co_await pause_for(this->loop, publish_pause);
                  this->publication_due = false;
                  this->publish_servers();
              });
    }

    void publish_servers()
    {
        if (!this->servers_known)
        {
            return;
        }
        this->state.backends = this->state.directory.usable();
        if (!this->state.routing)
        {
            return;
        }
        for (const service_properties& service : this->state.routing->services())
        {
            if (service.engine)
            {
                engine_service& engines = this->state.engines(service.name);
                engines.board.set_terms(*service.engine);
                engines.board.set_servers(this->state.servers_of(service.name));
                engines.changed.notify();
            }
        }
    }

    /// A peer has a newer configuration: ask the store, and the peer as well, since the
    /// store may turn this entry away.
    void fetch_configuration(std::uint64_t version, const std::string& address)
    {
        const time_point now = boot_now();
        if (now - this->fetched_at < duration(refresh_again))
        {
            return;
        }
        this->fetched_at = now;
        this->link->refresh_configuration();
        spawn(this->loop,
              [this, version, address]() -> task<void>
              { co_await this->fetch_from(version, address); });
    }

    /// Asks another entry; nothing on any fault, which is logged.
    task<std::optional<std::string>> ask_entry(std::string_view path, std::string address)
    {
        std::string head =
            "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
        auto answer = co_await call_engine(this->state, address, std::move(head), nullptr,
                                           "", boot_now() + entry_call_time, nullptr);
        if (answer.end != io_outcome::good || answer.head.status != status_ok)
        {
            log_line(log_level::info, "entry did not answer",
                     {{"peer", address}, {"path", path}, {"end", to_string(answer.end)}});
            co_return std::nullopt;
        }
        co_return std::move(answer.body);
    }

    /// While the store turns this entry away, another entry's list of servers is used.
    task<void> follow_entries_servers()
    {
        for (;;)
        {
            co_await pause_for(this->loop, servers_from_entry_every);
            const bool out_of_reach =
                !this->state.store_reached &&
                boot_now() - this->reach_changed_at >= duration(servers_from_entry_every);
            const std::string address = this->peers->any_peer();
            std::optional<std::string> body;
            if (out_of_reach && !address.empty())
            {
                body = co_await this->ask_entry(peer_handler::servers_path, address);
            }
            if (body)
            {
                this->take_servers(*body);
            }
        }
    }

    void take_servers(std::string_view body)
    {
        auto report = decode_servers(body);
        if (!report)
        {
            log_error("entry's servers left out", report.error());
            return;
        }
        if (report->store_reached && !this->state.store_reached)
        {
            this->on_servers(std::move(report->servers), true);
        }
    }

    task<void> fetch_from(std::uint64_t version, std::string address)
    {
        // The store's answer is the shorter way where it comes.
        co_await pause_for(this->loop, 100ms);
        if (this->state.routing && this->state.routing->version() >= version)
        {
            co_return;
        }
        auto document =
            co_await this->ask_entry(peer_handler::configuration_path, address);
        if (!document)
        {
            co_return;
        }
        auto table = this->link->decode(*document);
        if (!table)
        {
            log_error("entry's configuration left out", table.error());
            co_return;
        }
        this->on_configuration(std::move(*table), std::move(*document));
    }

    task<void> follow_signals()
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
            if (!this->state.draining)
            {
                this->state.draining = true;
                log_line(
                    log_level::info, "draining",
                    {{"signal", std::int64_t{signal}},
                     {"requests", static_cast<std::int64_t>(this->pipeline.open())}});
                spawn(this->loop, [this]() -> task<void> { co_await this->drain(); });
            }
        }
    }

    /// Serves on until the platform has moved callers away and all work has ended.
    task<void> drain()
    {
        const time_point begun = boot_now();
        const time_point last = begun + this->state.settings.grace - duration(exit_time);
        this->state.drain_until = last;
        this->state.news.notify();
        while (boot_now() < last)
        {
            co_await pause_for(this->loop, 50ms);
            const bool moved = boot_now() - begun >= duration(moved_away_after);
            if (moved && this->callers->close_idle() == 0)
            {
                break;
            }
        }
        this->callers->stop_accepting();
        this->cut = this->pipeline.open();
        this->link->stop();
        if (this->state.store_reached)
        {
            co_await write_usage(this->state, *this->link);
        }
        co_await this->link->deregister();
        log_line(this->cut == 0 ? log_level::info : log_level::warning, "stopped",
                 {{"requests_cut", static_cast<std::int64_t>(this->cut)}});
        this->loop.stop();
    }

    task<void> tidy()
    {
        for (;;)
        {
            co_await pause_for(this->loop, tidy_every);
            this->state.pool.close_expired();
            if (this->state.directory.expire(boot_now()))
            {
                this->publish_servers();
            }
        }
    }

    task<void> watch_settings()
    {
        for (;;)
        {
            co_await pause_for(this->loop, settings_every);
            this->reload("file");
        }
    }

    /// Takes over what may change while running; addresses stay as they are.
    void reload(std::string_view cause)
    {
        if (this->file.empty())
        {
            return;
        }
        const auto next = gateway_settings::load(this->file);
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
    std::string file;
    request_pipeline pipeline;
    readiness_handler readiness;
    metrics_handler metrics;
    peer_handler peer_requests;
    std::unique_ptr<platform_link> link;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<caller_listener> callers;
    std::vector<std::unique_ptr<caller_listener>> listeners;
    asio::basic_signal_set<loop_executor> signals;
    bool servers_known = false;
    bool publication_due = false;
    std::size_t cut = 0;
    time_point fetched_at{};
    time_point reach_changed_at{};
};

} // namespace

result<int> run_entry(const gateway_settings& settings, const std::string& settings_file,
                      entry_environment& environment)
{
    // The clock may stand or jump between two starts; both together hardly repeat.
    const auto incarnation =
        static_cast<std::uint64_t>(boot_clock{}.wall_now().time_since_epoch().count());
    // Never destroyed: at the end coroutines of cut requests still refer to it.
    auto* const service =
        new entry_service(settings, settings_file, incarnation, environment);
    if (auto opened = service->open(); !opened)
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
