#include "callers.h"

#include "load_client.h"
#include "shop.h"
#include "workload.h"

#define _CR_RATE 25.0
#define _CR_TIMEOUT_MS 25000
#define _CR_DRAFT_DEADLINE_MS 15000
#define _CR_CALL_DEADLINE_MS 5000
#define _CR_POISON_EVERY 20
#define _CR_POISON_MODEL "shop-0@v1"
#define _CR_TEXT_BYTES 60
#define _CR_VERSIONS 2

struct cr_callers {
    cr_desc desc;
    lc_client *client;
    wl_workload *work;
    wl_item next;
    GMainLoop *loop;
    const char *urls[RC_DAEMONS];
    int64_t start_us;
    int64_t end_us;
    uint32_t resends; /* still to be sent */
    bool all_sent;
    gint poison;         /* atomic */
    GHashTable *answers; /* outcome and error -> count */
};

/* A request on its way. */
typedef struct _cr_open {
    cr_callers *callers;
    wl_item item;
    bool again;
    int daemon;
    int64_t at_us;
} _cr_open;

static void _cr_send(cr_callers *callers, const wl_item *item, bool again,
                     int after);

/* -- private: answers ----------------------------------------------------- */

static void
_cr_end_if_done(cr_callers *callers)
{
    if (callers->all_sent && !callers->resends &&
        lc_query_open(callers->client) == 0) {
        g_main_loop_quit(callers->loop);
    }
}

static hk_outcome
_cr_outcome(lc_outcome outcome)
{
    static const hk_outcome outcomes[LC_OUTCOME_NUM] = {
        [LC_WRONG] = HK_WRONG,
        [LC_REFUSED] = HK_REFUSED,
        [LC_BROKEN] = HK_BROKEN,
        [LC_SILENT] = HK_SILENT,
    };
    return outcomes[outcome];
}

static void
_cr_count(cr_callers *callers, const _cr_open *open, const lc_result *result)
{
    char *name = g_strdup_printf(
        "%s %s %s %s", open->item.kind == WL_KIND_DEFAULT ? "draft" : "call",
        lc_query_outcome_name(result->outcome), result->type, result->ran);
    gsize count =
        GPOINTER_TO_SIZE(g_hash_table_lookup(callers->answers, name));
    g_hash_table_replace(callers->answers, name, GSIZE_TO_POINTER(count + 1));
}

static void
_cr_on_done(const lc_result *result, void *user_data)
{
    g_autofree _cr_open *open = user_data;
    cr_callers *callers = open->callers;
    _cr_count(callers, open, result);
    bool refused = result->outcome == LC_REFUSED;
    bool draft = open->item.kind == WL_KIND_DEFAULT;
    g_autofree char *text = draft ? g_strndup(result->text, _CR_TEXT_BYTES)
                                  : g_strdup(result->text);
    rc_add(callers->desc.record,
           &(hk_event){
               .type = HK_CALL,
               .at_us = open->at_us,
               .end_us = g_get_real_time(),
               .subject = rc_daemons[open->daemon],
               .model = draft ? open->item.model : NULL,
               .key = open->item.key[0] ? open->item.key : NULL,
               .prompt = draft ? open->item.prompt : NULL,
               .text = refused ? result->type : text,
               .outcome = _cr_outcome(result->outcome),
               .not_run = refused && g_str_equal(result->ran, "not_run"),
               .pieces = result->tokens,
               .deadline_ms =
                   draft ? _CR_DRAFT_DEADLINE_MS : _CR_CALL_DEADLINE_MS,
           });
    _cr_end_if_done(callers);
}

/* -- private: sending ----------------------------------------------------- */

/* A usable daemon, other than after if there is another; -1: none. */
static int
_cr_choose(const cr_callers *callers, uint32_t from, int after)
{
    int chosen = -1;
    for (uint32_t i = 0; i < RC_DAEMONS; i++) {
        int daemon = (int)((from + i) % RC_DAEMONS);
        if (!g_atomic_int_get(&callers->desc.record->usable[daemon])) {
            continue;
        }
        if (daemon != after) {
            return daemon;
        }
        chosen = daemon;
    }
    return chosen;
}

static gboolean
_cr_on_resend(void *data)
{
    g_autofree _cr_open *open = data;
    open->callers->resends--;
    _cr_send(open->callers, &open->item, true, open->daemon);
    return G_SOURCE_REMOVE;
}

static void
_cr_plan_resend(cr_callers *callers, const wl_item *item, int daemon)
{
    _cr_open *again = g_new0(_cr_open, 1);
    again->callers = callers;
    again->item = *item;
    again->daemon = daemon;
    callers->resends++;
    g_timeout_add(item->resend_ms, _cr_on_resend, again);
}

static void
_cr_send(cr_callers *callers, const wl_item *item, bool again, int after)
{
    int daemon = _cr_choose(callers, item->target, after);
    if (daemon < 0) {
        return;
    }
    _cr_open *open = g_new0(_cr_open, 1);
    open->callers = callers;
    open->item = *item;
    open->again = again;
    open->daemon = daemon;
    open->at_us = g_get_real_time();
    bool poison = g_atomic_int_get(&callers->poison) &&
                  item->number % _CR_POISON_EVERY == 0;
    bool draft = item->kind == WL_KIND_DEFAULT;
    const char *call = item->kind == WL_BOOKING ? "dispatch" : "stock";
    lc_send(callers->client,
            &(lc_call_desc){.url = callers->urls[daemon],
                            .operation = draft ? NULL : call,
                            .model = poison ? _CR_POISON_MODEL : item->model,
                            .prompt = poison ? CR_POISON : item->prompt,
                            .max_tokens = item->max_tokens,
                            .stream = item->stream,
                            .key = item->key[0] ? item->key : NULL,
                            .body = "{\"item\":1}",
                            .deadline_ms = draft ? _CR_DRAFT_DEADLINE_MS
                                                 : _CR_CALL_DEADLINE_MS,
                            .timeout_ms = _CR_TIMEOUT_MS,
                            .done = _cr_on_done,
                            .user_data = open});
    if (item->resend && !again) {
        _cr_plan_resend(callers, item, daemon);
    }
}

static gboolean
_cr_on_time(void *data)
{
    cr_callers *callers = data;
    int64_t now_us = g_get_monotonic_time();
    while (callers->start_us + (int64_t)callers->next.at_us <= now_us) {
        _cr_send(callers, &callers->next, false, -1);
        wl_next(callers->work, &callers->next);
    }
    if (now_us < callers->end_us) {
        return G_SOURCE_CONTINUE;
    }
    callers->all_sent = true;
    _cr_end_if_done(callers);
    return G_SOURCE_REMOVE;
}

/* -- public --------------------------------------------------------------- */

cr_callers *
cr_create(const cr_desc *desc)
{
    cr_callers *callers = g_new0(cr_callers, 1);
    callers->desc = *desc;
    callers->client = lc_create(&(lc_desc){.secret = SHOP_KEY});
    callers->work = wl_create(&(wl_desc){
        .seed = desc->seed,
        .rate = desc->rate > 0 ? desc->rate : _CR_RATE,
        .adapters = SHOP_ADAPTERS,
        .versions = _CR_VERSIONS,
        .prefix = "shop-",
        .key_prefix = "chaos",
        .long_tokens = 200,
        .long_share = 0.1,
        .stream_share = 0.6,
        .lookup_share = 0.1,
        .booking_share = 0.3,
        .resend_share = 0.5,
    });
    callers->loop = g_main_loop_new(NULL, FALSE);
    callers->answers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < RC_DAEMONS; i++) {
        callers->urls[i] = hn_query_url(hn_find(desc->fleet, rc_daemons[i]));
    }
    return callers;
}

void
cr_destroy(cr_callers *callers)
{
    lc_destroy(callers->client);
    wl_destroy(callers->work);
    g_main_loop_unref(callers->loop);
    g_hash_table_unref(callers->answers);
    g_free(callers);
}

void
cr_print(const cr_callers *callers)
{
    GHashTableIter iter;
    void *name;
    void *count;
    g_hash_table_iter_init(&iter, callers->answers);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        g_print("chaos: answers: %5zu %s\n", GPOINTER_TO_SIZE(count),
                (const char *)name);
    }
}

void
cr_run(cr_callers *callers, uint32_t length_ms)
{
    callers->start_us = g_get_monotonic_time();
    callers->end_us = callers->start_us + length_ms * INT64_C(1000);
    wl_next(callers->work, &callers->next);
    g_timeout_add(1, _cr_on_time, callers);
    g_main_loop_run(callers->loop);
}

void
cr_set_poison(cr_callers *callers, bool on)
{
    g_atomic_int_set(&callers->poison, on);
}
