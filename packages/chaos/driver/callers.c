#include "callers.h"

#include "load_client.h"
#include "shop.h"
#include "workload.h"

#define _CR_DEFAULT_RATE 25.0 /* requests per second */
#define _CR_TIMEOUT_MS 25000
#define _CR_DRAFT_DEADLINE_MS 15000
#define _CR_CALL_DEADLINE_MS 5000
/* Of the requests, one in this many has the poison prompt if it is a draft. */
#define _CR_POISON_INTERVAL 20
#define _CR_POISON_MODEL "shop-0@v1"
/* Of a draft's text, kept for the findings. */
#define _CR_KEPT_TEXT_BYTES 60
#define _CR_ADAPTER_VERSIONS 2

struct cr_callers {
    cr_desc desc;
    lc_client *client;
    wl_workload *workload;
    wl_item next_item;
    GMainLoop *loop;
    const char *urls[RC_DAEMON_COUNT];
    int64_t start_us;
    int64_t end_us;
    uint32_t pending_resends;  /* scheduled, not sent yet */
    bool all_sent;             /* without resends */
    gint poison;               /* atomic */
    GHashTable *answer_counts; /* kind, outcome, error type, ran -> count */
};

/* A request in flight or scheduled to be sent again. */
typedef struct _cr_request {
    cr_callers *callers;
    wl_item item;
    bool is_resend;
    int daemon; /* index in rc_daemon_names */
    int64_t at_us;
} _cr_request;

static void _cr_send(cr_callers *callers, const wl_item *item, bool is_resend,
                     int avoided_daemon);

/* -- private: answers ----------------------------------------------------- */

static void
_cr_quit_if_done(cr_callers *callers)
{
    if (callers->all_sent && !callers->pending_resends &&
        lc_query_open_requests(callers->client) == 0) {
        g_main_loop_quit(callers->loop);
    }
}

static hk_outcome
_cr_convert_outcome(lc_outcome outcome)
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
_cr_count_answer(cr_callers *callers, const _cr_request *request,
                 const lc_result *result)
{
    char *name = g_strdup_printf(
        "%s %s %s %s",
        request->item.kind == WL_KIND_DEFAULT ? "draft" : "call",
        lc_query_outcome_name(result->outcome), result->type, result->ran);
    gsize count =
        GPOINTER_TO_SIZE(g_hash_table_lookup(callers->answer_counts, name));
    g_hash_table_replace(callers->answer_counts, name,
                         GSIZE_TO_POINTER(count + 1));
}

static void
_cr_on_done(const lc_result *result, void *user_data)
{
    g_autofree _cr_request *request = user_data;
    cr_callers *callers = request->callers;
    _cr_count_answer(callers, request, result);
    bool refused = result->outcome == LC_REFUSED;
    bool draft = request->item.kind == WL_KIND_DEFAULT;
    g_autofree char *text = draft
                                ? g_strndup(result->text, _CR_KEPT_TEXT_BYTES)
                                : g_strdup(result->text);
    rc_add(callers->desc.record,
           &(hk_event){
               .type = HK_CALL,
               .at_us = request->at_us,
               .end_us = g_get_real_time(),
               .subject = rc_daemon_names[request->daemon],
               .model = draft ? request->item.model : NULL,
               .key = request->item.key[0] ? request->item.key : NULL,
               .prompt = draft ? request->item.prompt : NULL,
               .text = refused ? result->type : text,
               .outcome = _cr_convert_outcome(result->outcome),
               .not_run = refused && g_str_equal(result->ran, "not_run"),
               .pieces = result->tokens,
               .deadline_ms =
                   draft ? _CR_DRAFT_DEADLINE_MS : _CR_CALL_DEADLINE_MS,
           });
    _cr_quit_if_done(callers);
}

/* -- private: sending ----------------------------------------------------- */

/* Returns the first usable daemon from index from on, or avoided_daemon if it
   is the only usable one, or -1 if none is usable. */
static int
_cr_choose_daemon(const cr_callers *callers, uint32_t from, int avoided_daemon)
{
    int chosen = -1;
    for (uint32_t i = 0; i < RC_DAEMON_COUNT; i++) {
        int daemon = (int)((from + i) % RC_DAEMON_COUNT);
        if (!g_atomic_int_get(&callers->desc.record->usable[daemon])) {
            continue;
        }
        if (daemon != avoided_daemon) {
            return daemon;
        }
        chosen = daemon;
    }
    return chosen;
}

static gboolean
_cr_on_resend(void *data)
{
    g_autofree _cr_request *request = data;
    request->callers->pending_resends--;
    _cr_send(request->callers, &request->item, true, request->daemon);
    return G_SOURCE_REMOVE;
}

static void
_cr_schedule_resend(cr_callers *callers, const wl_item *item, int daemon)
{
    _cr_request *resend = g_new0(_cr_request, 1);
    resend->callers = callers;
    resend->item = *item;
    resend->daemon = daemon;
    callers->pending_resends++;
    g_timeout_add(item->resend_ms, _cr_on_resend, resend);
}

/* Sends the item to a usable daemon other than avoided_daemon if there is one;
   drops it if no daemon is usable. -1 avoids none. */
static void
_cr_send(cr_callers *callers, const wl_item *item, bool is_resend,
         int avoided_daemon)
{
    int daemon = _cr_choose_daemon(callers, item->target, avoided_daemon);
    if (daemon < 0) {
        return;
    }
    _cr_request *request = g_new0(_cr_request, 1);
    request->callers = callers;
    request->item = *item;
    request->is_resend = is_resend;
    request->daemon = daemon;
    request->at_us = g_get_real_time();
    bool poison = g_atomic_int_get(&callers->poison) &&
                  item->number % _CR_POISON_INTERVAL == 0;
    bool draft = item->kind == WL_KIND_DEFAULT;
    const char *call = item->kind == WL_BOOKING ? "dispatch" : "stock";
    lc_send(
        callers->client,
        &(lc_request_desc){.url = callers->urls[daemon],
                           .operation = draft ? NULL : call,
                           .model = poison ? _CR_POISON_MODEL : item->model,
                           .prompt = poison ? CR_POISON_PROMPT : item->prompt,
                           .max_tokens = item->max_tokens,
                           .stream = item->stream,
                           .key = item->key[0] ? item->key : NULL,
                           .body = "{\"item\":1}",
                           .deadline_ms = draft ? _CR_DRAFT_DEADLINE_MS
                                                : _CR_CALL_DEADLINE_MS,
                           .timeout_ms = _CR_TIMEOUT_MS,
                           .done = _cr_on_done,
                           .user_data = request});
    if (item->resend && !is_resend) {
        _cr_schedule_resend(callers, item, daemon);
    }
}

static gboolean
_cr_on_timer(void *data)
{
    cr_callers *callers = data;
    int64_t now_us = g_get_monotonic_time();
    while (callers->start_us + (int64_t)callers->next_item.at_us <= now_us) {
        _cr_send(callers, &callers->next_item, false, -1);
        wl_next(callers->workload, &callers->next_item);
    }
    if (now_us < callers->end_us) {
        return G_SOURCE_CONTINUE;
    }
    callers->all_sent = true;
    _cr_quit_if_done(callers);
    return G_SOURCE_REMOVE;
}

/* -- public --------------------------------------------------------------- */

cr_callers *
cr_create(const cr_desc *desc)
{
    cr_callers *callers = g_new0(cr_callers, 1);
    callers->desc = *desc;
    callers->client = lc_create(&(lc_desc){.secret = SHOP_KEY});
    callers->workload = wl_create(&(wl_desc){
        .seed = desc->seed,
        .rate = desc->rate > 0 ? desc->rate : _CR_DEFAULT_RATE,
        .adapters = SHOP_ADAPTERS,
        .versions = _CR_ADAPTER_VERSIONS,
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
    callers->answer_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < RC_DAEMON_COUNT; i++) {
        callers->urls[i] =
            hn_query_url(hn_find(desc->fleet, rc_daemon_names[i]));
    }
    return callers;
}

void
cr_destroy(cr_callers *callers)
{
    lc_destroy(callers->client);
    wl_destroy(callers->workload);
    g_main_loop_unref(callers->loop);
    g_hash_table_unref(callers->answer_counts);
    g_free(callers);
}

void
cr_print_answers(const cr_callers *callers)
{
    GHashTableIter iter;
    void *name;
    void *count;
    g_hash_table_iter_init(&iter, callers->answer_counts);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        g_print("chaos: answers: %5zu %s\n", GPOINTER_TO_SIZE(count),
                (const char *)name);
    }
}

void
cr_run(cr_callers *callers, uint32_t duration_ms)
{
    callers->start_us = g_get_monotonic_time();
    callers->end_us = callers->start_us + duration_ms * INT64_C(1000);
    wl_next(callers->workload, &callers->next_item);
    g_timeout_add(1, _cr_on_timer, callers);
    g_main_loop_run(callers->loop);
}

void
cr_set_poison(cr_callers *callers, bool enabled)
{
    g_atomic_int_set(&callers->poison, enabled);
}
