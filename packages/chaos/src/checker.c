/*
 * checker.c: one function per rule, each a scan over all events. Rules that
 * pair two kinds of events compare every pair.
 */
#include "checker.h"

#include <inttypes.h>

struct hk_history {
    GArray *events; /* hk_event */
    GStringChunk *strings;
};

/* All answers and runs of the bookings with one key. */
typedef struct _hk_booking {
    uint32_t runs;
    uint32_t answers;
    uint32_t not_run_refusals;
    const char *text; /* of the first full answer; NULL: none */
    bool has_differing_texts;
} _hk_booking;

/* -- private: findings ---------------------------------------------------- */

static const char *const _hk_violation_names[HK_VIOLATION_NUM] = {
#define HK_NAME(code, name) [code] = name,
    HK_VIOLATIONS(HK_NAME)
#undef HK_NAME
};

static void __attribute__((format(printf, 3, 4)))
_hk_add_finding(hk_report *report, hk_violation violation, const char *format,
                ...)
{
    report->counts[violation]++;
    va_list args;
    va_start(args, format);
    g_autofree char *detail = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(
        report->findings,
        g_strdup_printf("%s: %s", _hk_violation_names[violation], detail));
}

static const hk_event *
_hk_event_at(const hk_history *history, guint i)
{
    return &g_array_index(history->events, hk_event, i);
}

/* -- private: bookings ---------------------------------------------------- */

static _hk_booking *
_hk_find_or_add_booking(GHashTable *bookings, const char *key)
{
    _hk_booking *booking = g_hash_table_lookup(bookings, key);
    if (!booking) {
        booking = g_new0(_hk_booking, 1);
        g_hash_table_insert(bookings, (void *)key, booking);
    }
    return booking;
}

static void
_hk_count_answer(_hk_booking *booking, const hk_event *call)
{
    booking->answers++;
    booking->not_run_refusals += call->outcome == HK_REFUSED && call->not_run;
    if (call->outcome != HK_OUTCOME_DEFAULT) {
        return;
    }
    if (!booking->text) {
        booking->text = call->text;
    }
    else if (g_strcmp0(booking->text, call->text) != 0) {
        booking->has_differing_texts = true;
    }
}

/* A request that was sent again is falsely refused only if every answer says
   not run: one refusal may be true while another request with the key ran. */
static void
_hk_check_booking(hk_report *report, const char *key,
                  const _hk_booking *booking)
{
    if (booking->runs > 1) {
        _hk_add_finding(report, HK_DOUBLED, "key %s ran %u times", key,
                        booking->runs);
    }
    if (booking->text && !booking->runs) {
        _hk_add_finding(report, HK_LOST,
                        "key %s was answered as done but never ran", key);
    }
    if (booking->has_differing_texts) {
        _hk_add_finding(report, HK_DIFFERING,
                        "key %s has two different answers", key);
    }
    if (booking->runs && booking->answers &&
        booking->answers == booking->not_run_refusals) {
        _hk_add_finding(
            report, HK_FALSE_NOT_RUN,
            "key %s: all %u answers say not run, but it ran %u times", key,
            booking->not_run_refusals, booking->runs);
    }
}

static void
_hk_check_bookings(const hk_history *history, hk_report *report)
{
    g_autoptr(GHashTable) bookings =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *event = _hk_event_at(history, i);
        if (event->key && event->type == HK_RUN) {
            _hk_find_or_add_booking(bookings, event->key)->runs++;
        }
        if (event->key && event->type == HK_CALL) {
            _hk_count_answer(_hk_find_or_add_booking(bookings, event->key),
                             event);
        }
    }
    GHashTableIter iter;
    void *key;
    void *booking;
    g_hash_table_iter_init(&iter, bookings);
    while (g_hash_table_iter_next(&iter, &key, &booking)) {
        _hk_check_booking(report, key, booking);
    }
}

/* -- private: drafts ------------------------------------------------------ */

static GHashTable *
_hk_collect_started_prompts(const hk_history *history)
{
    GHashTable *started = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *event = _hk_event_at(history, i);
        if (event->type == HK_START && event->prompt) {
            g_hash_table_add(started, (void *)event->prompt);
        }
    }
    return started;
}

static void
_hk_check_drafts(const hk_history *history, hk_report *report)
{
    g_autoptr(GHashTable) started = _hk_collect_started_prompts(history);
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *call = _hk_event_at(history, i);
        if (call->type != HK_CALL || !call->prompt) {
            continue;
        }
        if (call->outcome == HK_WRONG) {
            _hk_add_finding(report, HK_WRONG_ADAPTER,
                            "prompt %s, model %s, daemon %s: wrong text %s",
                            call->prompt, call->model, call->subject,
                            call->text);
        }
        if (call->outcome == HK_REFUSED && call->not_run &&
            g_hash_table_contains(started, call->prompt)) {
            _hk_add_finding(report, HK_FALSE_NOT_RUN,
                            "prompt %s was refused as not run (%s) by %s, "
                            "but an engine started it",
                            call->prompt, call->text, call->subject);
        }
    }
}

/* -- private: interrupted answers ----------------------------------------- */

/* Whether a recorded fault at the daemon of the call overlaps it in time. */
static bool
_hk_is_excused(const hk_history *history, const hk_event *call)
{
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *fault = _hk_event_at(history, i);
        if (fault->type == HK_FAULT &&
            g_strcmp0(fault->subject, call->subject) == 0 &&
            fault->at_us <= call->end_us && call->at_us <= fault->end_us) {
            return true;
        }
    }
    return false;
}

/* Also counts the calls and those answered in time. */
static void
_hk_check_interruptions(const hk_history *history, hk_report *report)
{
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *call = _hk_event_at(history, i);
        if (call->type != HK_CALL) {
            continue;
        }
        report->calls++;
        int64_t took_us = call->end_us - call->at_us;
        report->in_time += call->outcome == HK_OUTCOME_DEFAULT &&
                           (!call->deadline_ms ||
                            took_us <= call->deadline_ms * INT64_C(1000));
        bool is_cut_off = call->outcome == HK_BROKEN ||
                          call->outcome == HK_SILENT ||
                          (call->outcome == HK_REFUSED && call->pieces &&
                           g_strcmp0(call->text, "stopping") == 0);
        if (is_cut_off && !_hk_is_excused(history, call)) {
            _hk_add_finding(report, HK_CUT_OFF,
                            "request %s at %s from %" PRId64 " to %" PRId64
                            " us was cut off: outcome %d, %u pieces",
                            call->prompt ? call->prompt : call->key,
                            call->subject, call->at_us, call->end_us,
                            (int)call->outcome, call->pieces);
        }
    }
}

/* -- private: evictions --------------------------------------------------- */

static bool
_hk_is_same_engine(const hk_event *a, const hk_event *b)
{
    return g_strcmp0(a->subject, b->subject) == 0 &&
           g_strcmp0(a->incarnation, b->incarnation) == 0;
}

/* Returns the time at which the run of this start ended, or INT64_MAX if the
   history has no end of it. */
static int64_t
_hk_find_run_end(const hk_history *history, const hk_event *start)
{
    int64_t end_us = INT64_MAX;
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *event = _hk_event_at(history, i);
        if (event->type == HK_END && event->at_us >= start->at_us &&
            _hk_is_same_engine(event, start) &&
            g_strcmp0(event->attempt, start->attempt) == 0) {
            end_us = MIN(end_us, event->at_us);
        }
    }
    return end_us;
}

/* No adapter may be evicted between the start and the end of a run of it. */
static void
_hk_check_evictions(const hk_history *history, hk_report *report)
{
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *evict = _hk_event_at(history, i);
        for (guint j = 0; evict->type == HK_EVICT && j < history->events->len;
             j++) {
            const hk_event *start = _hk_event_at(history, j);
            bool is_open = start->type == HK_START &&
                           _hk_is_same_engine(start, evict) &&
                           g_strcmp0(start->model, evict->model) == 0 &&
                           start->at_us <= evict->at_us &&
                           _hk_find_run_end(history, start) > evict->at_us;
            if (is_open) {
                _hk_add_finding(report, HK_EVICTED_IN_USE,
                                "%s on %s evicted at %" PRId64
                                " us while attempt %s ran",
                                evict->model, evict->subject, evict->at_us,
                                start->attempt);
            }
        }
    }
}

/* -- private: configuration ----------------------------------------------- */

static int
_hk_compare_time(const void *left, const void *right)
{
    const hk_event *a = left;
    const hk_event *b = right;
    return (a->at_us > b->at_us) - (a->at_us < b->at_us);
}

/* A daemon must never report a lower version than before. */
static void
_hk_check_version_order(const hk_history *history, hk_report *report)
{
    g_autoptr(GHashTable) last_versions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *event = _hk_event_at(history, i);
        bool has_version = event->type == HK_CONFIG || event->type == HK_FINAL;
        if (!has_version || !event->version) {
            continue;
        }
        uint64_t *last = g_hash_table_lookup(last_versions, event->subject);
        if (!last) {
            last = g_new0(uint64_t, 1);
            g_hash_table_insert(last_versions, (void *)event->subject, last);
        }
        if (event->version < *last) {
            _hk_add_finding(report, HK_REVERTED,
                            "%s went back from version %" PRIu64 " to %" PRIu64
                            " at %" PRId64 " us",
                            event->subject, *last, event->version,
                            event->at_us);
        }
        *last = event->version;
    }
}

/* No version may be accepted twice. Returns the newest accepted one. */
static uint64_t
_hk_check_accepted(const hk_history *history, hk_report *report)
{
    g_autoptr(GHashTable) accepted =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    uint64_t newest = 0;
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *event = _hk_event_at(history, i);
        if (event->type != HK_ACCEPTED) {
            continue;
        }
        newest = MAX(newest, event->version);
        uint64_t *version = g_new(uint64_t, 1);
        *version = event->version;
        if (!g_hash_table_add(accepted, version)) {
            _hk_add_finding(report, HK_REVERTED,
                            "version %" PRIu64 " was accepted twice",
                            event->version);
        }
    }
    return newest;
}

static void
_hk_check_config(const hk_history *history, hk_report *report)
{
    _hk_check_version_order(history, report);
    uint64_t newest = _hk_check_accepted(history, report);
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *event = _hk_event_at(history, i);
        if (event->type == HK_FINAL && event->version < newest) {
            _hk_add_finding(report, HK_REVERTED,
                            "%s ended with version %" PRIu64 ", but %" PRIu64
                            " was accepted",
                            event->subject, event->version, newest);
        }
    }
}

/* -- private: leaving ----------------------------------------------------- */

static void
_hk_check_leaving(const hk_history *history, hk_report *report)
{
    for (guint i = 0; i < history->events->len; i++) {
        const hk_event *leaving = _hk_event_at(history, i);
        for (guint j = 0;
             leaving->type == HK_LEAVING && j < history->events->len; j++) {
            const hk_event *work = _hk_event_at(history, j);
            bool started = work->type == HK_START || work->type == HK_RUN;
            if (started && g_strcmp0(work->subject, leaving->subject) == 0 &&
                work->at_us > leaving->at_us + HK_LEAVING_GRACE_US) {
                _hk_add_finding(
                    report, HK_LEAVING_SERVED,
                    "%s started work %" PRId64 " ms after it began to leave",
                    work->subject, (work->at_us - leaving->at_us) / 1000);
            }
        }
    }
}

/* -- public --------------------------------------------------------------- */

hk_history *
hk_create(void)
{
    hk_history *history = g_new0(hk_history, 1);
    history->events = g_array_new(FALSE, FALSE, sizeof(hk_event));
    history->strings = g_string_chunk_new(4096);
    return history;
}

void
hk_destroy(hk_history *history)
{
    g_array_unref(history->events);
    g_string_chunk_free(history->strings);
    g_free(history);
}

void
hk_add(hk_history *history, const hk_event *event)
{
    hk_event copy = *event;
    const char **strings[] = {&copy.subject, &copy.incarnation, &copy.attempt,
                              &copy.model,   &copy.key,         &copy.prompt,
                              &copy.text};
    for (size_t i = 0; i < G_N_ELEMENTS(strings); i++) {
        if (*strings[i]) {
            *strings[i] =
                g_string_chunk_insert_const(history->strings, *strings[i]);
        }
    }
    g_array_append_val(history->events, copy);
}

void
hk_check(hk_history *history, hk_report *report)
{
    *report = (hk_report){.findings = g_ptr_array_new_with_free_func(g_free)};
    g_array_sort(history->events, _hk_compare_time);
    for (guint i = 0; i < history->events->len; i++) {
        report->faults += _hk_event_at(history, i)->type == HK_FAULT;
    }
    _hk_check_bookings(history, report);
    _hk_check_drafts(history, report);
    _hk_check_interruptions(history, report);
    _hk_check_evictions(history, report);
    _hk_check_config(history, report);
    _hk_check_leaving(history, report);
}

void
hk_clear_report(hk_report *report)
{
    g_ptr_array_unref(report->findings);
    *report = (hk_report){0};
}

const char *
hk_query_violation_name(hk_violation violation)
{
    return _hk_violation_names[violation];
}

uint64_t
hk_query_violation_total(const hk_report *report)
{
    uint64_t sum = 0;
    for (int i = 0; i < HK_VIOLATION_NUM; i++) {
        sum += report->counts[i];
    }
    return sum;
}
