#include "gossip.h"

#include "gossip_private.h"
#include "lacewing/conn.h"
#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "relay.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Largest datagram that can be received. */
#define _GP_DATAGRAM_BYTES 65536
/* Most datagrams read in one turn of the loop, so that other events of the
   loop are handled in between. */
#define _GP_READS_PER_TURN 32
/* Upper bound of a datagram's transit time between nearby regions. */
#define _GP_TRANSIT_US 10000
/* Most adapters whose uses are reported in one message. */
#define _GP_USES_MAX 64

/* Most copies of one model in one message; more are left out. */
#define _GP_MODEL_COPIES_MAX 256

/* In-flight counts are sent again after this time, well before receivers treat
   them as stale (fleet.c). */
#define _GP_LOAD_RESEND_US 700000

/* Most bytes of messages that a relay collects for one datagram. */
#define _GP_RELAY_BYTES_MAX 8192

/* Most rows in one message and most bytes of their values; if there are more,
   receivers read the store instead. */
#define _GP_ROWS_MAX 16
#define _GP_ROWS_BYTES_MAX 8192

/* Per server: the holder's state received last, and what this instance sent
   last. */
typedef struct _gp_record {
    uint64_t fence; /* of the state received last, as the next two */
    uint64_t revision;
    uint64_t state_received_us;
    uint64_t sent_state_digest;
    uint32_t sent_in_flight; /* local requests only */
    uint64_t sent_prefill_tokens;
    uint64_t load_sent_us; /* when the load was last sent */
    int32_t sent_load_capacity;
    uint64_t sent_uses_digest; /* of the in-flight requests of each copy */
} _gp_record;

struct gp_peers {
    gp_desc desc;
    lp_watch watch;
    char *instance;
    char *zone;
    char *address;
    GHashTable *servers; /* id -> _gp_record */
    uint8_t *buffer;     /* of the datagram that is read */
    rl_plan *plan;
    uint64_t plan_digest; /* of the instances that the plan was built from */
    uint32_t poll_positions[KR_TABLE_NUM];
    uint32_t suspects_position;
    uint64_t last_number;   /* of the last broadcast */
    GHashTable *seen;       /* instance -> rl_seen */
    GPtrArray *relay_queue; /* GBytes: messages for the rest of the zone */
    gsize relay_queue_bytes;
};

static _gp_record *
_gp_record_of(gp_peers *peers, const char *id)
{
    _gp_record *record = g_hash_table_lookup(peers->servers, id);
    if (!record) {
        record = g_new0(_gp_record, 1);
        g_hash_table_insert(peers->servers, g_strdup(id), record);
    }
    return record;
}

/* -- private: sending ----------------------------------------------------- */

typedef struct _gp_datagram {
    gp_peers *peers;
    const uint8_t *bytes;
    size_t count;
    const char *receiver; /* instance; for _gp_send_if_receiver() */
    bool sent;            /* to at least one address */
} _gp_datagram;

static void
_gp_send_to(const char *instance, const char *address, void *user_data)
{
    (void)instance;
    _gp_datagram *datagram = user_data;
    struct sockaddr_in name;
    if (!nc_parse_address(address, &name)) {
        return;
    }
    ssize_t count =
        sendto(datagram->peers->watch.fd, datagram->bytes, datagram->count,
               MSG_NOSIGNAL, (struct sockaddr *)&name, sizeof(name));
    if (count > 0) {
        ct_add(CT_LINK_BYTES_OUT, count);
        datagram->sent = true;
    }
}

static void
_gp_send_if_receiver(const le_peer *peer, void *user_data)
{
    const _gp_datagram *datagram = user_data;
    if (strcmp(datagram->receiver, peer->instance) == 0) {
        _gp_send_to(peer->instance, peer->address, user_data);
    }
}

static void
_gp_add_plan_peer(const le_peer *peer, void *user_data)
{
    rl_put(user_data, &(rl_peer){.instance = peer->instance,
                                 .zone = peer->zone,
                                 .address = peer->address,
                                 .link_mbps = peer->link_mbps,
                                 .leaving = peer->leaving});
}

/* Returns the relay plan, rebuilt if the set of instances has changed. */
static rl_plan *
_gp_current_plan(gp_peers *peers)
{
    uint64_t digest = le_query_peer_digest(peers->desc.lease);
    if (digest != peers->plan_digest) {
        peers->plan_digest = digest;
        rl_clear(peers->plan);
        le_each_peer(peers->desc.lease, _gp_add_plan_peer, peers->plan);
        rl_put(peers->plan, &(rl_peer){.instance = peers->instance,
                                       .zone = peers->zone,
                                       .address = peers->address,
                                       .link_mbps = peers->desc.link_mbps});
        peers->suspects_position = rl_query_position(peers->plan, "suspects");
        for (int table = 0; table < KR_TABLE_NUM; table++) {
            char task[16];
            g_snprintf(task, sizeof(task), "table %d", table);
            peers->poll_positions[table] =
                rl_query_polling_shared(peers->plan)
                    ? rl_query_position(peers->plan, task)
                    : 0;
        }
    }
    return peers->plan;
}

/* Fills in the sender and serializes a message. */
static uint8_t *
_gp_pack(gp_peers *peers, Lacewing__Exchange__Word *message, size_t *count)
{
    message->instance = peers->instance;
    message->incarnation = peers->desc.incarnation;
    *count = lacewing__exchange__word__get_packed_size(message);
    uint8_t *bytes = g_malloc(*count);
    lacewing__exchange__word__pack(message, bytes);
    return bytes;
}

/* Queues a message for the other instances of the zone, after flushing a full
   queue. */
static void
_gp_queue_relayed(gp_peers *peers, const uint8_t *bytes, size_t count)
{
    if (peers->relay_queue_bytes + count > _GP_RELAY_BYTES_MAX) {
        gp_flush_relayed(peers);
    }
    g_ptr_array_add(peers->relay_queue, g_bytes_new(bytes, count));
    peers->relay_queue_bytes += count;
}

uint64_t
gp_now_us(const gp_peers *peers)
{
    return lp_query_now_us(peers->desc.loop);
}

uint32_t
gp_age_ms(const gp_peers *peers, uint64_t at_us)
{
    uint64_t now_us = gp_now_us(peers);
    return at_us < now_us ? (uint32_t)((now_us - at_us) / 1000) : 0;
}

uint64_t
gp_local_us(const gp_peers *peers, uint32_t age_ms)
{
    uint64_t now_us = gp_now_us(peers);
    uint64_t age_us = age_ms * 1000ULL;
    return age_us < now_us ? now_us - age_us : 1;
}

void
gp_broadcast(gp_peers *peers, Lacewing__Exchange__Word *message, bool repeated)
{
    rl_plan *plan = _gp_current_plan(peers);
    message->number = ++peers->last_number;
    message->spread = rl_query_relayed(plan);
    size_t count;
    g_autofree uint8_t *bytes = _gp_pack(peers, message, &count);
    _gp_datagram datagram = {.peers = peers, .bytes = bytes, .count = count};
    rl_each_target(plan, message->number, !repeated, _gp_send_to, &datagram);
    if (rl_query_is_relay(plan)) {
        _gp_queue_relayed(peers, bytes, count);
    }
}

bool
gp_send_to_instance(gp_peers *peers, Lacewing__Exchange__Word *message,
                    const char *instance)
{
    size_t count;
    g_autofree uint8_t *bytes = _gp_pack(peers, message, &count);
    _gp_datagram datagram = {
        .peers = peers, .bytes = bytes, .count = count, .receiver = instance};
    le_each_peer(peers->desc.lease, _gp_send_if_receiver, &datagram);
    return datagram.sent;
}

void
gp_flush_relayed(gp_peers *peers)
{
    if (peers->relay_queue->len == 0) {
        return;
    }
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    g_autofree ProtobufCBinaryData *words =
        g_new(ProtobufCBinaryData, peers->relay_queue->len);
    for (guint i = 0; i < peers->relay_queue->len; i++) {
        gsize size = 0;
        words[i].data =
            (uint8_t *)g_bytes_get_data(peers->relay_queue->pdata[i], &size);
        words[i].len = size;
    }
    message.n_words = peers->relay_queue->len;
    message.words = words;
    size_t count;
    g_autofree uint8_t *bytes = _gp_pack(peers, &message, &count);
    _gp_datagram datagram = {.peers = peers, .bytes = bytes, .count = count};
    rl_each_zone_peer(_gp_current_plan(peers), _gp_send_to, &datagram);
    g_ptr_array_set_size(peers->relay_queue, 0);
    peers->relay_queue_bytes = 0;
}

bool
gp_request_load(gp_peers *peers, fl_server *server, fl_adapter *adapter,
                const char *request)
{
    const char *holder = le_query_holder(peers->desc.lease, server->id);
    if (!holder) {
        return false;
    }
    Lacewing__Exchange__LoadAsk ask = LACEWING__EXCHANGE__LOAD_ASK__INIT;
    ask.server = server->id;
    ask.model = adapter->model;
    ask.adapter = adapter->name;
    ask.request = (char *)(request ? request : "");
    Lacewing__Exchange__LoadAsk *asks[] = {&ask};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_asks = 1;
    message.asks = asks;
    return gp_send_to_instance(peers, &message, holder);
}

/* A ServerState message and what it refers to. */
typedef struct _gp_state {
    Lacewing__Exchange__ServerState message;
    GPtrArray *models; /* ModelState */
    GPtrArray *copies; /* CopyState, of all models */
} _gp_state;

/* Returns the message of a model, added if it is missing. */
static Lacewing__Exchange__ModelState *
_gp_model_state(_gp_state *state, const char *name)
{
    for (guint i = 0; i < state->models->len; i++) {
        Lacewing__Exchange__ModelState *model = state->models->pdata[i];
        if (strcmp(model->name, name) == 0) {
            return model;
        }
    }
    Lacewing__Exchange__ModelState *model =
        g_new(Lacewing__Exchange__ModelState, 1);
    lacewing__exchange__model_state__init(model);
    model->name = (char *)name;
    model->copies =
        g_new0(Lacewing__Exchange__CopyState *, _GP_MODEL_COPIES_MAX);
    g_ptr_array_add(state->models, model);
    return model;
}

static void
_gp_add_copy(_gp_state *state, const fl_copy *copy)
{
    Lacewing__Exchange__ModelState *model =
        _gp_model_state(state, copy->adapter->model);
    if (!copy->adapter->name) {
        model->version = copy->version;
        model->loading = copy->loading;
        return;
    }
    if (model->n_copies == _GP_MODEL_COPIES_MAX) {
        return;
    }
    Lacewing__Exchange__CopyState *message =
        g_new(Lacewing__Exchange__CopyState, 1);
    lacewing__exchange__copy_state__init(message);
    message->name = copy->adapter->name;
    message->version = copy->version;
    message->loading = copy->loading;
    model->copies[model->n_copies++] = message;
    g_ptr_array_add(state->copies, message);
}

/* Does not depend on the order of the copies. */
static uint64_t
_gp_state_digest(const fl_server *server)
{
    uint64_t digest = server->born_ms + 1;
    for (guint i = 0; i < server->copies->len; i++) {
        const fl_copy *copy = server->copies->pdata[i];
        uint64_t parts[] = {copy->adapter->hash, copy->version, copy->loading};
        digest += hs_u64_bytes(parts, sizeof(parts));
    }
    return digest;
}

/* Records the current state as sent. Returns false if it was sent already. */
static bool
_gp_update_state_digest(gp_peers *peers, const fl_server *server)
{
    _gp_record *record = _gp_record_of(peers, server->id);
    uint64_t digest = _gp_state_digest(server);
    bool changed = record->sent_state_digest != digest;
    record->sent_state_digest = digest;
    return changed;
}

/* Sends a server's state to one instance, or to all if receiver is NULL. */
static void
_gp_send_state(gp_peers *peers, fl_server *server, uint64_t revision,
               const char *receiver)
{
    _gp_state state = {.models = g_ptr_array_new_with_free_func(g_free),
                       .copies = g_ptr_array_new_with_free_func(g_free)};
    lacewing__exchange__server_state__init(&state.message);
    for (guint i = 0; i < server->copies->len; i++) {
        _gp_add_copy(&state, server->copies->pdata[i]);
    }
    state.message.id = server->id;
    state.message.born_ms = server->born_ms;
    state.message.number = revision;
    state.message.fence = le_query_fence(
        peers->desc.lease, lp_query_now_us(peers->desc.loop), server->id);
    state.message.n_models = state.models->len;
    state.message.models =
        (Lacewing__Exchange__ModelState **)state.models->pdata;
    Lacewing__Exchange__ServerState *servers[] = {&state.message};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_servers = 1;
    message.servers = servers;
    if (receiver) {
        gp_send_to_instance(peers, &message, receiver);
    }
    else {
        gp_broadcast(peers, &message, false);
    }
    for (guint i = 0; i < state.models->len; i++) {
        g_free(((Lacewing__Exchange__ModelState *)state.models->pdata[i])
                   ->copies);
    }
    g_ptr_array_unref(state.models);
    g_ptr_array_unref(state.copies);
}

void
gp_broadcast_server_state(gp_peers *peers, fl_server *server,
                          uint64_t revision, bool force)
{
    if (_gp_update_state_digest(peers, server) || force) {
        _gp_send_state(peers, server, revision, NULL);
    }
}

void
gp_broadcast_leaving(gp_peers *peers, const fl_server *server)
{
    Lacewing__Exchange__LeavingWord leaving =
        LACEWING__EXCHANGE__LEAVING_WORD__INIT;
    leaving.server = server->id;
    leaving.born_ms = server->born_ms;
    Lacewing__Exchange__LeavingWord *notices[] = {&leaving};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_leaving = 1;
    message.leaving = notices;
    gp_broadcast(peers, &message, false);
}

/* The parts of a message of loads and uses. */
typedef struct _gp_loads {
    gp_peers *peers;
    GPtrArray *loads;  /* ServerLoad */
    GPtrArray *copies; /* CopyUse, of all servers */
    GPtrArray *lists;  /* CopyUse *, one array per server */
    GPtrArray *uses;   /* Use */
    GPtrArray *quotas; /* QuotaUse */
} _gp_loads;

/* Adds the local in-flight requests of each copy that has any. */
static void
_gp_fill_copies(_gp_loads *all, Lacewing__Exchange__ServerLoad *load,
                const fl_server *server)
{
    if (server->own_in_flight == 0) {
        return;
    }
    load->uses = g_new(Lacewing__Exchange__CopyUse *, server->copies->len);
    g_ptr_array_add(all->lists, load->uses);
    for (guint i = 0; i < server->copies->len; i++) {
        const fl_copy *copy = server->copies->pdata[i];
        if (copy->own_in_flight == 0) {
            continue;
        }
        Lacewing__Exchange__CopyUse *use =
            g_new(Lacewing__Exchange__CopyUse, 1);
        lacewing__exchange__copy_use__init(use);
        use->adapter = (uint32_t)copy->adapter->hash;
        use->in_flight = copy->own_in_flight;
        g_ptr_array_add(all->copies, use);
        load->uses[load->n_uses++] = use;
    }
}

/* Does not depend on the order of the copies. */
static uint64_t
_gp_uses_digest(const fl_server *server)
{
    uint64_t digest = 0;
    for (guint i = 0; server->own_in_flight && i < server->copies->len; i++) {
        const fl_copy *copy = server->copies->pdata[i];
        uint64_t parts[] = {copy->adapter->hash, copy->own_in_flight};
        digest += copy->own_in_flight ? hs_u64_bytes(parts, sizeof(parts)) : 0;
    }
    return digest;
}

/* Returns whether the load of a server, as it is now, was sent already and is
   not due again. */
static bool
_gp_load_is_sent(const _gp_record *record, const fl_server *server, bool held,
                 int32_t load_capacity, uint64_t now_us)
{
    bool stale = record->sent_in_flight &&
                 now_us >= record->load_sent_us + _GP_LOAD_RESEND_US;
    return !stale && server->own_in_flight == record->sent_in_flight &&
           server->own_prefill_tokens == record->sent_prefill_tokens &&
           !server->unreported_streams && !server->unreported_prefills &&
           (!held || load_capacity == record->sent_load_capacity) &&
           _gp_uses_digest(server) == record->sent_uses_digest;
}

static void
_gp_add_load(fl_server *server, void *user_data)
{
    _gp_loads *all = user_data;
    gp_peers *peers = all->peers;
    _gp_record *record = _gp_record_of(peers, server->id);
    uint64_t now_us = lp_query_now_us(peers->desc.loop);
    int32_t load_capacity = 0;
    bool held = peers->desc.callbacks->load_capacity(server, &load_capacity,
                                                     peers->desc.user_data);
    if (held) {
        fl_set_load_capacity(server, load_capacity, now_us);
    }
    if (_gp_load_is_sent(record, server, held, load_capacity, now_us)) {
        return;
    }
    Lacewing__Exchange__ServerLoad *load =
        g_new(Lacewing__Exchange__ServerLoad, 1);
    lacewing__exchange__server_load__init(load);
    load->id = server->id;
    load->in_flight = server->own_in_flight;
    load->streams = server->unreported_streams;
    load->event_ms_sum = (float)server->unreported_event_ms;
    load->unread = (uint32_t)MIN(server->own_prefill_tokens, UINT32_MAX);
    load->reads = server->unreported_prefills;
    load->read_ms_sum = (float)server->unreported_prefill_ms;
    load->held = held;
    load->room = load_capacity;
    _gp_fill_copies(all, load, server);
    server->unreported_streams = 0;
    server->unreported_event_ms = 0;
    server->unreported_prefills = 0;
    server->unreported_prefill_ms = 0;
    g_ptr_array_add(all->loads, load);
    record->sent_in_flight = server->own_in_flight;
    record->sent_prefill_tokens = server->own_prefill_tokens;
    record->sent_load_capacity = load_capacity;
    record->sent_uses_digest = _gp_uses_digest(server);
    record->load_sent_us = now_us;
}

static void
_gp_add_use(fl_adapter *adapter, void *user_data)
{
    _gp_loads *all = user_data;
    if (all->uses->len == _GP_USES_MAX) {
        /* Dropped: the rest says little about the demand. */
        adapter->unreported_requests = 0;
        return;
    }
    Lacewing__Exchange__Use *use = g_new(Lacewing__Exchange__Use, 1);
    lacewing__exchange__use__init(use);
    use->key = adapter->key;
    use->count = adapter->unreported_requests;
    adapter->unreported_requests = 0;
    g_ptr_array_add(all->uses, use);
}

/* Returns false if the content of the table is unknown. */
static bool
_gp_fill_table_digest(gp_peers *peers, Lacewing__Exchange__TableWord *message,
                      kr_table table, const gp_table_digest *known)
{
    uint64_t now_us = lp_query_now_us(peers->desc.loop);
    if (known->at_us == 0 || known->at_us > now_us) {
        return false;
    }
    lacewing__exchange__table_word__init(message);
    message->table = table;
    message->digest = known->digest;
    message->age_ms = (uint32_t)((now_us - known->at_us) / 1000);
    return true;
}

static void
_gp_add_quota_use(const qt_use *use, void *user_data)
{
    _gp_loads *all = user_data;
    Lacewing__Exchange__QuotaUse *word =
        g_new(Lacewing__Exchange__QuotaUse, 1);
    lacewing__exchange__quota_use__init(word);
    word->workspace = use->workspace;
    word->admitted = use->admitted;
    word->refused = use->refused;
    g_ptr_array_add(all->quotas, word);
}

/* Returns false if there is nothing to report. */
static bool
_gp_fill_origins(const gp_peers *peers, Lacewing__Exchange__OriginsWord *word)
{
    const gp_callbacks *callbacks = peers->desc.callbacks;
    gp_origins known = {0};
    if (!callbacks->origins ||
        !callbacks->origins(&known, peers->desc.user_data)) {
        return false;
    }
    lacewing__exchange__origins_word__init(word);
    word->store_lost = known.store_lost;
    word->mixed = known.mixed;
    word->written_ms = known.written_ms;
    return true;
}

void
gp_broadcast_loads(gp_peers *peers, const gp_table_digest *own)
{
    _gp_loads all = {.peers = peers,
                     .loads = g_ptr_array_new_with_free_func(g_free),
                     .copies = g_ptr_array_new_with_free_func(g_free),
                     .lists = g_ptr_array_new_with_free_func(g_free),
                     .uses = g_ptr_array_new_with_free_func(g_free),
                     .quotas = g_ptr_array_new_with_free_func(g_free)};
    fl_each_server(peers->desc.fleet, _gp_add_load, &all);
    fl_each_unreported(peers->desc.fleet, _gp_add_use, &all);
    qt_each_unreported(peers->desc.quotas, lp_query_now_us(peers->desc.loop),
                       _gp_add_quota_use, &all);
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_quota_uses = all.quotas->len;
    message.quota_uses = (Lacewing__Exchange__QuotaUse **)all.quotas->pdata;
    message.n_loads = all.loads->len;
    message.loads = (Lacewing__Exchange__ServerLoad **)all.loads->pdata;
    message.n_uses = all.uses->len;
    message.uses = (Lacewing__Exchange__Use **)all.uses->pdata;
    Lacewing__Exchange__TableWord table;
    Lacewing__Exchange__TableWord *tables[] = {&table};
    message.n_tables = _gp_fill_table_digest(peers, &table, KR_OWN, own);
    message.tables = tables;
    Lacewing__Exchange__OriginsWord origins;
    message.origins = _gp_fill_origins(peers, &origins) ? &origins : NULL;
    if (message.n_loads || message.n_uses || message.n_quota_uses ||
        message.origins) {
        gp_broadcast(peers, &message, true);
    }
    g_ptr_array_unref(all.loads);
    g_ptr_array_unref(all.copies);
    g_ptr_array_unref(all.lists);
    g_ptr_array_unref(all.uses);
    g_ptr_array_unref(all.quotas);
}

static bool
_gp_rows_fit(const GArray *rows)
{
    gsize bytes = 0;
    for (guint i = 0; i < rows->len; i++) {
        const dl_row *row = &g_array_index(rows, dl_row, i);
        bytes += row->value ? g_bytes_get_size(row->value) : 0;
    }
    return rows->len <= _GP_ROWS_MAX && bytes <= _GP_ROWS_BYTES_MAX;
}

static void
_gp_fill_row(Lacewing__Exchange__RowWord *message, kr_table table,
             const dl_row *row)
{
    lacewing__exchange__row_word__init(message);
    message->table = table;
    message->key = row->key;
    message->version = row->version;
    message->removed = row->value == NULL;
    if (row->value) {
        gsize size = 0;
        message->value.data = (uint8_t *)g_bytes_get_data(row->value, &size);
        message->value.len = size;
    }
}

void
gp_broadcast_table(gp_peers *peers, kr_table table,
                   const gp_table_digest *known, const GArray *rows)
{
    Lacewing__Exchange__TableWord table_message;
    if (!_gp_fill_table_digest(peers, &table_message, table, known)) {
        return;
    }
    Lacewing__Exchange__TableWord *tables[] = {&table_message};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_tables = 1;
    message.tables = tables;
    Lacewing__Exchange__RowWord row_messages[_GP_ROWS_MAX];
    Lacewing__Exchange__RowWord *row_pointers[_GP_ROWS_MAX];
    for (guint i = 0; _gp_rows_fit(rows) && i < rows->len; i++) {
        _gp_fill_row(&row_messages[i], table, &g_array_index(rows, dl_row, i));
        row_pointers[i] = &row_messages[i];
        message.n_rows = i + 1;
    }
    message.rows = row_pointers;
    gp_broadcast(peers, &message, false);
}

/* -- private: receiving --------------------------------------------------- */

/* Returns false for a state older than the one received last: one with a lower
   fence, or a lower revision under the same fence. */
static bool
_gp_accept_revision(gp_peers *peers,
                    const Lacewing__Exchange__ServerState *state)
{
    _gp_record *record = _gp_record_of(peers, state->id);
    if (state->fence < record->fence ||
        (state->fence == record->fence && state->number < record->revision)) {
        return false;
    }
    record->fence = state->fence;
    record->revision = state->number;
    record->state_received_us = lp_query_now_us(peers->desc.loop);
    return true;
}

static void
_gp_apply_model(gp_peers *peers, fl_server *server,
                const Lacewing__Exchange__ModelState *model, GHashTable *seen)
{
    uint64_t now_us = lp_query_now_us(peers->desc.loop);
    fl_fleet *fleet = peers->desc.fleet;
    g_hash_table_add(seen, fl_put_copy_by_name(fleet, server, model->name,
                                               NULL, model->version,
                                               model->loading, now_us));
    for (size_t i = 0; i < model->n_copies; i++) {
        const Lacewing__Exchange__CopyState *copy = model->copies[i];
        g_hash_table_add(seen, fl_put_copy_by_name(fleet, server, model->name,
                                                   copy->name, copy->version,
                                                   copy->loading, now_us));
    }
}

static void
_gp_apply_server_state(gp_peers *peers,
                       const Lacewing__Exchange__ServerState *state)
{
    fl_server *server = fl_query_server(peers->desc.fleet, state->id);
    if (!server || server->orders || state->fence == 0 ||
        state->born_ms != server->born_ms ||
        !_gp_accept_revision(peers, state)) {
        return;
    }
    g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
    for (size_t i = 0; i < state->n_models; i++) {
        _gp_apply_model(peers, server, state->models[i], seen);
    }
    fl_drop_copies_except(server, seen);
    server->unanswered_load_request_us = 0;
    server->holder_silent_until_us = 0;
    peers->desc.callbacks->server_changed(server, peers->desc.user_data);
}

static void
_gp_answer_load_request(gp_peers *peers,
                        const Lacewing__Exchange__LoadAsk *ask,
                        const char *from)
{
    fl_server *server = fl_query_server(peers->desc.fleet, ask->server);
    if (!server) {
        return;
    }
    g_autofree char *key = g_strdup_printf("%s/%s", ask->model, ask->adapter);
    if (peers->desc.callbacks->load_requested(
            server, fl_intern(peers->desc.fleet, key),
            *ask->request ? ask->request : NULL, peers->desc.user_data)) {
        _gp_send_state(peers, server, peers->desc.callbacks->revision(server),
                       from);
    }
}

static void
_gp_apply_row(gp_peers *peers, const Lacewing__Exchange__RowWord *message)
{
    if (message->table >= KR_TABLE_NUM || message->version == 0) {
        return;
    }
    g_autoptr(GBytes) value =
        message->removed
            ? NULL
            : g_bytes_new(message->value.data, message->value.len);
    dl_row row = {message->key, value, message->version};
    peers->desc.callbacks->row((kr_table)message->table, &row,
                               peers->desc.user_data);
}

/* Applies what a peer has in flight at a server. */
static void
_gp_apply_load(gp_peers *peers, const Lacewing__Exchange__ServerLoad *load,
               uint32_t peer)
{
    uint64_t now_us = lp_query_now_us(peers->desc.loop);
    fl_server *server = fl_query_server(peers->desc.fleet, load->id);
    if (!server) {
        return;
    }
    fl_set_peer_in_flight(server, peer, load->in_flight, now_us);
    fl_set_peer_prefill_tokens(server, peer, load->unread);
    fl_update_event_ms(server, load->streams, load->event_ms_sum);
    fl_update_prefill_ms(server, load->reads, load->read_ms_sum);
    fl_clear_peer_copies_in_flight(server, peer);
    for (size_t i = 0; i < load->n_uses; i++) {
        fl_set_peer_copy_in_flight(server, peer, load->uses[i]->adapter,
                                   load->uses[i]->in_flight, now_us);
    }
    if (load->held) {
        fl_set_load_capacity(server, load->room, now_us);
    }
}

static void
_gp_apply(gp_peers *peers, const Lacewing__Exchange__Word *message)
{
    uint64_t now_us = lp_query_now_us(peers->desc.loop);
    uint32_t peer = (uint32_t)g_str_hash(message->instance);
    qt_note_heard(peers->desc.quotas, message->instance, now_us);
    for (size_t i = 0; i < message->n_quota_uses; i++) {
        const Lacewing__Exchange__QuotaUse *word = message->quota_uses[i];
        qt_feed(peers->desc.quotas, message->instance, message->incarnation,
                &(qt_use){.workspace = word->workspace,
                          .admitted = word->admitted,
                          .refused = word->refused},
                now_us);
    }
    for (size_t i = 0; i < message->n_loads; i++) {
        _gp_apply_load(peers, message->loads[i], peer);
    }
    for (size_t i = 0; i < message->n_uses; i++) {
        fl_add_demand(fl_intern(peers->desc.fleet, message->uses[i]->key),
                      message->uses[i]->count, now_us);
    }
    if (message->origins && peers->desc.callbacks->peer_origins) {
        gp_origins known = {.store_lost = message->origins->store_lost,
                            .mixed = message->origins->mixed,
                            .written_ms = message->origins->written_ms};
        peers->desc.callbacks->peer_origins(message->instance,
                                            message->incarnation, &known,
                                            peers->desc.user_data);
    }
    for (size_t i = 0; i < message->n_leaving; i++) {
        peers->desc.callbacks->server_leaving(message->leaving[i]->server,
                                              message->leaving[i]->born_ms,
                                              peers->desc.user_data);
    }
    for (size_t i = 0; i < message->n_servers; i++) {
        _gp_apply_server_state(peers, message->servers[i]);
    }
    for (size_t i = 0; i < message->n_rows; i++) {
        _gp_apply_row(peers, message->rows[i]);
    }
    for (size_t i = 0; i < message->n_tables; i++) {
        const Lacewing__Exchange__TableWord *table = message->tables[i];
        uint64_t age_us = table->age_ms * 1000ULL + _GP_TRANSIT_US;
        if (table->table < KR_TABLE_NUM && age_us < now_us) {
            gp_table_digest known = {table->digest, now_us - age_us};
            peers->desc.callbacks->table_digest((kr_table)table->table, &known,
                                                peers->desc.user_data);
        }
    }
    gp_apply_suspects(peers, peers->desc.callbacks, peers->desc.user_data,
                      message);
    gp_apply_limits(peers, peers->desc.callbacks, peers->desc.user_data,
                    message);
    for (size_t i = 0; i < message->n_asks; i++) {
        _gp_answer_load_request(peers, message->asks[i], message->instance);
    }
}

/* Returns false for a duplicate, which came through another relay. */
static bool
_gp_accept_number(gp_peers *peers, const Lacewing__Exchange__Word *message)
{
    if (message->number == 0) {
        return true;
    }
    rl_seen *seen = g_hash_table_lookup(peers->seen, message->instance);
    if (!seen) {
        seen = g_new0(rl_seen, 1);
        g_hash_table_insert(peers->seen, g_strdup(message->instance), seen);
    }
    return rl_accept(seen, message->incarnation, message->number);
}

/* Receives a message. direct: it is a whole datagram; otherwise a relay
   forwarded it inside one. */
static void
_gp_receive(gp_peers *peers, const uint8_t *bytes, size_t count, bool direct)
{
    Lacewing__Exchange__Word *message =
        lacewing__exchange__word__unpack(NULL, count, bytes);
    if (!message) {
        ct_add(CT_FRAMES_REFUSED, 1);
        return;
    }
    if (strcmp(message->instance, peers->instance) != 0 &&
        _gp_accept_number(peers, message)) {
        if (direct && message->spread &&
            rl_query_is_relay(_gp_current_plan(peers))) {
            _gp_queue_relayed(peers, bytes, count);
        }
        _gp_apply(peers, message);
        for (size_t i = 0; direct && i < message->n_words; i++) {
            _gp_receive(peers, message->words[i].data, message->words[i].len,
                        false);
        }
    }
    lacewing__exchange__word__free_unpacked(message, NULL);
}

static void
_gp_on_readable(lp_watch *watch, uint32_t ready, void *user_data)
{
    (void)ready;
    gp_peers *peers = user_data;
    for (int i = 0; i < _GP_READS_PER_TURN; i++) {
        ssize_t count = recv(watch->fd, peers->buffer, _GP_DATAGRAM_BYTES, 0);
        if (count <= 0) {
            return;
        }
        ct_add(CT_LINK_BYTES_IN, count);
        _gp_receive(peers, peers->buffer, (size_t)count, true);
    }
}

/* -- public --------------------------------------------------------------- */

gp_peers *
gp_create(const gp_desc *desc, er_status *status)
{
    struct sockaddr_in name;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || !nc_parse_address(desc->address, &name) ||
        bind(fd, (struct sockaddr *)&name, sizeof(name))) {
        er_set(status, ER_CONNECTION, "cannot open UDP socket at %s: %s",
               desc->address, g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    gp_peers *peers = g_new0(gp_peers, 1);
    peers->desc = *desc;
    peers->instance = g_strdup(desc->instance);
    peers->zone = g_strdup(desc->zone);
    peers->address = g_strdup(desc->address);
    peers->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    peers->buffer = g_malloc(_GP_DATAGRAM_BYTES);
    peers->plan =
        rl_create(&(rl_desc){.instance = desc->instance, .zone = desc->zone});
    peers->seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    peers->relay_queue =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    peers->watch =
        (lp_watch){.fd = fd, .call = _gp_on_readable, .user_data = peers};
    lp_set_watch(desc->loop, &peers->watch, LP_READ);
    return peers;
}

void
gp_destroy(gp_peers *peers)
{
    if (!peers) {
        return;
    }
    lp_remove_watch(peers->desc.loop, &peers->watch);
    close(peers->watch.fd);
    g_hash_table_unref(peers->servers);
    g_hash_table_unref(peers->seen);
    g_ptr_array_unref(peers->relay_queue);
    rl_destroy(peers->plan);
    g_free(peers->buffer);
    g_free(peers->instance);
    g_free(peers->zone);
    g_free(peers->address);
    g_free(peers);
}

uint32_t
gp_query_poll_position(gp_peers *peers, kr_table table)
{
    _gp_current_plan(peers);
    return peers->poll_positions[table];
}

uint32_t
gp_query_suspects_position(gp_peers *peers)
{
    _gp_current_plan(peers);
    return peers->suspects_position;
}

const char *
gp_query_limit_divider(gp_peers *peers, const char *server, bool leaving)
{
    return rl_query_first(_gp_current_plan(peers), server, leaving);
}

bool
gp_query_relayed(gp_peers *peers)
{
    return rl_query_relayed(_gp_current_plan(peers));
}

bool
gp_query_polling_shared(gp_peers *peers)
{
    return rl_query_polling_shared(_gp_current_plan(peers));
}

uint64_t
gp_query_state_received_us(const gp_peers *peers, const fl_server *server)
{
    const _gp_record *record = g_hash_table_lookup(peers->servers, server->id);
    return record ? record->state_received_us : 0;
}
