#include <agateseam/placement.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

bool is_candidate(const member& agent, const placement_request& request,
                  backend_kind kind)
{
    return agent.usable() && agent.kind == kind && agent.pool == request.pool &&
           std::find(request.excluded_vms.begin(), request.excluded_vms.end(),
                     agent.vm) == request.excluded_vms.end();
}

std::uint64_t load_of(const member& agent)
{
    if (agent.kind == backend_kind::prefill)
    {
        return agent.queued_tokens + agent.sent_tokens_since_report;
    }
    return std::uint64_t{agent.used} + agent.queued + agent.sent_since_report;
}

class least_load_placement final : public placement
{
  public:
    [[nodiscard]] result<placement_choice> choose(const placement_request& request,
                                                  const member_list& members,
                                                  const policy_config&) override
    {
        placement_choice choice;
        choice.decode = this->least_loaded(request, members, backend_kind::decode);
        choice.prefill = this->least_loaded(request, members, backend_kind::prefill);
        if (!choice.decode || !choice.prefill)
        {
            return fail(error_code::exhausted, "place", "",
                        "no agent can take the request");
        }
        ++choice.decode->sent_since_report;
        choice.prefill->sent_tokens_since_report += request.prompt_tokens;
        return choice;
    }

    [[nodiscard]] result<std::shared_ptr<member>>
    choose_service(const placement_request& request, const member_list& members) override
    {
        auto chosen = this->least_loaded(request, members, backend_kind::service);
        if (!chosen)
        {
            return fail(error_code::exhausted, "place", "",
                        "no agent can take the request");
        }
        ++chosen->sent_since_report;
        return chosen;
    }

  private:
    [[nodiscard]] static std::shared_ptr<member>
    least_loaded(const placement_request& request, const member_list& members,
                 backend_kind kind)
    {
        std::shared_ptr<member> best;
        for (const auto& agent : members.all)
        {
            if (is_candidate(*agent, request, kind) &&
                (!best || load_of(*agent) < load_of(*best)))
            {
                best = agent;
            }
        }
        return best;
    }
};

} // namespace

std::unique_ptr<placement> make_least_load_placement()
{
    return std::make_unique<least_load_placement>();
}

} // namespace agateseam
