#include "watch.h"

#include "lacewing/counter.h"
#include "lacewing/histogram.h"
#include "lacewing/log.h"

#define _WT_DEFAULT_WAIT_MS 3000
/* Added to the time for which the store holds a poll, as a timeout; links
   across zones take some ms. */
#define _WT_WAIT_MARGIN_MS 900
#define _WT_READ_TIMEOUT_MS 1500 /* of a read of one page */
/* Pause between retries while the store does not answer. It doubles with each
   failure up to the largest, and varies at random between half and one and a
   half times its length. */
#define _WT_RETRY_MS 150
#define _WT_RETRY_MAX_MS 600
/* Pause of the watches that wait for the prober's answer, in case that only
   the prober's requests fail. */
#define _WT_RETRY_OTHERS_MS 3000
/* Least time between polls that are sent because another instance reported a
   change. */
#define _WT_MIN_CHANGE_POLL_INTERVAL_US 150000
/* An answer shows the table as it was at most this long ago, or when the
   request was sent if that was later. */
#define _WT_MAX_TRANSIT_US 100000
/* If the time between two answers exceeds the longest pause and wait by more
   than this, that counts as an interruption. */
#define _WT_OUTAGE_SLACK_US 1500000

/* Number of instances that poll by rank, and how much later each of them polls
   than the one before: by then it has heard of that one's answer. Their pauses
   begin at half of pause_ms, before those of all others. An instance that
   hears nothing waits no longer than it would without ranks. */
#define _WT_RANKS 4
#define _WT_RANK_STEP_MS 100
#define _WT_RANK_PAUSE_DIVISOR 2

struct wt_watch {
    wt_desc desc;
    char *address;
    char *table;
    bool following;   /* the whole table was read; polls ask for changes */
    char *page_after; /* last key of the previous page */
    uint64_t page_version;
    uint64_t version;
    uint64_t sent_us;      /* when the last request was sent */
    uint64_t fresh_us;     /* see wt_query_fresh_us() */
    uint64_t outage_us;    /* length of the last interruption */
    uint64_t regained_us;  /* when it ended */
    uint32_t failures;     /* in a row */
    uint32_t rank;         /* see wt_set_poll_rank() */
    bool polls_for_change; /* the next request is sent because another instance
                              reported a change */
    bool store_lost;       /* the last request failed */
    bool *watch_alive;     /* false once the watch is destroyed; owned by the
                              request in flight */
    tm_timer timer;
};

static void _wt_send_request(wt_watch *watch);

static void
_wt_on_timer(uint64_t now_us, void *user_data)
{
    (void)now_us;
    wt_watch *watch = user_data;
    watch->timer.id = 0;
    _wt_send_request(watch);
}

static void
_wt_schedule_request(wt_watch *watch, uint32_t delay_ms)
{
    if (watch->timer.id) {
        tm_destroy_timer(watch->desc.timers, watch->timer);
    }
    watch->timer = tm_make_timer(
        watch->desc.timers, &(tm_timer_desc){.period_ms = MAX(delay_ms, 1),
                                             .once = true,
                                             .call = _wt_on_timer,
                                             .user_data = watch});
}

void
wt_query_pause_range(uint32_t pause_ms, uint32_t rank, uint32_t *min_ms,
                     uint32_t *max_ms)
{
    if (rank && rank <= _WT_RANKS) {
        *min_ms =
            pause_ms / _WT_RANK_PAUSE_DIVISOR + (rank - 1) * _WT_RANK_STEP_MS;
        *max_ms = *min_ms;
        return;
    }
    *min_ms = pause_ms;
    *max_ms = pause_ms * 2;
}

/* Returns a random pause within the range, so that one of many instances polls
   first and saves the others their requests. */
static uint32_t
_wt_pause_ms(const wt_watch *watch)
{
    uint32_t min_ms;
    uint32_t max_ms;
    wt_query_pause_range(watch->desc.pause_ms, watch->rank, &min_ms, &max_ms);
    return (uint32_t)g_random_int_range((gint32)min_ms, (gint32)max_ms + 1);
}

static void
_wt_schedule_next_request(wt_watch *watch)
{
    _wt_schedule_request(watch, _wt_pause_ms(watch));
}

static void
_wt_note_failure(wt_watch *watch, const char *why)
{
    if (!watch->store_lost) {
        watch->store_lost = true;
        lg_write(LG_STORE_LOST, "table", watch->table, "why", why, NULL);
    }
    watch->failures++;
    wt_group *group = watch->desc.group;
    group->prober = group->prober ? group->prober : watch;
    uint32_t delay_ms =
        group->prober == watch
            ? MIN(_WT_RETRY_MS << MIN(watch->failures, 2), _WT_RETRY_MAX_MS)
            : _WT_RETRY_OTHERS_MS;
    _wt_schedule_request(
        watch, delay_ms / 2 + (uint32_t)g_random_int_range(0, (int)delay_ms));
}

/* Lets the other watches retry at once, because the store answers again. */
static void
_wt_retry_others(const wt_watch *watch)
{
    wt_group *group = watch->desc.group;
    group->prober = NULL;
    for (guint i = 0; i < group->watches->len; i++) {
        wt_watch *other = group->watches->pdata[i];
        if (other != watch && other->store_lost && other->timer.id) {
            _wt_schedule_request(other, 1);
        }
    }
}

static void
_wt_note_success(wt_watch *watch, uint64_t version)
{
    if (watch->desc.group->prober) {
        _wt_retry_others(watch);
    }
    uint64_t now_us = lp_query_now_us(watch->desc.loop);
    uint64_t usual_us =
        (watch->desc.pause_ms * 2ULL + watch->desc.wait_ms) * 1000;
    if (watch->fresh_us &&
        now_us - watch->fresh_us > usual_us + _WT_OUTAGE_SLACK_US) {
        watch->outage_us = now_us - watch->fresh_us;
        watch->regained_us = now_us;
    }
    if (watch->store_lost) {
        watch->store_lost = false;
        watch->regained_us = now_us;
        watch->outage_us = now_us - watch->fresh_us;
        lg_write(LG_STORE_REGAINED, "table", watch->table, NULL);
    }
    watch->failures = 0;
    watch->fresh_us = MAX(watch->sent_us, MAX(now_us, _WT_MAX_TRANSIT_US) -
                                              _WT_MAX_TRANSIT_US);
    watch->version = version;
    watch->desc.callbacks->fresh(version, watch->desc.user_data);
}

static void
_wt_report_rows(wt_watch *watch, const dl_rows *rows)
{
    for (guint i = 0; i < rows->rows->len; i++) {
        watch->desc.callbacks->row(&g_array_index(rows->rows, dl_row, i),
                                   watch->desc.user_data);
    }
}

/* Logs that the store was restored, and notes an interruption. */
static void
_wt_note_restored(wt_watch *watch, uint64_t version)
{
    uint64_t now_us = lp_query_now_us(watch->desc.loop);
    watch->outage_us = MAX(now_us - watch->fresh_us, 1);
    watch->regained_us = now_us;
    char era[24];
    g_snprintf(era, sizeof(era), "%" G_GUINT64_FORMAT, dl_query_era(version));
    char numbers[64];
    g_snprintf(numbers, sizeof(numbers),
               "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
               dl_query_version_number(watch->version),
               dl_query_version_number(version));
    ct_add(CT_STORE_RESTORED, 1);
    lg_write(LG_STORE_RESTORED, "table", watch->table, "era", era,
             "version_before/now", numbers, NULL);
}

static bool
_wt_is_restored(const wt_watch *watch, uint64_t version)
{
    return watch->version &&
           dl_query_era(version) > dl_query_era(watch->version);
}

static void
_wt_handle_page(wt_watch *watch, const dl_rows *rows)
{
    const wt_callbacks *callbacks = watch->desc.callbacks;
    if (watch->page_after &&
        dl_query_era(rows->version) != dl_query_era(watch->page_version)) {
        g_clear_pointer(&watch->page_after, g_free);
        _wt_send_request(watch);
        return;
    }
    if (!watch->page_after) {
        bool restored = _wt_is_restored(watch, rows->version);
        if (restored) {
            _wt_note_restored(watch, rows->version);
        }
        callbacks->read_began(rows->version, restored, watch->desc.user_data);
        watch->page_version = rows->version;
    }
    _wt_report_rows(watch, rows);
    g_clear_pointer(&watch->page_after, g_free);
    if (rows->more && rows->rows->len) {
        watch->page_after = g_strdup(
            g_array_index(rows->rows, dl_row, rows->rows->len - 1).key);
        _wt_send_request(watch);
        return;
    }
    callbacks->read_ended(watch->desc.user_data);
    watch->following = true;
    _wt_note_success(watch, watch->page_version);
    _wt_schedule_next_request(watch);
}

static void
_wt_handle_answer(wt_watch *watch, const hc_answer *answer)
{
    er_status status = {0};
    dl_rows rows = {0};
    if (answer->status == 410 && watch->following) {
        lg_write(LG_STORE_HISTORY_GONE, "table", watch->table, NULL);
        watch->following = false;
        _wt_send_request(watch);
        return;
    }
    const dl_dialect *dialect = watch->desc.dialect;
    const char *era =
        h1_query_header(answer->head, dialect->headers[DL_STORE_ERA]);
    if (answer->status != 200 ||
        dialect->read_rows(answer->bytes, answer->count, era, &rows,
                           &status) != ER_OK) {
        g_autofree char *why =
            g_strdup_printf("status %u %s", answer->status, status.message);
        _wt_note_failure(watch, why);
        return;
    }
    if (!watch->following) {
        _wt_handle_page(watch, &rows);
    }
    else if (_wt_is_restored(watch, rows.version)) {
        watch->following = false;
        _wt_send_request(watch);
    }
    else {
        _wt_report_rows(watch, &rows);
        _wt_note_success(watch, MAX(rows.version, watch->version));
        _wt_schedule_next_request(watch);
    }
    dl_clear_rows(&rows);
}

typedef struct _wt_pending_request {
    wt_watch *watch;
    bool *watch_alive;
} _wt_pending_request;

static void
_wt_on_done(const hc_answer *answer, void *user_data)
{
    g_autofree _wt_pending_request *request = user_data;
    bool alive = *request->watch_alive;
    if (!alive) {
        g_free(request->watch_alive);
        return;
    }
    request->watch->watch_alive = NULL;
    g_free(request->watch_alive);
    if (!request->watch->following) {
        /* The store holds polls until there is a change, so their duration
           says nothing of its speed. */
        hg_observe(HG_STORE_CALL, HG_READ,
                   lp_query_now_us(request->watch->desc.loop) -
                       request->watch->sent_us);
    }
    if (answer->code == ER_OK) {
        _wt_handle_answer(request->watch, answer);
    }
    else {
        _wt_note_failure(request->watch, er_query_name(answer->code));
    }
}

static void
_wt_send_request(wt_watch *watch)
{
    const dl_dialect *dialect = watch->desc.dialect;
    GString *path =
        watch->following
            ? dialect->write_feed_path(watch->table, watch->version,
                                       watch->desc.wait_ms)
            : dialect->write_get_path(watch->table, watch->page_after);
    _wt_pending_request *request = g_new0(_wt_pending_request, 1);
    request->watch = watch;
    request->watch_alive = g_new(bool, 1);
    *request->watch_alive = true;
    watch->watch_alive = request->watch_alive;
    watch->sent_us = lp_query_now_us(watch->desc.loop);
    ct_add(CT_STORE_CALLS, 1);
    lg_write(LG_STORE_REQUEST, "table", watch->table, "why",
             watch->polls_for_change ? "changed at another instance"
             : watch->failures       ? "retry after a failure"
                                     : "time",
             NULL);
    watch->polls_for_change = false;
    hc_call(watch->desc.client,
            &(hc_request){.address = watch->address,
                          .method = "GET",
                          .path = path->str,
                          .timeout_ms =
                              watch->following
                                  ? watch->desc.wait_ms + _WT_WAIT_MARGIN_MS
                                  : _WT_READ_TIMEOUT_MS,
                          .done = _wt_on_done,
                          .user_data = request});
    g_string_free(path, TRUE);
}

wt_watch *
wt_create(const wt_desc *desc)
{
    g_assert(desc->client && desc->dialect && desc->callbacks && desc->group);
    wt_watch *watch = g_new0(wt_watch, 1);
    watch->desc = *desc;
    watch->address = g_strdup(desc->address);
    watch->table = g_strdup(desc->table);
    g_ptr_array_add(watch->desc.group->watches, watch);
    if (!watch->desc.wait_ms) {
        watch->desc.wait_ms = _WT_DEFAULT_WAIT_MS;
    }
    _wt_send_request(watch);
    return watch;
}

void
wt_destroy(wt_watch *watch)
{
    if (!watch) {
        return;
    }
    g_ptr_array_remove(watch->desc.group->watches, watch);
    if (watch->desc.group->prober == watch) {
        watch->desc.group->prober = NULL;
    }
    if (watch->watch_alive) {
        *watch->watch_alive = false;
    }
    if (watch->timer.id) {
        tm_destroy_timer(watch->desc.timers, watch->timer);
    }
    g_free(watch->page_after);
    g_free(watch->address);
    g_free(watch->table);
    g_free(watch);
}

void
wt_note_fresh(wt_watch *watch, uint64_t at_us)
{
    uint64_t now_us = lp_query_now_us(watch->desc.loop);
    if (!watch->following || at_us <= watch->fresh_us) {
        return;
    }
    watch->fresh_us = at_us;
    if (watch->timer.id && !watch->store_lost) {
        uint64_t next_us = at_us + _wt_pause_ms(watch) * 1000ULL;
        _wt_schedule_request(watch, next_us > now_us
                                        ? (uint32_t)((next_us - now_us) / 1000)
                                        : 1);
    }
}

void
wt_read_again(wt_watch *watch)
{
    if (watch->timer.id && !watch->store_lost) {
        watch->following = false;
        _wt_schedule_request(watch, 1);
    }
}

void
wt_poll_now(wt_watch *watch)
{
    uint64_t now_us = lp_query_now_us(watch->desc.loop);
    if (watch->timer.id && !watch->store_lost &&
        now_us >= watch->sent_us + _WT_MIN_CHANGE_POLL_INTERVAL_US) {
        watch->polls_for_change = true;
        _wt_schedule_request(watch, 1);
    }
}

void
wt_set_poll_rank(wt_watch *watch, uint32_t rank)
{
    watch->rank = rank;
}

void
wt_set_pause(wt_watch *watch, uint32_t pause_ms)
{
    watch->desc.pause_ms = pause_ms;
}

uint64_t
wt_query_fresh_us(const wt_watch *watch)
{
    return watch->fresh_us;
}

uint64_t
wt_query_version(const wt_watch *watch)
{
    return watch->following ? watch->version : 0;
}

uint64_t
wt_query_era(const wt_watch *watch)
{
    return dl_query_era(watch->version);
}

uint64_t
wt_query_outage_us(const wt_watch *watch)
{
    return watch->outage_us;
}

uint64_t
wt_query_regained_us(const wt_watch *watch)
{
    return watch->regained_us;
}

bool
wt_query_reachable(const wt_watch *watch)
{
    return !watch->store_lost;
}
