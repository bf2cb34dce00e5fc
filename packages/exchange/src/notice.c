#include "notice.h"

/* Instances come back by chance within this share of the pause, and at most
   within this time. */
#define _NT_SPREAD 0.25
#define _NT_SPREAD_MOST_US 500000
/* A request that tries the server is taken for lost after this time, and the
   next one may. */
#define _NT_TRIAL_US 1000000

/* -- private -------------------------------------------------------------- */

static bool
_nt_waits_for_trial(const nt_notice *notice, uint64_t now_us)
{
    return notice->trial_us && now_us < notice->trial_us + _NT_TRIAL_US;
}

static uint32_t
_nt_leave(nt_notice *notice, nt_source source, uint64_t now_us)
{
    if (notice->disbelieved) {
        return 0;
    }
    bool left_before = nt_query_leaving(notice);
    if (!left_before) {
        notice->leaving_us = now_us;
    }
    notice->leaving = MAX(notice->leaving, source);
    if (notice->said_us == 0) {
        notice->said_us = now_us;
    }
    notice->word_us = now_us;
    return left_before ? 0 : NT_LEAVES;
}

static uint32_t
_nt_pause(nt_notice *notice, const nt_rules *rules, uint64_t pause_ms,
          uint64_t now_us)
{
    bool capped = pause_ms > rules->pause_most_us / 1000;
    uint64_t pause_us = capped ? rules->pause_most_us : pause_ms * 1000;
    uint64_t spread_us =
        MIN((uint64_t)((double)pause_us * _NT_SPREAD), _NT_SPREAD_MOST_US);
    uint64_t by_chance_us =
        (uint64_t)(g_rand_double(rules->random) * (double)spread_us);
    bool paused_before = notice->paused_us != 0;
    if (!paused_before) {
        notice->paused_us = now_us;
    }
    notice->reopens_us =
        MAX(notice->reopens_us, now_us + pause_us + by_chance_us);
    notice->trial_us = 0;
    return (paused_before ? 0 : NT_PAUSES) | (capped ? NT_CAPPED : 0);
}

/* -- public --------------------------------------------------------------- */

void
nt_reset(nt_notice *notice)
{
    *notice = (nt_notice){0};
}

uint32_t
nt_hear(nt_notice *notice, const nt_rules *rules, const dl_notice *said,
        uint64_t now_us)
{
    uint32_t changes = said->unreadable && !notice->unread ? NT_UNREAD : 0;
    notice->unread = notice->unread || said->unreadable;
    if (said->leaving) {
        changes |= _nt_leave(notice, NT_ANSWER, now_us);
    }
    if (said->pause_ms) {
        return changes | _nt_pause(notice, rules, said->pause_ms, now_us);
    }
    if (notice->paused_us && now_us >= notice->reopens_us) {
        notice->paused_us = 0;
        notice->reopens_us = 0;
        notice->trial_us = 0;
        changes |= NT_RESUMES;
    }
    return changes;
}

uint32_t
nt_hear_peer(nt_notice *notice, uint64_t now_us)
{
    return _nt_leave(notice, NT_PEER, now_us);
}

void
nt_take_entry(nt_notice *notice, bool ready, uint64_t version)
{
    notice->ready = ready ? version : 0;
    if (!ready && !nt_query_leaving(notice)) {
        notice->leaving = NT_LIST;
    }
    else if (ready && notice->leaving == NT_LIST) {
        notice->leaving = NT_SOURCE_DEFAULT;
        notice->leaving_us = 0;
    }
}

void
nt_note_store(nt_notice *notice, uint64_t version, uint64_t asked_us)
{
    if (nt_query_said_leaving(notice) && notice->floor == 0 &&
        asked_us > notice->said_us) {
        notice->floor = version;
    }
}

void
nt_disbelieve(nt_notice *notice)
{
    notice->leaving = NT_SOURCE_DEFAULT;
    notice->leaving_us = 0;
    notice->disbelieved = true;
}

void
nt_begin(nt_notice *notice, uint64_t now_us)
{
    if (notice->paused_us && now_us >= notice->reopens_us) {
        notice->trial_us = now_us;
    }
}

void
nt_end_unheard(nt_notice *notice)
{
    notice->trial_us = 0;
}

bool
nt_query_leaving(const nt_notice *notice)
{
    return notice->leaving != NT_SOURCE_DEFAULT;
}

bool
nt_query_said_leaving(const nt_notice *notice)
{
    return notice->leaving == NT_PEER || notice->leaving == NT_ANSWER;
}

bool
nt_query_paused(const nt_notice *notice, uint64_t now_us)
{
    return notice->paused_us && (now_us < notice->reopens_us ||
                                 _nt_waits_for_trial(notice, now_us));
}

bool
nt_query_open(const nt_notice *notice, uint64_t now_us)
{
    return !nt_query_leaving(notice) && !nt_query_paused(notice, now_us);
}

uint64_t
nt_query_back_us(const nt_notice *notice, uint64_t now_us)
{
    return MAX(notice->paused_us ? notice->reopens_us : 0, now_us);
}

bool
nt_query_contradicted(const nt_notice *notice, const nt_rules *rules,
                      uint64_t list_us)
{
    return nt_query_said_leaving(notice) && notice->floor &&
           notice->ready > notice->floor &&
           list_us >= notice->word_us + rules->drain_us;
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
