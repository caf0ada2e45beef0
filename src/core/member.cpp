#include <agateseam/member.hpp>

namespace agateseam
{

bool member::apply_report(const load_report& report, time_point now)
{
    const std::uint64_t current_incarnation = this->incarnation;
    const bool newer =
        report.incarnation > current_incarnation ||
        (report.incarnation == current_incarnation && report.sequence > this->sequence);
    if (!newer)
    {
        return false;
    }
    this->incarnation = report.incarnation;
    this->sequence = report.sequence;
    if (!this->has_reported)
    {
        this->kind = report.kind;
        this->pool = report.pool;
    }
    this->slots = report.slots;
    this->used = report.used;
    this->queued = report.queued;
    this->queued_tokens = report.queued_tokens;
    this->tokens_per_second = report.tokens_per_second;
    this->leaving = report.leaving || this->leaving_in_vm_list;
    this->sent_since_report = 0;
    this->sent_tokens_since_report = 0;
    this->last_report_at = now.time_since_epoch().count();
    this->silent = false;
    this->has_reported = true;
    return true;
}

} // namespace agateseam
