#include <daemon/share_calls.hpp>

#include <daemon/messages.hpp>
#include <daemon/share_codec.hpp>
#include <net/jsonrpc_facade.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned peer_threads = 4;
constexpr unsigned store_threads = 1;
constexpr milliseconds connect_limit{200};
constexpr milliseconds call_limit{500};
constexpr int status_ok = 200;

} // namespace

job_queue::job_queue(unsigned threads)
{
    for (unsigned each = 0; each < threads; ++each)
    {
        this->workers.emplace_back([this] { this->run(); });
    }
}

job_queue::~job_queue()
{
    this->stop();
}

void job_queue::add(std::function<void()> job)
{
    {
        const std::scoped_lock hold(this->mutex);
        if (this->stopping)
        {
            return;
        }
        this->jobs.push_back(std::move(job));
    }
    this->wake.notify_one();
}

void job_queue::stop()
{
    {
        const std::scoped_lock hold(this->mutex);
        this->stopping = true;
        this->jobs.clear();
    }
    this->wake.notify_all();
    for (std::thread& each : this->workers)
    {
        if (each.joinable())
        {
            each.join();
        }
    }
}

void job_queue::run()
{
    std::unique_lock hold(this->mutex);
    while (!this->stopping)
    {
        if (this->jobs.empty())
        {
            this->wake.wait(hold);
            continue;
        }
        const auto job = std::move(this->jobs.front());
        this->jobs.pop_front();
        hold.unlock();
        job();
        hold.lock();
    }
}

share_calls::share_calls(std::string secret, http_client& client, object_store& store)
    : fleet_secret(std::move(secret))
    , http(&client)
    , objects(&store)
    , peer_jobs(peer_threads)
    , store_jobs(store_threads)
{
}

void share_calls::set_addresses(std::map<std::string, std::string> known)
{
    const std::scoped_lock hold(this->mutex);
    this->addresses = std::move(known);
}

void share_calls::stop()
{
    this->peer_jobs.stop();
    this->store_jobs.stop();
}

result<std::string> share_calls::call(const std::string& vm, const std::string& name,
                                      const std::string& parameters)
{
    std::string address;
    {
        const std::scoped_lock hold(this->mutex);
        const auto found = this->addresses.find(vm);
        if (found == this->addresses.end())
        {
            return fail(error_code::not_found, name, vm, "the entry is not listed");
        }
        address = found->second;
    }
    const auto carry = [&](const std::string& request, std::string& answer)
    {
        http_call sent;
        sent.method = "POST";
        sent.url = "http://" + address + "/rpc";
        sent.headers = {{std::string(headers::fleet), this->fleet_secret},
                        {"Content-Type", "application/json"}};
        sent.body = request;
        sent.connect_timeout = connect_limit;
        sent.total_timeout = call_limit;
        sent.step = name;
        const auto reply = this->http->fetch(std::move(sent));
        if (!reply || reply->status != status_ok)
        {
            return false;
        }
        answer = reply->body;
        return true;
    };
    std::string answer;
    if (!jsonrpc_client::create(carry)->call(name, parameters, answer))
    {
        return fail(error_code::unavailable, name, vm, "the call brought no result");
    }
    return answer;
}

void share_calls::send_report(const std::string& vm, const share_report& report,
                              answer_callback done)
{
    this->peer_jobs.add(
        [this, vm, text = to_text(report), done = std::move(done)]
        {
            const auto text_back = this->call(vm, "share.report", text);
            const auto answer = text_back.and_then([](const std::string& back)
                                                   { return parse_share_answer(back); });
            done(answer ? std::optional(*answer) : std::nullopt);
        });
}

void share_calls::send_census(const std::string& vm, const share_census& census,
                              census_callback done)
{
    this->peer_jobs.add(
        [this, vm, text = to_text(census), done = std::move(done)]
        {
            const auto text_back = this->call(vm, "share.census", text);
            const auto answer = text_back.and_then(
                [](const std::string& back) { return parse_share_census_answer(back); });
            done(answer ? std::optional(*answer) : std::nullopt);
        });
}

void share_calls::read_record(std::uint32_t shard, read_callback done)
{
    this->store_jobs.add(
        [this, shard, done = std::move(done)]
        {
            const auto found = this->objects->get(shard_home_record_key(shard));
            if (!found && found.error().code == error_code::not_found)
            {
                done(stored_shard_home_record{});
                return;
            }
            if (!found)
            {
                done(tl::unexpected<error>(found.error()));
                return;
            }
            const auto record = parse_shard_home_record(found->value);
            if (!record)
            {
                done(tl::unexpected<error>(record.error()));
                return;
            }
            done(stored_shard_home_record{*record, found->version});
        });
}

void share_calls::write_record(std::uint32_t shard, const shard_home_record& record,
                               std::uint64_t expected_version, write_callback done)
{
    this->store_jobs.add(
        [this, shard, record, expected_version, done = std::move(done)]
        {
            done(this->objects->put(shard_home_record_key(shard), to_text(record),
                                    expected_version));
        });
}

} // namespace agateseam
