#include "watch.h"

#include "lacewing/counter.h"
#include "lacewing/histogram.h"
#include "lacewing/log.h"

#define _WT_WAIT_MS 3000
/* An answer that the store holds comes this long after its time at the
   latest; links across zones take some ms. */
#define _WT_LATE_MS 900
#define _WT_READ_TIMEOUT_MS 1500
/* Between tries while the store does not answer, halved and doubled by
   chance. */
#define _WT_RETRY_MS 150
#define _WT_RETRY_LONGEST_MS 600
/* Of the watches that wait for another one's answer, in case that one has
   lost more than the store. */
#define _WT_RETRY_OTHERS_MS 3000
/* Calls for changes that others tell of are this far apart at least. */
#define _WT_HURRY_US 150000
/* An answer tells the table as it was so long ago at the most, unless the
   call itself was sent later. */
#define _WT_WAY_US 100000
/* Answers that are so much further apart than they may be are an
   interruption. */
#define _WT_GAP_US 1500000

/* Instances that have a turn of their own, and how much later each asks: word
   of the one before has come by then. They ask sooner than all others, who
   wait no longer than without turns when no word comes. */
#define _WT_TURNS 4
#define _WT_TURN_MS 100
#define _WT_TURN_SOONER 2

struct wt_watch {
    wt_desc desc;
    char *address;
    char *table;
    bool following;
    char *page_after; /* last key of the page before */
    uint64_t page_version;
    uint64_t version;
    uint64_t sent_us;
    uint64_t fresh_us;
    uint64_t gap_us;
    uint64_t regained_us;
    uint32_t failures;
    uint32_t turn; /* see wt_set_turn() */
    bool hurried;  /* the next call is for news that others tell of */
    bool lost;
    bool *alive; /* false once destroyed, for calls under way */
    tm_timer timer;
};

static void _wt_ask(wt_watch *watch);

static void
_wt_on_timer(uint64_t now_us, void *user_data)
{
    (void)now_us;
    wt_watch *watch = user_data;
    watch->timer.id = 0;
    _wt_ask(watch);
}

static void
_wt_ask_in(wt_watch *watch, uint32_t delay_ms)
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
wt_query_pause_range(uint32_t pause_ms, uint32_t turn, uint32_t *least_ms,
                     uint32_t *most_ms)
{
    if (turn && turn <= _WT_TURNS) {
        *least_ms = pause_ms / _WT_TURN_SOONER + (turn - 1) * _WT_TURN_MS;
        *most_ms = *least_ms;
        return;
    }
    *least_ms = pause_ms;
    *most_ms = pause_ms * 2;
}

/* Spread, so that one of many instances is first and spares the others. */
static uint32_t
_wt_pause_ms(const wt_watch *watch)
{
    uint32_t least_ms;
    uint32_t most_ms;
    wt_query_pause_range(watch->desc.pause_ms, watch->turn, &least_ms,
                         &most_ms);
    return (uint32_t)g_random_int_range((gint32)least_ms, (gint32)most_ms + 1);
}

static void
_wt_ask_after_pause(wt_watch *watch)
{
    _wt_ask_in(watch, _wt_pause_ms(watch));
}

static void
_wt_failed(wt_watch *watch, const char *why)
{
    if (!watch->lost) {
        watch->lost = true;
        lg_write(LG_STORE_LOST, "table", watch->table, "why", why, NULL);
    }
    watch->failures++;
    wt_group *group = watch->desc.group;
    group->tries = group->tries ? group->tries : watch;
    uint32_t delay_ms = group->tries == watch
                            ? MIN(_WT_RETRY_MS << MIN(watch->failures, 2),
                                  _WT_RETRY_LONGEST_MS)
                            : _WT_RETRY_OTHERS_MS;
    _wt_ask_in(watch,
               delay_ms / 2 + (uint32_t)g_random_int_range(0, (int)delay_ms));
}

/* The store answers again: the others need not wait. */
static void
_wt_wake_others(const wt_watch *watch)
{
    wt_group *group = watch->desc.group;
    group->tries = NULL;
    for (guint i = 0; i < group->watches->len; i++) {
        wt_watch *other = group->watches->pdata[i];
        if (other != watch && other->lost && other->timer.id) {
            _wt_ask_in(other, 1);
        }
    }
}

static void
_wt_good(wt_watch *watch, uint64_t version)
{
    if (watch->desc.group->tries) {
        _wt_wake_others(watch);
    }
    uint64_t now_us = lp_query_now_us(watch->desc.loop);
    uint64_t usual_us =
        (watch->desc.pause_ms * 2ULL + watch->desc.wait_ms) * 1000;
    if (watch->fresh_us && now_us - watch->fresh_us > usual_us + _WT_GAP_US) {
        watch->gap_us = now_us - watch->fresh_us;
        watch->regained_us = now_us;
    }
    if (watch->lost) {
        watch->lost = false;
        watch->regained_us = now_us;
        watch->gap_us = now_us - watch->fresh_us;
        lg_write(LG_STORE_REGAINED, "table", watch->table, NULL);
    }
    watch->failures = 0;
    watch->fresh_us =
        MAX(watch->sent_us, MAX(now_us, _WT_WAY_US) - _WT_WAY_US);
    watch->version = version;
    watch->desc.calls->fresh(version, watch->desc.user_data);
}

static void
_wt_tell(wt_watch *watch, const dl_rows *rows)
{
    for (guint i = 0; i < rows->rows->len; i++) {
        watch->desc.calls->row(&g_array_index(rows->rows, dl_row, i),
                               watch->desc.user_data);
    }
}

static void
_wt_take_page(wt_watch *watch, const dl_rows *rows)
{
    const wt_calls *calls = watch->desc.calls;
    if (!watch->page_after) {
        calls->read_began(watch->desc.user_data);
        watch->page_version = rows->version;
    }
    _wt_tell(watch, rows);
    g_clear_pointer(&watch->page_after, g_free);
    if (rows->more && rows->rows->len) {
        watch->page_after = g_strdup(
            g_array_index(rows->rows, dl_row, rows->rows->len - 1).key);
        _wt_ask(watch);
        return;
    }
    calls->read_ended(watch->desc.user_data);
    watch->following = true;
    _wt_good(watch, watch->page_version);
    _wt_ask_after_pause(watch);
}

static void
_wt_take(wt_watch *watch, const hc_answer *answer)
{
    er_status status = {0};
    dl_rows rows = {0};
    if (answer->status == 410 && watch->following) {
        lg_write(LG_STORE_HISTORY, "table", watch->table, NULL);
        watch->following = false;
        _wt_ask(watch);
        return;
    }
    if (answer->status != 200 ||
        watch->desc.dialect->read_rows(answer->bytes, answer->count, &rows,
                                       &status) != ER_OK) {
        g_autofree char *why =
            g_strdup_printf("status %u %s", answer->status, status.message);
        _wt_failed(watch, why);
        return;
    }
    if (!watch->following) {
        _wt_take_page(watch, &rows);
    }
    else {
        _wt_tell(watch, &rows);
        _wt_good(watch, MAX(rows.version, watch->version));
        _wt_ask_after_pause(watch);
    }
    dl_clear_rows(&rows);
}

typedef struct _wt_under_way {
    wt_watch *watch;
    bool *alive;
} _wt_under_way;

static void
_wt_on_done(const hc_answer *answer, void *user_data)
{
    g_autofree _wt_under_way *call = user_data;
    bool alive = *call->alive;
    if (!alive) {
        g_free(call->alive);
        return;
    }
    call->watch->alive = NULL;
    g_free(call->alive);
    if (!call->watch->following) {
        /* Feeds wait for news: their time says nothing of the store. */
        hg_observe(HG_STORE_CALL, HG_READ,
                   lp_query_now_us(call->watch->desc.loop) -
                       call->watch->sent_us);
    }
    if (answer->code == ER_OK) {
        _wt_take(call->watch, answer);
    }
    else {
        _wt_failed(call->watch, er_query_name(answer->code));
    }
}

static void
_wt_ask(wt_watch *watch)
{
    const dl_dialect *dialect = watch->desc.dialect;
    GString *path =
        watch->following
            ? dialect->write_feed_path(watch->table, watch->version,
                                       watch->desc.wait_ms)
            : dialect->write_get_path(watch->table, watch->page_after);
    _wt_under_way *call = g_new0(_wt_under_way, 1);
    call->watch = watch;
    call->alive = g_new(bool, 1);
    *call->alive = true;
    watch->alive = call->alive;
    watch->sent_us = lp_query_now_us(watch->desc.loop);
    ct_add(CT_STORE_CALLS, 1);
    lg_write(LG_STORE_ASKED, "table", watch->table, "why",
             watch->hurried    ? "news elsewhere"
             : watch->failures ? "failed before"
                               : "time",
             NULL);
    watch->hurried = false;
    hc_call(watch->desc.client,
            &(hc_request){.address = watch->address,
                          .method = "GET",
                          .path = path->str,
                          .timeout_ms = watch->following
                                            ? watch->desc.wait_ms + _WT_LATE_MS
                                            : _WT_READ_TIMEOUT_MS,
                          .done = _wt_on_done,
                          .user_data = call});
    g_string_free(path, TRUE);
}

wt_watch *
wt_create(const wt_desc *desc)
{
    g_assert(desc->client && desc->dialect && desc->calls && desc->group);
    wt_watch *watch = g_new0(wt_watch, 1);
    watch->desc = *desc;
    watch->address = g_strdup(desc->address);
    watch->table = g_strdup(desc->table);
    g_ptr_array_add(watch->desc.group->watches, watch);
    if (!watch->desc.wait_ms) {
        watch->desc.wait_ms = _WT_WAIT_MS;
    }
    _wt_ask(watch);
    return watch;
}

void
wt_destroy(wt_watch *watch)
{
    if (!watch) {
        return;
    }
    g_ptr_array_remove(watch->desc.group->watches, watch);
    if (watch->desc.group->tries == watch) {
        watch->desc.group->tries = NULL;
    }
    if (watch->alive) {
        *watch->alive = false;
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
    if (watch->timer.id && !watch->lost) {
        uint64_t next_us = at_us + _wt_pause_ms(watch) * 1000ULL;
        _wt_ask_in(watch, next_us > now_us
                              ? (uint32_t)((next_us - now_us) / 1000)
                              : 1);
    }
}

void
wt_read_again(wt_watch *watch)
{
    if (watch->timer.id && !watch->lost) {
        watch->following = false;
        _wt_ask_in(watch, 1);
    }
}

void
wt_ask_now(wt_watch *watch)
{
    uint64_t now_us = lp_query_now_us(watch->desc.loop);
    if (watch->timer.id && !watch->lost &&
        now_us >= watch->sent_us + _WT_HURRY_US) {
        watch->hurried = true;
        _wt_ask_in(watch, 1);
    }
}

void
wt_set_turn(wt_watch *watch, uint32_t turn)
{
    watch->turn = turn;
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
wt_query_gap_us(const wt_watch *watch)
{
    return watch->gap_us;
}

uint64_t
wt_query_regained_us(const wt_watch *watch)
{
    return watch->regained_us;
}

bool
wt_query_reachable(const wt_watch *watch)
{
    return !watch->lost;
}
