#include "crash_watch.h"

/* All connections of a process that ends are closed at once; they are noticed
   within this time. */
#define _CW_SETTLE_US 15000
/* An observation without a result ends after this time. */
#define _CW_TIMEOUT_US 1000000
/* Requests of a process that may have fallen silent are kept for this time
   after the last of them: servers are back some seconds after a crash, and
   listed again somewhat later. */
#define _CW_SILENT_US UINT64_C(10000000)

/* Of one process, since its first answer that broke off or was given up. */
typedef struct _cw_observation {
    fl_server *server;
    uint64_t born_ms;
    uint64_t since_us;
    uint64_t last_us;
    bool leaving; /* already then, so that its end is planned */
    cw_request requests[CW_MAX_REQUESTS];
    uint32_t request_count;
} _cw_observation;

struct cw_watch {
    cw_desc desc;
    /* _cw_observation: of servers that are being tried, and of those that did
       not refuse a connection and may have fallen silent */
    GPtrArray *observations;
    GPtrArray *silent;
};

static _cw_observation *
_cw_find(GPtrArray *list, const fl_server *server, uint64_t born_ms)
{
    for (guint i = 0; i < list->len; i++) {
        _cw_observation *known = list->pdata[i];
        if (known->server == server && known->born_ms == born_ms) {
            return known;
        }
    }
    return NULL;
}

static _cw_observation *
_cw_find_or_add(GPtrArray *list, fl_server *server, uint64_t born_ms,
                uint64_t now_us)
{
    _cw_observation *observation = _cw_find(list, server, born_ms);
    if (!observation) {
        observation = g_new0(_cw_observation, 1);
        observation->server = server;
        observation->born_ms = born_ms;
        observation->since_us = now_us;
        observation->leaving = server->state != FL_READY;
        g_ptr_array_add(list, observation);
    }
    observation->last_us = now_us;
    return observation;
}

/* Returns the place for a further request, that of a less likely one if need
   be; NULL: there is none. */
static cw_request *
_cw_get_place(_cw_observation *observation, cw_progress progress)
{
    if (observation->request_count < CW_MAX_REQUESTS) {
        return &observation->requests[observation->request_count++];
    }
    cw_request *least = &observation->requests[0];
    for (uint32_t i = 1; i < CW_MAX_REQUESTS; i++) {
        if (observation->requests[i].progress < least->progress) {
            least = &observation->requests[i];
        }
    }
    return least->progress < progress ? least : NULL;
}

static void
_cw_add_request(_cw_observation *observation, const cw_request *request)
{
    cw_request *place = _cw_get_place(observation, request->progress);
    if (place) {
        *place = *request;
    }
}

cw_watch *
cw_create(const cw_desc *desc)
{
    g_assert(desc->callbacks);
    cw_watch *watch = g_new0(cw_watch, 1);
    watch->desc = *desc;
    watch->observations = g_ptr_array_new_with_free_func(g_free);
    watch->silent = g_ptr_array_new_with_free_func(g_free);
    return watch;
}

void
cw_destroy(cw_watch *watch)
{
    if (watch) {
        g_ptr_array_unref(watch->observations);
        g_ptr_array_unref(watch->silent);
        g_free(watch);
    }
}

void
cw_note_broken(cw_watch *watch, const cw_broken *broken, uint64_t now_us)
{
    GPtrArray *list = broken->gave_up ? watch->silent : watch->observations;
    _cw_add_request(
        _cw_find_or_add(list, broken->server, broken->born_ms, now_us),
        &broken->request);
}

void
cw_note_answered(cw_watch *watch, const fl_server *server, uint64_t born_ms)
{
    _cw_observation *observation = _cw_find(watch->silent, server, born_ms);
    if (observation) {
        g_ptr_array_remove_fast(watch->silent, observation);
    }
}

static void
_cw_report(const cw_watch *watch, const _cw_observation *observation)
{
    watch->desc.callbacks->crashed(
        &(cw_crash){.server = observation->server,
                    .born_ms = observation->born_ms,
                    .at_us = observation->since_us,
                    .requests = observation->requests,
                    .request_count = observation->request_count},
        watch->desc.user_data);
}

/* Keeps the requests of a server that has not refused a connection. */
static void
_cw_keep_silent(cw_watch *watch, const _cw_observation *observation)
{
    _cw_observation *kept =
        _cw_find_or_add(watch->silent, observation->server,
                        observation->born_ms, observation->since_us);
    kept->leaving = kept->leaving || observation->leaving;
    for (uint32_t i = 0; i < observation->request_count; i++) {
        _cw_add_request(kept, &observation->requests[i]);
    }
}

/* Returns true if the observation is over. */
static bool
_cw_decide(cw_watch *watch, const _cw_observation *observation,
           uint64_t now_us)
{
    if (now_us < observation->since_us + _CW_SETTLE_US) {
        return false;
    }
    cw_listens listens = watch->desc.callbacks->listens(
        observation->server, observation->since_us, watch->desc.user_data);
    if (listens == CW_LISTENS_NO) {
        _cw_report(watch, observation);
        return true;
    }
    bool over = listens == CW_LISTENS_YES ||
                now_us >= observation->since_us + _CW_TIMEOUT_US;
    if (over) {
        _cw_keep_silent(watch, observation);
    }
    return over;
}

/* Returns true if the requests of a silent process need not be kept. */
static bool
_cw_decide_silent(const cw_watch *watch, const _cw_observation *observation,
                  uint64_t now_us)
{
    bool replaced = watch->desc.callbacks->replaced(
        observation->server, observation->born_ms, watch->desc.user_data);
    if (replaced && !observation->leaving) {
        _cw_report(watch, observation);
    }
    return replaced || now_us >= observation->last_us + _CW_SILENT_US;
}

void
cw_tick(cw_watch *watch, uint64_t now_us)
{
    for (guint i = watch->observations->len; i > 0; i--) {
        if (_cw_decide(watch, watch->observations->pdata[i - 1], now_us)) {
            g_ptr_array_remove_index_fast(watch->observations, i - 1);
        }
    }
    for (guint i = watch->silent->len; i > 0; i--) {
        if (_cw_decide_silent(watch, watch->silent->pdata[i - 1], now_us)) {
            g_ptr_array_remove_index_fast(watch->silent, i - 1);
        }
    }
}

bool
cw_query_pending(const cw_watch *watch)
{
    return watch->observations->len > 0;
}
