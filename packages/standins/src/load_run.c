#include "load_run.h"

#include "latency.h"
#include "load_bookings.h"
#include <errno.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define _LO_SECONDS_DEFAULT 10.0
#define _LO_REQUESTS_MAX_DEFAULT 1000000
#define _LO_US_PER_S 1000000
#define _LO_MS_PER_US 1e-3

typedef enum _lo_class {
    _LO_SHORT = 0,
    _LO_LONG,
    _LO_CALL,
    _LO_FIRST_TOKEN, /* time to the first token of streams */
    _LO_CLASS_NUM
} _lo_class;

static const char *const _lo_class_names[_LO_CLASS_NUM] = {
    [_LO_SHORT] = "short drafts",
    [_LO_LONG] = "long drafts",
    [_LO_CALL] = "calls",
    [_LO_FIRST_TOKEN] = "first token",
};

struct lo_run {
    lo_desc desc;
    lc_client *client;
    wl_workload *work;
    lb_bookings *bookings;
    GMainLoop *loop;
    wl_item next;         /* not yet sent */
    uint64_t start_us;    /* monotonic */
    uint64_t last_end_us; /* end of the last answer */
    int timer;            /* file descriptor */
    guint timer_source;
    guint drain_source;
    bool all_sent;
    uint64_t sent; /* requests, resends included */
    uint64_t pending_resends;
    uint64_t drafts;
    uint64_t lookups;
    uint64_t tokens; /* of correct drafts */
    uint64_t outcomes[LC_OUTCOME_NUM];
    uint64_t wrong_drafts;
    lt_set *latencies[_LO_CLASS_NUM];
    lt_set *all_latencies; /* without first tokens */
};

/* A request that is open, or a resend that is due later. */
typedef struct _lo_request {
    lo_run *run;
    wl_item item;
    bool is_resend; /* the second request of a booking */
    uint64_t scheduled_us;
} _lo_request;

static void _lo_send(lo_run *run, const wl_item *item, bool is_resend,
                     uint64_t scheduled_us);

/* -- private: answers ----------------------------------------------------- */

static void
_lo_end_if_done(lo_run *run)
{
    if (run->all_sent && !run->pending_resends &&
        lc_query_open_requests(run->client) == 0) {
        g_main_loop_quit(run->loop);
    }
}

static gboolean
_lo_on_resend(void *data)
{
    g_autofree _lo_request *request = data;
    request->run->pending_resends--;
    _lo_send(request->run, &request->item, true,
             (uint64_t)g_get_monotonic_time());
    return G_SOURCE_REMOVE;
}

static void
_lo_schedule_resend(lo_run *run, const wl_item *item)
{
    _lo_request *resend = g_new0(_lo_request, 1);
    resend->run = run;
    resend->item = *item;
    run->pending_resends++;
    g_timeout_add(item->resend_ms, _lo_on_resend, resend);
}

static void
_lo_record_latency(lo_run *run, const _lo_request *request,
                   const lc_result *result)
{
    double ms =
        (double)(result->end_us - request->scheduled_us) * _LO_MS_PER_US;
    _lo_class class = request->item.is_long ? _LO_LONG : _LO_SHORT;
    if (request->item.kind != WL_KIND_DEFAULT) {
        class = _LO_CALL;
    }
    lt_add(run->latencies[class], ms);
    lt_add(run->all_latencies, ms);
    if (class != _LO_CALL && request->item.stream && result->first_us) {
        lt_add(run->latencies[_LO_FIRST_TOKEN],
               (double)(result->first_us - request->scheduled_us) *
                   _LO_MS_PER_US);
    }
}

static void
_lo_on_done(const lc_result *result, void *user_data)
{
    g_autofree _lo_request *request = user_data;
    lo_run *run = request->run;
    run->outcomes[result->outcome]++;
    run->last_end_us = result->end_us;
    if (result->outcome == LC_OUTCOME_DEFAULT) {
        _lo_record_latency(run, request, result);
    }
    if (request->item.kind == WL_KIND_DEFAULT) {
        run->wrong_drafts += result->outcome == LC_WRONG;
        run->tokens += result->outcome == LC_OUTCOME_DEFAULT
                           ? request->item.max_tokens
                           : 0;
    }
    if (request->item.kind == WL_BOOKING) {
        lb_add_result(run->bookings, request->item.key, result);
    }
    _lo_end_if_done(run);
}

/* -- private: sending ----------------------------------------------------- */

static const char *
_lo_choose_url(const lo_run *run, const wl_item *item, bool is_resend)
{
    bool service = run->desc.direct && item->kind != WL_KIND_DEFAULT;
    const char *const *urls = service ? run->desc.services : run->desc.targets;
    guint count = g_strv_length((char **)urls);
    return urls[(item->target + is_resend) % count];
}

static void
_lo_send(lo_run *run, const wl_item *item, bool is_resend,
         uint64_t scheduled_us)
{
    static const char *const bodies[] = {"{\"item\":1}"};
    _lo_request *request = g_new0(_lo_request, 1);
    request->run = run;
    request->item = *item;
    request->is_resend = is_resend;
    request->scheduled_us = scheduled_us;
    run->sent++;
    bool draft = item->kind == WL_KIND_DEFAULT;
    const char *call =
        item->kind == WL_BOOKING ? run->desc.booking : run->desc.lookup;
    char id[WL_TEXT_BYTES];
    g_snprintf(id, sizeof(id), "load-%" G_GUINT64_FORMAT "/%d", item->number,
               is_resend + 1);
    lc_send(run->client,
            &(lc_request_desc){.url = _lo_choose_url(run, item, is_resend),
                               .direct = run->desc.direct,
                               .operation = draft ? NULL : call,
                               .model = item->model,
                               .prompt = item->prompt,
                               .max_tokens = item->max_tokens,
                               .stream = item->stream,
                               .key = item->key[0] ? item->key : NULL,
                               .body = bodies[0],
                               .id = id,
                               .deadline_ms = run->desc.deadline_ms,
                               .done = _lo_on_done,
                               .user_data = request});
}

static void
_lo_send_item(lo_run *run, const wl_item *item, uint64_t scheduled_us)
{
    run->drafts += item->kind == WL_KIND_DEFAULT;
    run->lookups += item->kind == WL_LOOKUP;
    if (item->kind == WL_BOOKING) {
        lb_add_key(run->bookings, item->key);
    }
    _lo_send(run, item, false, scheduled_us);
    if (item->resend) {
        _lo_schedule_resend(run, item);
    }
}

static void
_lo_set_timer(lo_run *run, uint64_t at_us)
{
    struct itimerspec when = {
        .it_value = {.tv_sec = (time_t)(at_us / _LO_US_PER_S),
                     .tv_nsec = (long)(at_us % _LO_US_PER_S) * 1000},
    };
    timerfd_settime(run->timer, TFD_TIMER_ABSTIME, &when, NULL);
}

static gboolean
_lo_on_drain_timeout(void *data)
{
    lo_run *run = data;
    run->drain_source = 0;
    g_main_loop_quit(run->loop);
    return G_SOURCE_REMOVE;
}

static void
_lo_stop_sending(lo_run *run)
{
    run->all_sent = true;
    run->drain_source =
        g_timeout_add_seconds(LO_DRAIN_S, _lo_on_drain_timeout, run);
    _lo_end_if_done(run);
}

static gboolean
_lo_on_timer(gint fd, GIOCondition condition, void *data)
{
    (void)condition;
    lo_run *run = data;
    uint64_t expirations = 0;
    if (read(fd, &expirations, sizeof(expirations)) < 0 && errno != EAGAIN) {
        return G_SOURCE_CONTINUE;
    }
    uint64_t now_us = (uint64_t)g_get_monotonic_time();
    uint64_t end_us = (uint64_t)(run->desc.seconds * _LO_US_PER_S);
    while (run->start_us + run->next.at_us <= now_us) {
        if (run->next.at_us > end_us || run->sent >= run->desc.requests_max) {
            run->timer_source = 0;
            _lo_stop_sending(run);
            return G_SOURCE_REMOVE;
        }
        _lo_send_item(run, &run->next, run->start_us + run->next.at_us);
        wl_next(run->work, &run->next);
    }
    _lo_set_timer(run, run->start_us + run->next.at_us);
    return G_SOURCE_CONTINUE;
}

/* -- private: preload ----------------------------------------------------- */

static void
_lo_post(SoupSession *session, const char *url, const char *text)
{
    g_autoptr(SoupMessage) message = soup_message_new("POST", url);
    g_autoptr(GBytes) body = g_bytes_new(text, strlen(text));
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             body);
    g_autoptr(GBytes) answer =
        soup_session_send_and_read(session, message, NULL, NULL);
    if (!answer || soup_message_get_status(message) != SOUP_STATUS_OK) {
        g_printerr("lacewing-load: request to load an adapter failed: "
                   "POST %s %s\n",
                   url, text);
    }
}

static void
_lo_preload_target(lo_run *run, SoupSession *session, const char *target)
{
    g_autofree char *url = g_strconcat(target, "/v1/load_lora_adapter", NULL);
    for (uint32_t i = 0; i < run->desc.work.adapters; i++) {
        char model[WL_TEXT_BYTES];
        wl_query_model(run->work, i, 1, model);
        g_auto(GStrv) parts = g_strsplit(model, "@", 2);
        g_autofree char *text = g_strdup_printf(
            "{\"lora_name\":\"%s\",\"version\":\"%s\"}", parts[0], parts[1]);
        _lo_post(session, url, text);
    }
}

/* -- public --------------------------------------------------------------- */

lo_run *
lo_create(const lo_desc *desc)
{
    g_assert(desc->targets && desc->targets[0]);
    lo_run *run = g_new0(lo_run, 1);
    run->desc = *desc;
    run->desc.seconds =
        desc->seconds > 0 ? desc->seconds : _LO_SECONDS_DEFAULT;
    run->desc.requests_max =
        desc->requests_max ? desc->requests_max : _LO_REQUESTS_MAX_DEFAULT;
    run->desc.lookup = desc->lookup ? desc->lookup : "lookup";
    run->desc.booking = desc->booking ? desc->booking : "booking";
    run->client = lc_create(&(lc_desc){.secret = desc->secret});
    run->work = wl_create(&desc->work);
    run->bookings = lb_create();
    run->loop = g_main_loop_new(NULL, FALSE);
    run->all_latencies = lt_create();
    for (int i = 0; i < _LO_CLASS_NUM; i++) {
        run->latencies[i] = lt_create();
    }
    run->timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    return run;
}

void
lo_destroy(lo_run *run)
{
    g_clear_handle_id(&run->timer_source, g_source_remove);
    g_clear_handle_id(&run->drain_source, g_source_remove);
    /* A client with open requests can't be destroyed and leaks. */
    if (lc_query_open_requests(run->client) == 0) {
        lc_destroy(run->client);
    }
    wl_destroy(run->work);
    lb_destroy(run->bookings);
    g_main_loop_unref(run->loop);
    lt_destroy(run->all_latencies);
    for (int i = 0; i < _LO_CLASS_NUM; i++) {
        lt_destroy(run->latencies[i]);
    }
    close(run->timer);
    g_free(run);
}

void
lo_preload(lo_run *run)
{
    g_autoptr(SoupSession) session = soup_session_new();
    for (const char *const *url = run->desc.targets; *url; url++) {
        _lo_preload_target(run, session, *url);
    }
}

void
lo_execute(lo_run *run)
{
    run->start_us = (uint64_t)g_get_monotonic_time();
    run->last_end_us = run->start_us;
    wl_next(run->work, &run->next);
    run->timer_source = g_unix_fd_add(run->timer, G_IO_IN, _lo_on_timer, run);
    _lo_set_timer(run, run->start_us + run->next.at_us);
    g_main_loop_run(run->loop);
}

bool
lo_check_bookings(lo_run *run, const char *const *services)
{
    bool checked = true;
    for (; *services; services++) {
        checked = lb_read_history(run->bookings, *services) && checked;
    }
    return checked;
}

static uint64_t
_lo_lost(const lo_run *run)
{
    return run->outcomes[LC_BROKEN] + run->outcomes[LC_SILENT] +
           lc_query_open_requests(run->client) +
           lb_query_counts(run->bookings).lost;
}

void
lo_print(lo_run *run)
{
    g_print("%-16s %8s %9s %9s %9s %9s %9s\n", "latency in ms", "count", "p50",
            "p90", "p99", "p99.9", "max");
    for (int i = 0; i < _LO_CLASS_NUM; i++) {
        lt_print(run->latencies[i], _lo_class_names[i]);
    }
    lt_print(run->all_latencies, "all");
    lt_print_histogram(run->all_latencies);
    double seconds =
        MAX((double)(run->last_end_us - run->start_us) / _LO_US_PER_S, 1e-6);
    lb_counts bookings = lb_query_counts(run->bookings);
    g_print(
        "summary: requests=%" G_GUINT64_FORMAT " drafts=%" G_GUINT64_FORMAT
        " lookups=%" G_GUINT64_FORMAT " bookings=%" G_GUINT64_FORMAT
        " retried=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
        " lost=%" G_GUINT64_FORMAT " doubled=%" G_GUINT64_FORMAT
        " wrong_adapter=%" G_GUINT64_FORMAT " false_not_run=%" G_GUINT64_FORMAT
        " requests_per_s=%.1f tokens_per_s=%.1f p50_ms=%.2f p99_ms=%.2f"
        " first_p50_ms=%.2f first_p99_ms=%.2f\n",
        run->sent, run->drafts, run->lookups, bookings.keys,
        bookings.results > bookings.keys ? bookings.results - bookings.keys
                                         : 0,
        run->outcomes[LC_REFUSED], _lo_lost(run), bookings.doubled,
        run->wrong_drafts, bookings.false_not_run, (double)run->sent / seconds,
        (double)run->tokens / seconds, lt_query_ms(run->all_latencies, 0.5),
        lt_query_ms(run->all_latencies, 0.99),
        lt_query_ms(run->latencies[_LO_FIRST_TOKEN], 0.5),
        lt_query_ms(run->latencies[_LO_FIRST_TOKEN], 0.99));
}

uint64_t
lo_query_violations(const lo_run *run)
{
    lb_counts bookings = lb_query_counts(run->bookings);
    return _lo_lost(run) + bookings.doubled + bookings.false_not_run +
           bookings.differing + run->wrong_drafts;
}
