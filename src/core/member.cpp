#include <agateseam/member.hpp>

namespace agateseam
{

bool member::take(const load_report& report, time_point now)
{
    const std::uint64_t known_incarnation = this->incarnation;
    const bool newer =
        report.incarnation > known_incarnation ||
        (report.incarnation == known_incarnation && report.sequence > this->sequence);
    if (!newer)
    {
        return false;
    }
    this->incarnation = report.incarnation;
    this->sequence = report.sequence;
    if (!this->known)
    {
        this->kind = report.kind;
        this->pool = report.pool;
    }
    this->slots = report.slots;
    this->used = report.used;
    this->queued = report.queued;
    this->queued_tokens = report.queued_tokens;
    this->tokens_per_second = report.tokens_per_second;
    this->leaving = report.leaving || this->listed_leaving;
    this->sent = 0;
    this->sent_tokens = 0;
    this->heard = now.time_since_epoch().count();
    this->silent = false;
    this->known = true;
    return true;
}

} // namespace agateseam
