#include "notice.h"

/* Random time added to a pause, so that not all instances return at once: up
   to this share of the pause, and no more than _NT_MAX_JITTER_US. */
#define _NT_JITTER_RATIO 0.25
#define _NT_MAX_JITTER_US 500000
/* A probe without an answer counts as lost after this time; then another
   request may probe the server. */
#define _NT_PROBE_TIMEOUT_US 1000000

/* -- private -------------------------------------------------------------- */

static bool
_nt_is_probe_in_flight(const nt_notice *notice, uint64_t now_us)
{
    return notice->probe_sent_us &&
           now_us < notice->probe_sent_us + _NT_PROBE_TIMEOUT_US;
}

/* Records that the server itself reported leaving, to this instance or to
   another one. */
static uint32_t
_nt_apply_leaving(nt_notice *notice, nt_source source, uint64_t now_us)
{
    if (notice->leaving_ignored) {
        return 0;
    }
    bool left_before = nt_query_leaving(notice);
    if (!left_before) {
        notice->leaving_us = now_us;
    }
    notice->leaving = MAX(notice->leaving, source);
    if (notice->first_notice_us == 0) {
        notice->first_notice_us = now_us;
    }
    notice->last_notice_us = now_us;
    return left_before ? 0 : NT_STARTED_LEAVING;
}

/* Applies a pause to a record; one that ends earlier than the current one has
   no effect on its end. A pending probe counts as rejected. */
static uint32_t
_nt_apply_pause(nt_notice *notice, const nt_rules *rules, uint64_t pause_ms,
                uint64_t now_us)
{
    bool capped = pause_ms > rules->max_pause_us / 1000;
    uint64_t pause_us = capped ? rules->max_pause_us : pause_ms * 1000;
    uint64_t max_jitter_us = MIN(
        (uint64_t)((double)pause_us * _NT_JITTER_RATIO), _NT_MAX_JITTER_US);
    uint64_t jitter_us =
        (uint64_t)(g_rand_double(rules->random) * (double)max_jitter_us);
    bool paused_before = notice->paused_us != 0;
    if (!paused_before) {
        notice->paused_us = now_us;
    }
    notice->paused_until_us =
        MAX(notice->paused_until_us, now_us + pause_us + jitter_us);
    notice->probe_sent_us = 0;
    return (paused_before ? 0 : NT_STARTED_PAUSE) |
           (capped ? NT_PAUSE_CAPPED : 0);
}

/* -- public --------------------------------------------------------------- */

void
nt_reset(nt_notice *notice)
{
    *notice = (nt_notice){0};
}

uint32_t
nt_apply_answer(nt_notice *notice, const nt_rules *rules,
                const dl_notice *reported, uint64_t now_us)
{
    uint32_t changes = reported->unreadable && !notice->had_unreadable
                           ? NT_FIRST_UNREADABLE
                           : 0;
    notice->had_unreadable = notice->had_unreadable || reported->unreadable;
    if (reported->leaving) {
        changes |= _nt_apply_leaving(notice, NT_ANSWER, now_us);
    }
    if (reported->pause_ms) {
        return changes |
               _nt_apply_pause(notice, rules, reported->pause_ms, now_us);
    }
    if (notice->paused_us && now_us >= notice->paused_until_us) {
        notice->paused_us = 0;
        notice->paused_until_us = 0;
        notice->probe_sent_us = 0;
        changes |= NT_RESUMED;
    }
    return changes;
}

uint32_t
nt_apply_peer_report(nt_notice *notice, uint64_t now_us)
{
    return _nt_apply_leaving(notice, NT_PEER, now_us);
}

void
nt_apply_list_entry(nt_notice *notice, bool ready, uint64_t version)
{
    notice->ready_version = ready ? version : 0;
    if (!ready && !nt_query_leaving(notice)) {
        notice->leaving = NT_LIST;
    }
    else if (ready && version && notice->leaving == NT_LIST) {
        notice->leaving = NT_SOURCE_DEFAULT;
        notice->leaving_us = 0;
    }
}

void
nt_note_store_version(nt_notice *notice, uint64_t version, uint64_t asked_us)
{
    if (nt_query_reported_leaving(notice) && notice->store_version == 0 &&
        asked_us > notice->first_notice_us) {
        notice->store_version = version;
    }
}

void
nt_ignore_leaving(nt_notice *notice)
{
    notice->leaving = NT_SOURCE_DEFAULT;
    notice->leaving_us = 0;
    notice->leaving_ignored = true;
}

void
nt_begin_request(nt_notice *notice, uint64_t now_us)
{
    if (notice->paused_us && now_us >= notice->paused_until_us) {
        notice->probe_sent_us = now_us;
    }
}

void
nt_end_unanswered(nt_notice *notice)
{
    notice->probe_sent_us = 0;
}

bool
nt_query_leaving(const nt_notice *notice)
{
    return notice->leaving != NT_SOURCE_DEFAULT;
}

bool
nt_query_reported_leaving(const nt_notice *notice)
{
    return notice->leaving == NT_PEER || notice->leaving == NT_ANSWER;
}

bool
nt_query_paused(const nt_notice *notice, uint64_t now_us)
{
    return notice->paused_us && (now_us < notice->paused_until_us ||
                                 _nt_is_probe_in_flight(notice, now_us));
}

bool
nt_query_available(const nt_notice *notice, uint64_t now_us)
{
    return !nt_query_leaving(notice) && !nt_query_paused(notice, now_us);
}

uint64_t
nt_query_available_us(const nt_notice *notice, uint64_t now_us)
{
    return MAX(notice->paused_us ? notice->paused_until_us : 0, now_us);
}

bool
nt_query_contradicted(const nt_notice *notice, const nt_rules *rules,
                      uint64_t list_us)
{
    return nt_query_reported_leaving(notice) && notice->store_version &&
           notice->ready_version > notice->store_version &&
           list_us >= notice->last_notice_us + rules->drain_us;
}

const char *
nt_query_source_name(nt_source source)
{
    switch (source) {
    case NT_ANSWER:
        return "answer";
    case NT_PEER:
        return "peer";
    case NT_LIST:
        return "list";
    default:
        return "none";
    }
}
