/* Streams that callers take up again: they go on only at servers of the
   software version that began them, see stream_origins.h. */
#include "exchange_private.h"

#include "lacewing/hash.h"
#include <string.h>

/* A stream is written as it begins, or a little later where many begin; a read
   that begins this long after its caller has come back finds it, unless its
   instance has ended before. */
#define _XC_ORIGIN_SETTLE_US 600000
/* Further time for that read to end; a slow store answers within it. */
#define _XC_ORIGIN_READ_US 400000
/* Reports of other instances count if they come this long after the caller has
   come back: those that came while the instance stood still are read by then.
 */
#define _XC_ORIGIN_HEARD_US 100000
/* Callers come back within their deadline; their clocks and messages add some
   of this. */
#define _XC_ORIGIN_SLACK_US 2000000
/* Longest wait for a free slot; below the gap of two seconds after which
   callers leave. */
#define _XC_SLOT_WAIT_US 1500000
/* A caller that has lost the end of a whole answer comes back at once. */
#define _XC_DONE_MEMORY_US 3000000

typedef enum _xc_origin_verdict {
    _XC_ORIGIN_FOUND = 0, /* the request can go to a server */
    _XC_ORIGIN_AWAITED,   /* another instance may know it */
    _XC_ORIGIN_LOST       /* nobody will know it */
} _xc_origin_verdict;

static const char *
_xc_header(const xc_exchange *exchange, dl_header name)
{
    return h1_query_header(exchange->head,
                           exchange->core->desc.dialect->headers[name]);
}

/* Returns the attempt that brought the first event, as the caller names it;
   NULL: it names none, or several. */
static char *
_xc_read_resumed(const xc_exchange *exchange)
{
    const h1_head *head = exchange->head;
    const char *name = exchange->core->desc.dialect->headers[DL_RESUMES];
    g_autofree char *resumed = NULL;
    for (uint32_t i = 0; i < head->header_count; i++) {
        if (g_ascii_strcasecmp(head->headers[i].name, name) != 0) {
            continue;
        }
        g_autofree char *value = g_strstrip(g_strdup(head->headers[i].value));
        if (!*value || (resumed && strcmp(resumed, value) != 0)) {
            return NULL;
        }
        g_free(resumed);
        resumed = g_steal_pointer(&value);
    }
    return g_steal_pointer(&resumed);
}

static bool
_xc_takes_up_stream(const xc_exchange *exchange)
{
    const char *last_event = _xc_header(exchange, DL_LAST_EVENT);
    return exchange->route->kind == RC_STREAM &&
           ((last_event && last_event[strspn(last_event, " \t")]) ||
            _xc_header(exchange, DL_RESUMES));
}

/* Returns true if all streams of the service that callers come back with began
   at its base, as the rows say that were read after this caller came back. */
static bool
_xc_began_at_base(const xc_exchange *exchange, uint64_t read_us)
{
    const xc_desc *desc = &exchange->core->desc;
    return read_us >= exchange->origin_asked_us &&
           desc->callbacks->origins_known(desc->user_data) &&
           !so_query_restored(desc->origins, xc_now_us(exchange));
}

/* Looks for the origin among what is known here. read_us: when the latest read
   of what others know began; 0: none has ended since. */
static _xc_origin_verdict
_xc_look_up_origin(xc_exchange *exchange, uint64_t read_us)
{
    const xc_desc *desc = &exchange->core->desc;
    uint64_t now_us = xc_now_us(exchange);
    uint64_t service = hs_u64(exchange->service->name);
    so_origin origin = {0};
    if (exchange->origin_named) {
        origin = so_query(desc->origins, exchange->attempt_hash, now_us);
    }
    if (origin.known) {
        exchange->software_hash = origin.software;
        xc_wait_for_slot(exchange);
        return origin.software ? _XC_ORIGIN_FOUND : _XC_ORIGIN_LOST;
    }
    if (!so_query_mixed(desc->origins, service, now_us)) {
        uint64_t base = so_query_base(desc->origins, service);
        if (!base || !_xc_began_at_base(exchange, read_us)) {
            return _XC_ORIGIN_AWAITED;
        }
        exchange->software_hash = base;
        return _XC_ORIGIN_FOUND;
    }
    if (!exchange->origin_named) {
        return _XC_ORIGIN_LOST;
    }
    if (exchange->origin_asked_store_ms &&
        desc->callbacks->origins_known(desc->user_data)) {
        exchange->software_hash = so_query_unlisted(
            desc->origins, service, exchange->origin_asked_store_ms, now_us);
    }
    if (exchange->software_hash) {
        xc_wait_for_slot(exchange);
        return _XC_ORIGIN_FOUND;
    }
    return read_us < exchange->received_us + _XC_ORIGIN_SETTLE_US
               ? _XC_ORIGIN_AWAITED
               : _XC_ORIGIN_LOST;
}

static void
_xc_refuse_unknown_origin(xc_exchange *exchange)
{
    xc_stop_waiting(exchange);
    xc_give_up(exchange, CT_UNSERVED_ORIGIN);
}

bool
xc_find_origin(xc_exchange *exchange)
{
    xc_core *core = exchange->core;
    exchange->attempt_hash = hs_u64(exchange->id);
    if (!_xc_takes_up_stream(exchange)) {
        return true;
    }
    g_autofree char *resumed = _xc_read_resumed(exchange);
    if (resumed) {
        exchange->attempt_hash = hs_u64(resumed);
    }
    exchange->origin_named = resumed != NULL;
    /* The loop's time may be that before the instance stood still. */
    exchange->origin_asked_us = lp_query_clock_us();
    _xc_origin_verdict verdict = _xc_look_up_origin(exchange, 0);
    if (verdict == _XC_ORIGIN_AWAITED) {
        exchange->wait_link.data = exchange;
        exchange->state = XC_WAITING_ORIGIN;
        g_queue_push_tail_link(&core->waiting_origin, &exchange->wait_link);
        core->desc.callbacks->find_origins(core->desc.user_data);
        return false;
    }
    if (verdict == _XC_ORIGIN_LOST) {
        _xc_refuse_unknown_origin(exchange);
        return false;
    }
    return true;
}

void
xc_note_origins_read(xc_core *core, uint64_t began_us, uint64_t store_ms)
{
    guint waiting = core->waiting_origin.length;
    for (guint i = 0; i < waiting; i++) {
        xc_exchange *exchange = core->waiting_origin.head->data;
        xc_stop_waiting(exchange);
        if (!exchange->origin_asked_store_ms &&
            began_us >= exchange->origin_asked_us) {
            exchange->origin_asked_store_ms = store_ms;
        }
        switch (_xc_look_up_origin(exchange, began_us)) {
        case _XC_ORIGIN_FOUND:
            xc_dispatch(exchange);
            break;
        case _XC_ORIGIN_AWAITED:
            exchange->state = XC_WAITING_ORIGIN;
            g_queue_push_tail_link(&core->waiting_origin,
                                   &exchange->wait_link);
            core->desc.callbacks->find_origins(core->desc.user_data);
            break;
        case _XC_ORIGIN_LOST:
            _xc_refuse_unknown_origin(exchange);
            break;
        }
    }
}

/* Returns true if the store's rows cannot be read, but no stream can have
   begun at another version than the base: an instance would have to store its
   row first, and to reach the store when most others do not. */
static bool
_xc_store_is_lost(const xc_exchange *exchange, uint64_t now_us)
{
    const xc_desc *desc = &exchange->core->desc;
    uint64_t service = hs_u64(exchange->service->name);
    return !so_query_mixed(desc->origins, service, now_us) &&
           so_query_base(desc->origins, service) &&
           desc->callbacks->store_lost_by_most(exchange->origin_asked_us +
                                                   _XC_ORIGIN_HEARD_US,
                                               desc->user_data);
}

bool
xc_end_origin_wait(xc_exchange *exchange, uint64_t now_us)
{
    if (exchange->state != XC_WAITING_ORIGIN) {
        return false;
    }
    if (_xc_store_is_lost(exchange, now_us)) {
        xc_stop_waiting(exchange);
        exchange->software_hash = so_query_base(
            exchange->core->desc.origins, hs_u64(exchange->service->name));
        xc_dispatch(exchange);
        return true;
    }
    if (now_us <
        exchange->received_us + _XC_ORIGIN_SETTLE_US + _XC_ORIGIN_READ_US) {
        return false;
    }
    _xc_refuse_unknown_origin(exchange);
    return true;
}

void
xc_wait_for_slot(xc_exchange *exchange)
{
    uint64_t now_us = xc_now_us(exchange);
    if (exchange->software_hash &&
        so_query_mixed(exchange->core->desc.origins,
                       hs_u64(exchange->service->name), now_us)) {
        exchange->slot_wait_until_us = now_us + _XC_SLOT_WAIT_US;
    }
}

void
xc_note_origin(xc_exchange *exchange)
{
    const xc_desc *desc = &exchange->core->desc;
    if (exchange->position) {
        so_note_stream(desc->origins, exchange->attempt_hash,
                       exchange->software_hash,
                       exchange->caller_deadline_us + _XC_ORIGIN_SLACK_US);
        desc->callbacks->stream_began(desc->user_data);
    }
}

void
xc_note_stream_done(xc_exchange *exchange)
{
    so_origins *origins = exchange->core->desc.origins;
    /* Streams that no row has are taken for those of the base, so those of
       other versions stay there for as long as their callers may come back. */
    if (exchange->software_hash ==
        so_query_base(origins, hs_u64(exchange->service->name))) {
        so_shorten(origins, exchange->attempt_hash,
                   xc_now_us(exchange) + _XC_DONE_MEMORY_US);
    }
}
