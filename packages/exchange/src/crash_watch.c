#include "crash_watch.h"

/* All connections of a process that ends are closed at once; they are noticed
   within this time. */
#define _CW_SETTLE_US 15000
/* An observation without a result ends after this time. */
#define _CW_TIMEOUT_US 1000000

typedef struct _cw_observation {
    fl_server *server;
    uint64_t born_ms;
    uint64_t since_us;
    cw_request requests[CW_MAX_REQUESTS];
    uint32_t request_count;
} _cw_observation;

struct cw_watch {
    cw_desc desc;
    GPtrArray *observations; /* _cw_observation */
};

static _cw_observation *
_cw_find_or_add(cw_watch *watch, const cw_broken *broken, uint64_t now_us)
{
    for (guint i = 0; i < watch->observations->len; i++) {
        _cw_observation *known = watch->observations->pdata[i];
        if (known->server == broken->server &&
            known->born_ms == broken->born_ms) {
            return known;
        }
    }
    _cw_observation *added = g_new0(_cw_observation, 1);
    added->server = broken->server;
    added->born_ms = broken->born_ms;
    added->since_us = now_us;
    g_ptr_array_add(watch->observations, added);
    return added;
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

cw_watch *
cw_create(const cw_desc *desc)
{
    g_assert(desc->callbacks);
    cw_watch *watch = g_new0(cw_watch, 1);
    watch->desc = *desc;
    watch->observations = g_ptr_array_new_with_free_func(g_free);
    return watch;
}

void
cw_destroy(cw_watch *watch)
{
    if (watch) {
        g_ptr_array_unref(watch->observations);
        g_free(watch);
    }
}

void
cw_note_broken(cw_watch *watch, const cw_broken *broken, uint64_t now_us)
{
    _cw_observation *observation = _cw_find_or_add(watch, broken, now_us);
    cw_request *place = _cw_get_place(observation, broken->request.progress);
    if (place) {
        *place = broken->request;
    }
}

/* Returns true if the observation is over. */
static bool
_cw_decide(const cw_watch *watch, const _cw_observation *observation,
           uint64_t now_us)
{
    if (now_us < observation->since_us + _CW_SETTLE_US) {
        return false;
    }
    cw_listens listens = watch->desc.callbacks->listens(
        observation->server, observation->since_us, watch->desc.user_data);
    if (listens == CW_LISTENS_NO) {
        watch->desc.callbacks->crashed(
            &(cw_crash){.server = observation->server,
                        .born_ms = observation->born_ms,
                        .at_us = observation->since_us,
                        .requests = observation->requests,
                        .request_count = observation->request_count},
            watch->desc.user_data);
    }
    return listens != CW_LISTENS_DEFAULT ||
           now_us >= observation->since_us + _CW_TIMEOUT_US;
}

void
cw_tick(cw_watch *watch, uint64_t now_us)
{
    for (guint i = watch->observations->len; i > 0; i--) {
        if (_cw_decide(watch, watch->observations->pdata[i - 1], now_us)) {
            g_ptr_array_remove_index_fast(watch->observations, i - 1);
        }
    }
}

bool
cw_query_pending(const cw_watch *watch)
{
    return watch->observations->len > 0;
}
