/* The naive policy: least reported load, LRU, FIFO, no limits. */
#include "baseline.h"
#include <glib.h>

typedef enum bl_slot_state {
    BL_SLOT_FREE = 0,
    BL_SLOT_LOADING,
    BL_SLOT_RESIDENT,
} bl_slot_state;

/* An adapter slot of a server. */
typedef struct bl_slot {
    bl_slot_state state;
    uint32_t adapter;
    uint32_t in_use;  /* attempts that have not ended */
    uint64_t used_us; /* time of the last use, or of the end of the load */
} bl_slot;

typedef struct bl_server {
    lwd_server_desc desc;
    bl_slot *slots;
    GQueue pending; /* indices of requests not sent yet, oldest first */
    GQueue unreported_sends; /* times, in us, of the sends since the last
                                report was sampled */
    uint32_t reported_load;  /* running and waiting jobs */
    bool loading; /* one load at a time, for the oldest waiting request */
    bool up;
    bool leaving;
} bl_server;

typedef struct bl_request {
    lwd_request_desc desc;
    uint32_t server;
    uint64_t attempt; /* 0: not sent */
    uint32_t tokens;  /* received so far */
    bool open;
} bl_request;

typedef struct bl_policy {
    lwd_policy policy;
    GPtrArray *servers;   /* bl_server; id is index + 1 */
    GArray *adapter_tags; /* uint64_t; id is index + 1 */
    GArray *requests;     /* bl_request; id is index + 1 */
    GArray *attempts;     /* uint32_t request; id is index + 1 */
    GQueue *actions;      /* lwd_action */
} bl_policy;

static bl_server *
_server(bl_policy *policy, uint32_t index)
{
    return g_ptr_array_index(policy->servers, index);
}

static bl_request *
_request(bl_policy *policy, uint32_t index)
{
    return &g_array_index(policy->requests, bl_request, index);
}

/* -- private: actions ----------------------------------------------------- */

static void
_push_action(bl_policy *policy, const lwd_action *action)
{
    g_queue_push_tail(policy->actions, g_memdup2(action, sizeof(*action)));
}

static void
_push_adapter_action(bl_policy *policy, lwd_action_type type, uint32_t server,
                     uint32_t adapter)
{
    _push_action(
        policy,
        &(lwd_action){.type = type,
                      .server = {server + 1},
                      .server_tag = _server(policy, server)->desc.tag,
                      .adapter = {adapter},
                      .adapter_tag = g_array_index(policy->adapter_tags,
                                                   uint64_t, adapter - 1)});
}

static void
_push_request_action(bl_policy *policy, lwd_action_type type, uint32_t index)
{
    const bl_request *request = _request(policy, index);
    uint32_t adapter = request->desc.adapter.id;
    _push_action(
        policy,
        &(lwd_action){.type = type,
                      .request = {index + 1},
                      .tag = request->desc.tag,
                      .attempt = {request->attempt},
                      .server = {request->server + 1},
                      .server_tag = _server(policy, request->server)->desc.tag,
                      .adapter = {adapter},
                      .adapter_tag = g_array_index(policy->adapter_tags,
                                                   uint64_t, adapter - 1),
                      .resume_from = request->tokens,
                      .reason = ER_NO_SERVER,
                      .retry_after_ms = 1000,
                      .ran = request->tokens > 0});
}

/* -- private: adapters on a server ---------------------------------------- */

static bl_slot *
_find_slot(const bl_server *server, uint32_t adapter)
{
    for (uint32_t i = 0; i < server->desc.adapter_slots; i++) {
        bl_slot *slot = &server->slots[i];
        if (slot->state != BL_SLOT_FREE && slot->adapter == adapter) {
            return slot;
        }
    }
    return NULL;
}

/* Returns a free slot, or the least recently used of those that no attempt
   uses; NULL if there is none. */
static bl_slot *
_find_slot_for_load(const bl_server *server)
{
    bl_slot *oldest = NULL;
    for (uint32_t i = 0; i < server->desc.adapter_slots; i++) {
        bl_slot *slot = &server->slots[i];
        if (slot->state == BL_SLOT_FREE) {
            return slot;
        }
        if (slot->state == BL_SLOT_RESIDENT && slot->in_use == 0 &&
            (oldest == NULL || slot->used_us < oldest->used_us)) {
            oldest = slot;
        }
    }
    return oldest;
}

static void
_load(bl_policy *policy, uint32_t index, uint32_t adapter)
{
    bl_server *server = _server(policy, index);
    bl_slot *slot = server->loading ? NULL : _find_slot_for_load(server);
    if (slot == NULL) {
        return;
    }
    server->loading = true;
    if (slot->state == BL_SLOT_RESIDENT) {
        _push_adapter_action(policy, LWD_ACTION_EVICT, index, slot->adapter);
    }
    *slot = (bl_slot){.state = BL_SLOT_LOADING, .adapter = adapter};
    _push_adapter_action(policy, LWD_ACTION_LOAD, index, adapter);
}

/* -- private: requests ---------------------------------------------------- */

static void
_send(bl_policy *policy, uint32_t index, bl_slot *slot, uint64_t now_us)
{
    bl_request *request = _request(policy, index);
    g_array_append_val(policy->attempts, index);
    request->attempt = policy->attempts->len;
    slot->in_use++;
    slot->used_us = now_us;
    uint64_t *sent_us = g_memdup2(&now_us, sizeof(now_us));
    g_queue_push_tail(&_server(policy, request->server)->unreported_sends,
                      sent_us);
    _push_request_action(policy, LWD_ACTION_SEND, index);
}

/* Sends the pending requests of a server whose adapter is resident, oldest
   first. If no load is in progress, orders the load of the adapter of the
   oldest other request. */
static void
_dispatch_pending(bl_policy *policy, uint32_t at, uint64_t now_us)
{
    bl_server *server = _server(policy, at);
    GList *next = NULL;
    for (GList *link = server->pending.head; link != NULL; link = next) {
        next = link->next;
        uint32_t index = GPOINTER_TO_UINT(link->data);
        uint32_t adapter = _request(policy, index)->desc.adapter.id;
        bl_slot *slot = _find_slot(server, adapter);
        if (slot == NULL) {
            _load(policy, at, adapter);
        }
        else if (slot->state == BL_SLOT_RESIDENT) {
            g_queue_delete_link(&server->pending, link);
            _send(policy, index, slot, now_us);
        }
    }
}

/* Returns the server with the least load, UINT32_MAX if none is usable. The
   load is the reported one and the requests assigned since the report was
   sampled. The search begins at start, so that equal loads do not always
   favour the first server. */
static uint32_t
_least_loaded(bl_policy *policy, uint32_t start)
{
    uint32_t best = UINT32_MAX;
    uint32_t best_load = UINT32_MAX;
    for (uint32_t i = 0; i < policy->servers->len; i++) {
        uint32_t at = (start + i) % policy->servers->len;
        bl_server *server = _server(policy, at);
        uint32_t load = server->reported_load +
                        server->unreported_sends.length +
                        server->pending.length;
        if (server->up && !server->leaving && load < best_load) {
            best = at;
            best_load = load;
        }
    }
    return best;
}

static void
_assign(bl_policy *policy, uint32_t index, uint64_t now_us)
{
    bl_request *request = _request(policy, index);
    uint32_t at = _least_loaded(policy, index);
    request->attempt = 0;
    if (at == UINT32_MAX) {
        _push_request_action(policy, LWD_ACTION_REFUSE, index);
        request->open = false;
        return;
    }
    request->server = at;
    g_queue_push_tail(&_server(policy, at)->pending, GUINT_TO_POINTER(index));
    _dispatch_pending(policy, at, now_us);
}

/* Ends the use of the adapter by an attempt that has ended. */
static void
_end_attempt(bl_policy *policy, uint32_t index)
{
    bl_request *request = _request(policy, index);
    bl_slot *slot =
        _find_slot(_server(policy, request->server), request->desc.adapter.id);
    if (slot != NULL && slot->in_use > 0) {
        slot->in_use--;
    }
    request->attempt = 0;
}

static void
_reassign_pending(bl_policy *policy, uint32_t at, uint64_t now_us)
{
    GQueue pending = _server(policy, at)->pending;
    g_queue_init(&_server(policy, at)->pending);
    while (!g_queue_is_empty(&pending)) {
        uint32_t index = GPOINTER_TO_UINT(g_queue_pop_head(&pending));
        _assign(policy, index, now_us);
    }
}

/* -- private: events ------------------------------------------------------ */

static er_code
_on_attempt(bl_policy *policy, uint64_t now_us, const lwd_event *event)
{
    if (event->attempt.id == 0 || event->attempt.id > policy->attempts->len) {
        return ER_INVALID_ID;
    }
    uint32_t index =
        g_array_index(policy->attempts, uint32_t, event->attempt.id - 1);
    bl_request *request = _request(policy, index);
    if (!request->open || request->attempt != event->attempt.id) {
        return ER_STALE;
    }
    if (event->type != LWD_EVENT_FINISHED && event->type != LWD_EVENT_FAILED) {
        return ER_OK;
    }
    uint32_t at = request->server;
    _end_attempt(policy, index);
    if (event->type == LWD_EVENT_FINISHED) {
        request->open = false;
    }
    else {
        bl_server *server = _server(policy, at);
        bl_slot *slot = _find_slot(server, request->desc.adapter.id);
        if (event->failure == LWD_FAILURE_NOT_RESIDENT && slot != NULL) {
            slot->state = BL_SLOT_FREE;
        }
        server->up = server->up && event->failure != LWD_FAILURE_DIED;
        request->tokens = event->tokens;
        _assign(policy, index, now_us);
    }
    _dispatch_pending(policy, at, now_us);
    return ER_OK;
}

static er_code
_on_caller_gone(bl_policy *policy, uint64_t now_us, const lwd_event *event)
{
    if (event->request.id == 0 || event->request.id > policy->requests->len) {
        return ER_INVALID_ID;
    }
    uint32_t index = (uint32_t)event->request.id - 1;
    bl_request *request = _request(policy, index);
    if (!request->open) {
        return ER_STALE;
    }
    request->open = false;
    bl_server *server = _server(policy, request->server);
    if (request->attempt == 0) {
        g_queue_remove(&server->pending, GUINT_TO_POINTER(index));
        return ER_OK;
    }
    _push_request_action(policy, LWD_ACTION_CANCEL, index);
    _end_attempt(policy, index);
    _dispatch_pending(policy, request->server, now_us);
    return ER_OK;
}

static void
_on_state(bl_policy *policy, uint64_t now_us, const lwd_event *event)
{
    uint32_t at = event->server.id - 1;
    bl_server *server = _server(policy, at);
    bool emptied = event->server_state == LWD_SERVER_DOWN ||
                   event->server_state == LWD_SERVER_RESTARTED;
    for (uint32_t i = 0; emptied && i < server->desc.adapter_slots; i++) {
        server->slots[i] = (bl_slot){0};
    }
    server->loading = server->loading && !emptied;
    server->up = event->server_state != LWD_SERVER_DOWN;
    server->leaving |= event->server_state == LWD_SERVER_LEAVING;
    if (!server->up || server->leaving) {
        _reassign_pending(policy, at, now_us);
    }
}

static void
_on_load_ended(bl_policy *policy, uint64_t now_us, const lwd_event *event)
{
    uint32_t at = event->server.id - 1;
    bl_server *server = _server(policy, at);
    bl_slot *slot = _find_slot(server, event->adapter.id);
    if (slot == NULL || slot->state != BL_SLOT_LOADING) {
        return;
    }
    server->loading = false;
    bool done = event->type == LWD_EVENT_LOAD_DONE;
    slot->state = done ? BL_SLOT_RESIDENT : BL_SLOT_FREE;
    slot->used_us = now_us;
    _dispatch_pending(policy, at, now_us);
}

static void
_on_report(bl_policy *policy, const lwd_event *event)
{
    bl_server *server = _server(policy, event->server.id - 1);
    server->reported_load = event->running + event->waiting;
    uint64_t *sent_us = g_queue_peek_head(&server->unreported_sends);
    while (sent_us != NULL && *sent_us <= event->sampled_us) {
        g_free(g_queue_pop_head(&server->unreported_sends));
        sent_us = g_queue_peek_head(&server->unreported_sends);
    }
}

static er_code
_feed(lwd_policy *base, uint64_t now_us, const lwd_event *event)
{
    bl_policy *policy = (bl_policy *)base;
    switch (event->type) {
    case LWD_EVENT_FIRST_TOKEN:
    case LWD_EVENT_PROGRESS:
    case LWD_EVENT_FINISHED:
    case LWD_EVENT_FAILED:
        return _on_attempt(policy, now_us, event);
    case LWD_EVENT_CALLER_GONE:
        return _on_caller_gone(policy, now_us, event);
    case LWD_EVENT_SERVER_STATE:
        _on_state(policy, now_us, event);
        return ER_OK;
    case LWD_EVENT_LOAD_DONE:
    case LWD_EVENT_LOAD_FAILED:
        _on_load_ended(policy, now_us, event);
        return ER_OK;
    case LWD_EVENT_LOAD_REPORT:
        _on_report(policy, event);
        return ER_OK;
    default:
        return ER_OK;
    }
}

/* -- private: the rest of the vtable -------------------------------------- */

static void
_free_server(gpointer data)
{
    bl_server *server = data;
    g_queue_clear(&server->pending);
    g_queue_clear_full(&server->unreported_sends, g_free);
    g_free(server->slots);
    g_free(server);
}

static void
_destroy(lwd_policy *base)
{
    bl_policy *policy = (bl_policy *)base;
    g_ptr_array_unref(policy->servers);
    g_array_unref(policy->adapter_tags);
    g_array_unref(policy->requests);
    g_array_unref(policy->attempts);
    g_queue_free_full(policy->actions, g_free);
    g_free(policy);
}

static lwd_server
_make_server(lwd_policy *base, uint64_t now_us, const lwd_server_desc *desc)
{
    (void)now_us;
    bl_policy *policy = (bl_policy *)base;
    bl_server *server = g_new0(bl_server, 1);
    server->desc = *desc;
    server->desc.adapter_slots =
        desc->adapter_slots ? desc->adapter_slots : 16;
    server->slots = g_new0(bl_slot, server->desc.adapter_slots);
    server->up = true;
    g_ptr_array_add(policy->servers, server);
    return (lwd_server){policy->servers->len};
}

static void
_destroy_server(lwd_policy *base, uint64_t now_us, lwd_server server)
{
    _feed(base, now_us,
          &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                       .server = server,
                       .server_state = LWD_SERVER_DOWN});
}

static lwd_adapter
_make_adapter(lwd_policy *base, uint64_t now_us, const lwd_adapter_desc *desc)
{
    (void)now_us;
    bl_policy *policy = (bl_policy *)base;
    g_array_append_val(policy->adapter_tags, desc->tag);
    return (lwd_adapter){policy->adapter_tags->len};
}

static void
_destroy_adapter(lwd_policy *base, uint64_t now_us, lwd_adapter adapter)
{
    (void)base;
    (void)now_us;
    (void)adapter;
}

static lwd_request
_make_request(lwd_policy *base, uint64_t now_us, const lwd_request_desc *desc)
{
    bl_policy *policy = (bl_policy *)base;
    bl_request request = {
        .desc = *desc, .tokens = desc->resume_from, .open = true};
    g_array_append_val(policy->requests, request);
    uint32_t index = policy->requests->len - 1;
    _assign(policy, index, now_us);
    return (lwd_request){index + 1};
}

static bool
_next_action(lwd_policy *base, lwd_action *action)
{
    bl_policy *policy = (bl_policy *)base;
    g_autofree lwd_action *next = g_queue_pop_head(policy->actions);
    if (next == NULL) {
        return false;
    }
    *action = *next;
    return true;
}

static uint64_t
_query_wakeup_us(const lwd_policy *policy)
{
    (void)policy;
    return UINT64_MAX;
}

lwd_policy *
bl_create(void)
{
    static const lwd_policy_vt table = {.destroy = _destroy,
                                        .make_server = _make_server,
                                        .destroy_server = _destroy_server,
                                        .make_adapter = _make_adapter,
                                        .destroy_adapter = _destroy_adapter,
                                        .make_request = _make_request,
                                        .feed = _feed,
                                        .next_action = _next_action,
                                        .query_wakeup_us = _query_wakeup_us};
    bl_policy *policy = g_new0(bl_policy, 1);
    policy->policy.vt = &table;
    policy->servers = g_ptr_array_new_with_free_func(_free_server);
    policy->adapter_tags = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    policy->requests = g_array_new(FALSE, FALSE, sizeof(bl_request));
    policy->attempts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    policy->actions = g_queue_new();
    return &policy->policy;
}
