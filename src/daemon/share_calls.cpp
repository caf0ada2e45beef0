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
constexpr milliseconds connect_timeout_limit{200};
constexpr milliseconds call_timeout{500};
constexpr int status_ok = 200;

} // namespace

job_queue::job_queue(unsigned threads)
{
    for (unsigned index = 0; index < threads; ++index)
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
        const std::scoped_lock lock(this->mutex);
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
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
        this->jobs.clear();
    }
    this->wake.notify_all();
    for (std::thread& worker : this->workers)
    {
        if (worker.joinable())
        {
            worker.join();
        }
    }
}

void job_queue::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        if (this->jobs.empty())
        {
            this->wake.wait(lock);
            continue;
        }
        const auto job = std::move(this->jobs.front());
        this->jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
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

void share_calls::set_addresses(std::map<std::string, std::string> by_vm)
{
    const std::scoped_lock lock(this->mutex);
    this->addresses = std::move(by_vm);
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
        const std::scoped_lock lock(this->mutex);
        const auto found = this->addresses.find(vm);
        if (found == this->addresses.end())
        {
            return fail(error_code::not_found, name, vm, "the entry is not listed");
        }
        address = found->second;
    }
    const auto send_request = [&](const std::string& request, std::string& answer)
    {
        http_call post;
        post.method = "POST";
        post.url = "http://" + address + "/rpc";
        post.headers = {{std::string(headers::fleet), this->fleet_secret},
                        {"Content-Type", "application/json"}};
        post.body = request;
        post.connect_timeout = connect_timeout_limit;
        post.total_timeout = call_timeout;
        post.step = name;
        const auto reply = this->http->fetch(std::move(post));
        if (!reply || reply->status != status_ok)
        {
            return false;
        }
        answer = reply->body;
        return true;
    };
    std::string answer;
    if (!jsonrpc_client::create(send_request)->call(name, parameters, answer))
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
            const auto reply_text = this->call(vm, "share.report", text);
            const auto answer = reply_text.and_then(
                [](const std::string& reply) { return parse_share_answer(reply); });
            done(answer ? std::optional(*answer) : std::nullopt);
        });
}

void share_calls::send_census(const std::string& vm, const share_census& census,
                              census_callback done)
{
    this->peer_jobs.add(
        [this, vm, text = to_text(census), done = std::move(done)]
        {
            const auto reply_text = this->call(vm, "share.census", text);
            const auto answer =
                reply_text.and_then([](const std::string& reply)
                                    { return parse_share_census_answer(reply); });
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
