#include "gossip.h"

#include "exchange.pb-c.h"
#include "lacewing/conn.h"
#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "relay.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define _GP_DATAGRAM_BYTES 65536
/* Read in one turn. */
#define _GP_BATCH 32
/* A datagram is on its way so long at the most, between near regions. */
#define _GP_WAY_US 10000
/* Adapters in one datagram of uses. */
#define _GP_USES 64

/* Requests under way are told again after this, well before the others take
   the word for old (fleet.c). */
#define _GP_LOAD_AGAIN_US 700000

/* Words that a relay keeps for one datagram. */
#define _GP_PASSING_BYTES 8192

/* Rows in one datagram; more, or larger ones, are left to the store. */
#define _GP_ROWS 16
#define _GP_ROWS_BYTES 8192

/* What was told of a server, and by whom. */
typedef struct _gp_server {
    uint64_t fence; /* of the holder's last word, its number and time */
    uint64_t number;
    uint64_t told_us;
    uint64_t held;      /* digest of what it holds, as told from here */
    uint32_t in_flight; /* from here, as told last */
    uint32_t unread;
    uint64_t in_flight_us;
    int32_t room;
    uint64_t uses; /* digest of the requests under way with each copy */
} _gp_server;

struct gp_peers {
    gp_desc desc;
    lp_watch watch;
    char *instance;
    char *zone;
    char *address;
    GHashTable *servers; /* id -> _gp_server */
    uint8_t *buffer;
    rl_plan *plan;
    uint64_t plan_digest; /* of the instances that it was made of */
    uint32_t turns[NW_TABLE_NUM];
    uint64_t number;    /* of the last word to all */
    GHashTable *seen;   /* instance -> rl_seen */
    GPtrArray *passing; /* GBytes: words for the others of our zone */
    gsize passing_bytes;
};

static _gp_server *
_gp_server_of(gp_peers *peers, const char *id)
{
    _gp_server *server = g_hash_table_lookup(peers->servers, id);
    if (!server) {
        server = g_new0(_gp_server, 1);
        g_hash_table_insert(peers->servers, g_strdup(id), server);
    }
    return server;
}

/* -- private: sending ----------------------------------------------------- */

typedef struct _gp_parcel {
    gp_peers *peers;
    const uint8_t *bytes;
    size_t count;
    const char *only; /* instance that it is for */
    bool sent;
} _gp_parcel;

static void
_gp_send_to(const char *instance, const char *address, void *user_data)
{
    (void)instance;
    _gp_parcel *parcel = user_data;
    struct sockaddr_in name;
    if (!nc_parse_address(address, &name)) {
        return;
    }
    ssize_t count =
        sendto(parcel->peers->watch.fd, parcel->bytes, parcel->count,
               MSG_NOSIGNAL, (struct sockaddr *)&name, sizeof(name));
    if (count > 0) {
        ct_add(CT_LINK_BYTES_OUT, count);
        parcel->sent = true;
    }
}

static void
_gp_send_if_meant(const le_peer *peer, void *user_data)
{
    const _gp_parcel *parcel = user_data;
    if (strcmp(parcel->only, peer->instance) == 0) {
        _gp_send_to(peer->instance, peer->address, user_data);
    }
}

static void
_gp_plan_peer(const le_peer *peer, void *user_data)
{
    rl_put(user_data, &(rl_peer){.instance = peer->instance,
                                 .zone = peer->zone,
                                 .address = peer->address,
                                 .link_mbps = peer->link_mbps,
                                 .leaving = peer->leaving});
}

static rl_plan *
_gp_plan(gp_peers *peers)
{
    uint64_t digest = le_query_peer_digest(peers->desc.lease);
    if (digest != peers->plan_digest) {
        peers->plan_digest = digest;
        rl_clear(peers->plan);
        le_each_peer(peers->desc.lease, _gp_plan_peer, peers->plan);
        rl_put(peers->plan, &(rl_peer){.instance = peers->instance,
                                       .zone = peers->zone,
                                       .address = peers->address,
                                       .link_mbps = peers->desc.link_mbps});
        for (int table = 0; table < NW_TABLE_NUM; table++) {
            char task[16];
            g_snprintf(task, sizeof(task), "table %d", table);
            peers->turns[table] = rl_query_many(peers->plan)
                                      ? rl_query_turn(peers->plan, task)
                                      : 0;
        }
    }
    return peers->plan;
}

static uint8_t *
_gp_pack(gp_peers *peers, Lacewing__Exchange__Word *word, size_t *count)
{
    word->instance = peers->instance;
    word->incarnation = peers->desc.incarnation;
    *count = lacewing__exchange__word__get_packed_size(word);
    uint8_t *bytes = g_malloc(*count);
    lacewing__exchange__word__pack(word, bytes);
    return bytes;
}

/* Keeps a word for the others of our zone. */
static void
_gp_keep(gp_peers *peers, const uint8_t *bytes, size_t count)
{
    if (peers->passing_bytes + count > _GP_PASSING_BYTES) {
        gp_pass_on(peers);
    }
    g_ptr_array_add(peers->passing, g_bytes_new(bytes, count));
    peers->passing_bytes += count;
}

/* often: it is told again soon, so one way to each zone is enough. */
static void
_gp_send_all(gp_peers *peers, Lacewing__Exchange__Word *word, bool often)
{
    rl_plan *plan = _gp_plan(peers);
    word->number = ++peers->number;
    word->spread = rl_query_spread(plan);
    size_t count;
    g_autofree uint8_t *bytes = _gp_pack(peers, word, &count);
    _gp_parcel parcel = {.peers = peers, .bytes = bytes, .count = count};
    rl_each_target(plan, word->number, !often, _gp_send_to, &parcel);
    if (rl_query_relays(plan)) {
        _gp_keep(peers, bytes, count);
    }
}

static bool
_gp_send_one(gp_peers *peers, Lacewing__Exchange__Word *word,
             const char *instance)
{
    size_t count;
    g_autofree uint8_t *bytes = _gp_pack(peers, word, &count);
    _gp_parcel parcel = {
        .peers = peers, .bytes = bytes, .count = count, .only = instance};
    le_each_peer(peers->desc.lease, _gp_send_if_meant, &parcel);
    return parcel.sent;
}

void
gp_pass_on(gp_peers *peers)
{
    if (peers->passing->len == 0) {
        return;
    }
    Lacewing__Exchange__Word word = LACEWING__EXCHANGE__WORD__INIT;
    g_autofree ProtobufCBinaryData *words =
        g_new(ProtobufCBinaryData, peers->passing->len);
    for (guint i = 0; i < peers->passing->len; i++) {
        gsize size = 0;
        words[i].data =
            (uint8_t *)g_bytes_get_data(peers->passing->pdata[i], &size);
        words[i].len = size;
    }
    word.n_words = peers->passing->len;
    word.words = words;
    size_t count;
    g_autofree uint8_t *bytes = _gp_pack(peers, &word, &count);
    _gp_parcel parcel = {.peers = peers, .bytes = bytes, .count = count};
    rl_each_member(_gp_plan(peers), _gp_send_to, &parcel);
    g_ptr_array_set_size(peers->passing, 0);
    peers->passing_bytes = 0;
}

bool
gp_ask(gp_peers *peers, fl_server *server, fl_adapter *adapter,
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
    Lacewing__Exchange__Word word = LACEWING__EXCHANGE__WORD__INIT;
    word.n_asks = 1;
    word.asks = asks;
    return _gp_send_one(peers, &word, holder);
}

typedef struct _gp_state {
    Lacewing__Exchange__ServerState message;
    GPtrArray *models; /* ModelState */
    GPtrArray *copies; /* CopyState, of all models */
} _gp_state;

static Lacewing__Exchange__ModelState *
_gp_model(_gp_state *state, const char *name)
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
    model->copies = g_new0(Lacewing__Exchange__CopyState *, 256);
    g_ptr_array_add(state->models, model);
    return model;
}

static void
_gp_add_copy(_gp_state *state, const fl_copy *copy)
{
    Lacewing__Exchange__ModelState *model =
        _gp_model(state, copy->adapter->model);
    if (!copy->adapter->name) {
        model->version = copy->version;
        model->loading = copy->loading;
        return;
    }
    if (model->n_copies == 256) {
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

/* The same for the same copies in any order. */
static uint64_t
_gp_held_digest(const fl_server *server)
{
    uint64_t digest = server->born_ms + 1;
    for (guint i = 0; i < server->copies->len; i++) {
        const fl_copy *copy = server->copies->pdata[i];
        uint64_t parts[] = {copy->adapter->hash, copy->version, copy->loading};
        digest += hs_u64_bytes(parts, sizeof(parts));
    }
    return digest;
}

/* Notes it as told; false: the others know it. */
static bool
_gp_note_held(gp_peers *peers, const fl_server *server)
{
    _gp_server *told = _gp_server_of(peers, server->id);
    uint64_t digest = _gp_held_digest(server);
    bool changed = told->held != digest;
    told->held = digest;
    return changed;
}

static void
_gp_send_state(gp_peers *peers, fl_server *server, uint64_t number,
               const char *only)
{
    _gp_state state = {.models = g_ptr_array_new_with_free_func(g_free),
                       .copies = g_ptr_array_new_with_free_func(g_free)};
    lacewing__exchange__server_state__init(&state.message);
    for (guint i = 0; i < server->copies->len; i++) {
        _gp_add_copy(&state, server->copies->pdata[i]);
    }
    state.message.id = server->id;
    state.message.born_ms = server->born_ms;
    state.message.number = number;
    state.message.fence = le_query_fence(
        peers->desc.lease, lp_query_now_us(peers->desc.loop), server->id);
    state.message.n_models = state.models->len;
    state.message.models =
        (Lacewing__Exchange__ModelState **)state.models->pdata;
    Lacewing__Exchange__ServerState *servers[] = {&state.message};
    Lacewing__Exchange__Word word = LACEWING__EXCHANGE__WORD__INIT;
    word.n_servers = 1;
    word.servers = servers;
    if (only) {
        _gp_send_one(peers, &word, only);
    }
    else {
        _gp_send_all(peers, &word, false);
    }
    for (guint i = 0; i < state.models->len; i++) {
        g_free(((Lacewing__Exchange__ModelState *)state.models->pdata[i])
                   ->copies);
    }
    g_ptr_array_unref(state.models);
    g_ptr_array_unref(state.copies);
}

void
gp_tell_server(gp_peers *peers, fl_server *server, uint64_t number, bool again)
{
    if (_gp_note_held(peers, server) || again) {
        _gp_send_state(peers, server, number, NULL);
    }
}

void
gp_tell_leaving(gp_peers *peers, const fl_server *server)
{
    Lacewing__Exchange__LeavingWord leaving =
        LACEWING__EXCHANGE__LEAVING_WORD__INIT;
    leaving.server = server->id;
    leaving.born_ms = server->born_ms;
    Lacewing__Exchange__LeavingWord *list[] = {&leaving};
    Lacewing__Exchange__Word word = LACEWING__EXCHANGE__WORD__INIT;
    word.n_leaving = 1;
    word.leaving = list;
    _gp_send_all(peers, &word, false);
}

typedef struct _gp_loads {
    gp_peers *peers;
    GPtrArray *loads;  /* ServerLoad */
    GPtrArray *copies; /* CopyUse, of all servers */
    GPtrArray *lists;  /* CopyUse *, one list a server */
    GPtrArray *uses;   /* Use */
} _gp_loads;

/* Requests under way from here with each copy. */
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

/* Whether the others know what is to be told of a server. */
static bool
_gp_load_is_told(const _gp_server *told, const fl_server *server, bool held,
                 int32_t room, uint64_t now_us)
{
    bool old =
        told->in_flight && now_us >= told->in_flight_us + _GP_LOAD_AGAIN_US;
    return !old && server->own_in_flight == told->in_flight &&
           server->own_prefill_tokens == told->unread &&
           !server->unreported_streams && !server->unreported_prefills &&
           (!held || room == told->room) &&
           _gp_uses_digest(server) == told->uses;
}

static void
_gp_add_load(fl_server *server, void *user_data)
{
    _gp_loads *all = user_data;
    gp_peers *peers = all->peers;
    _gp_server *told = _gp_server_of(peers, server->id);
    uint64_t now_us = lp_query_now_us(peers->desc.loop);
    int32_t room = 0;
    bool held = peers->desc.calls->room(server, &room, peers->desc.user_data);
    if (held) {
        fl_set_load_capacity(server, room, now_us);
    }
    if (_gp_load_is_told(told, server, held, room, now_us)) {
        return;
    }
    Lacewing__Exchange__ServerLoad *load =
        g_new(Lacewing__Exchange__ServerLoad, 1);
    lacewing__exchange__server_load__init(load);
    load->id = server->id;
    load->in_flight = server->own_in_flight;
    load->streams = server->unreported_streams;
    load->event_ms_sum = (float)server->unreported_event_ms;
    load->unread = server->own_prefill_tokens;
    load->reads = server->unreported_prefills;
    load->read_ms_sum = (float)server->unreported_prefill_ms;
    load->held = held;
    load->room = room;
    _gp_fill_copies(all, load, server);
    server->unreported_streams = 0;
    server->unreported_event_ms = 0;
    server->unreported_prefills = 0;
    server->unreported_prefill_ms = 0;
    g_ptr_array_add(all->loads, load);
    told->in_flight = server->own_in_flight;
    told->unread = server->own_prefill_tokens;
    told->room = room;
    told->uses = _gp_uses_digest(server);
    told->in_flight_us = now_us;
}

static void
_gp_add_use(fl_adapter *adapter, void *user_data)
{
    _gp_loads *all = user_data;
    if (all->uses->len == _GP_USES) {
        adapter->unreported_requests = 0; /* the rest is no guide to demand */
        return;
    }
    Lacewing__Exchange__Use *use = g_new(Lacewing__Exchange__Use, 1);
    lacewing__exchange__use__init(use);
    use->key = adapter->key;
    use->count = adapter->unreported_requests;
    adapter->unreported_requests = 0;
    g_ptr_array_add(all->uses, use);
}

static bool
_gp_fill_table(gp_peers *peers, Lacewing__Exchange__TableWord *message,
               nw_table table, const gp_known *known)
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

void
gp_tell_load(gp_peers *peers, const gp_known *own)
{
    _gp_loads all = {.peers = peers,
                     .loads = g_ptr_array_new_with_free_func(g_free),
                     .copies = g_ptr_array_new_with_free_func(g_free),
                     .lists = g_ptr_array_new_with_free_func(g_free),
                     .uses = g_ptr_array_new_with_free_func(g_free)};
    fl_each_server(peers->desc.fleet, _gp_add_load, &all);
    fl_each_unreported(peers->desc.fleet, _gp_add_use, &all);
    Lacewing__Exchange__Word word = LACEWING__EXCHANGE__WORD__INIT;
    word.n_loads = all.loads->len;
    word.loads = (Lacewing__Exchange__ServerLoad **)all.loads->pdata;
    word.n_uses = all.uses->len;
    word.uses = (Lacewing__Exchange__Use **)all.uses->pdata;
    Lacewing__Exchange__TableWord table;
    Lacewing__Exchange__TableWord *tables[] = {&table};
    word.n_tables = _gp_fill_table(peers, &table, NW_OWN, own);
    word.tables = tables;
    if (word.n_loads || word.n_uses) {
        _gp_send_all(peers, &word, true);
    }
    g_ptr_array_unref(all.loads);
    g_ptr_array_unref(all.copies);
    g_ptr_array_unref(all.lists);
    g_ptr_array_unref(all.uses);
}

static bool
_gp_rows_fit(const GArray *rows)
{
    gsize bytes = 0;
    for (guint i = 0; i < rows->len; i++) {
        const dl_row *row = &g_array_index(rows, dl_row, i);
        bytes += row->value ? g_bytes_get_size(row->value) : 0;
    }
    return rows->len <= _GP_ROWS && bytes <= _GP_ROWS_BYTES;
}

static void
_gp_fill_row(Lacewing__Exchange__RowWord *message, nw_table table,
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
gp_tell_table(gp_peers *peers, nw_table table, const gp_known *known,
              const GArray *rows)
{
    Lacewing__Exchange__TableWord message;
    if (!_gp_fill_table(peers, &message, table, known)) {
        return;
    }
    Lacewing__Exchange__TableWord *tables[] = {&message};
    Lacewing__Exchange__Word word = LACEWING__EXCHANGE__WORD__INIT;
    word.n_tables = 1;
    word.tables = tables;
    Lacewing__Exchange__RowWord messages[_GP_ROWS];
    Lacewing__Exchange__RowWord *list[_GP_ROWS];
    for (guint i = 0; _gp_rows_fit(rows) && i < rows->len; i++) {
        _gp_fill_row(&messages[i], table, &g_array_index(rows, dl_row, i));
        list[i] = &messages[i];
        word.n_rows = i + 1;
    }
    word.rows = list;
    _gp_send_all(peers, &word, false);
}

/* -- private: receiving --------------------------------------------------- */

static bool
_gp_is_news(gp_peers *peers, const Lacewing__Exchange__ServerState *state)
{
    _gp_server *told = _gp_server_of(peers, state->id);
    if (state->fence < told->fence ||
        (state->fence == told->fence && state->number < told->number)) {
        return false;
    }
    told->fence = state->fence;
    told->number = state->number;
    told->told_us = lp_query_now_us(peers->desc.loop);
    return true;
}

static void
_gp_take_model(gp_peers *peers, fl_server *server,
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
_gp_take_server(gp_peers *peers, const Lacewing__Exchange__ServerState *state)
{
    fl_server *server = fl_query_server(peers->desc.fleet, state->id);
    if (!server || server->orders || state->fence == 0 ||
        state->born_ms != server->born_ms || !_gp_is_news(peers, state)) {
        return;
    }
    g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
    for (size_t i = 0; i < state->n_models; i++) {
        _gp_take_model(peers, server, state->models[i], seen);
    }
    fl_drop_copies_except(server, seen);
    server->unanswered_load_request_us = 0;
    server->holder_silent_until_us = 0;
    peers->desc.calls->changed(server, peers->desc.user_data);
}

static void
_gp_take_ask(gp_peers *peers, const Lacewing__Exchange__LoadAsk *ask,
             const char *from)
{
    fl_server *server = fl_query_server(peers->desc.fleet, ask->server);
    if (!server) {
        return;
    }
    g_autofree char *key = g_strdup_printf("%s/%s", ask->model, ask->adapter);
    if (peers->desc.calls->asked(server, fl_intern(peers->desc.fleet, key),
                                 *ask->request ? ask->request : NULL,
                                 peers->desc.user_data)) {
        _gp_send_state(peers, server, peers->desc.calls->number(server), from);
    }
}

static void
_gp_take_row(gp_peers *peers, const Lacewing__Exchange__RowWord *message)
{
    if (message->table >= NW_TABLE_NUM || message->version == 0) {
        return;
    }
    g_autoptr(GBytes) value =
        message->removed
            ? NULL
            : g_bytes_new(message->value.data, message->value.len);
    dl_row row = {message->key, value, message->version};
    peers->desc.calls->row((nw_table)message->table, &row,
                           peers->desc.user_data);
}

/* What a peer has under way at a server. */
static void
_gp_take_load(gp_peers *peers, const Lacewing__Exchange__ServerLoad *load,
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
_gp_take(gp_peers *peers, const Lacewing__Exchange__Word *word)
{
    uint64_t now_us = lp_query_now_us(peers->desc.loop);
    uint32_t peer = (uint32_t)g_str_hash(word->instance);
    for (size_t i = 0; i < word->n_loads; i++) {
        _gp_take_load(peers, word->loads[i], peer);
    }
    for (size_t i = 0; i < word->n_uses; i++) {
        fl_add_demand(fl_intern(peers->desc.fleet, word->uses[i]->key),
                      word->uses[i]->count, now_us);
    }
    for (size_t i = 0; i < word->n_leaving; i++) {
        peers->desc.calls->leaving(word->leaving[i]->server,
                                   word->leaving[i]->born_ms,
                                   peers->desc.user_data);
    }
    for (size_t i = 0; i < word->n_servers; i++) {
        _gp_take_server(peers, word->servers[i]);
    }
    for (size_t i = 0; i < word->n_rows; i++) {
        _gp_take_row(peers, word->rows[i]);
    }
    for (size_t i = 0; i < word->n_tables; i++) {
        const Lacewing__Exchange__TableWord *table = word->tables[i];
        uint64_t age_us = table->age_ms * 1000ULL + _GP_WAY_US;
        if (table->table < NW_TABLE_NUM && age_us < now_us) {
            gp_known known = {table->digest, now_us - age_us};
            peers->desc.calls->known((nw_table)table->table, &known,
                                     peers->desc.user_data);
        }
    }
    for (size_t i = 0; i < word->n_asks; i++) {
        _gp_take_ask(peers, word->asks[i], word->instance);
    }
}

/* False: the word was taken in before, by way of another relay. */
static bool
_gp_is_new(gp_peers *peers, const Lacewing__Exchange__Word *word)
{
    if (word->number == 0) {
        return true;
    }
    rl_seen *seen = g_hash_table_lookup(peers->seen, word->instance);
    if (!seen) {
        seen = g_new0(rl_seen, 1);
        g_hash_table_insert(peers->seen, g_strdup(word->instance), seen);
    }
    return rl_note(seen, word->incarnation, word->number);
}

/* direct: as it came; else one that a relay passed on. */
static void
_gp_take_bytes(gp_peers *peers, const uint8_t *bytes, size_t count,
               bool direct)
{
    Lacewing__Exchange__Word *word =
        lacewing__exchange__word__unpack(NULL, count, bytes);
    if (!word) {
        ct_add(CT_FRAMES_REFUSED, 1);
        return;
    }
    if (strcmp(word->instance, peers->instance) != 0 &&
        _gp_is_new(peers, word)) {
        if (direct && word->spread && rl_query_relays(_gp_plan(peers))) {
            _gp_keep(peers, bytes, count);
        }
        _gp_take(peers, word);
        for (size_t i = 0; direct && i < word->n_words; i++) {
            _gp_take_bytes(peers, word->words[i].data, word->words[i].len,
                           false);
        }
    }
    lacewing__exchange__word__free_unpacked(word, NULL);
}

static void
_gp_on_ready(lp_watch *watch, uint32_t ready, void *user_data)
{
    (void)ready;
    gp_peers *peers = user_data;
    for (int i = 0; i < _GP_BATCH; i++) {
        ssize_t count = recv(watch->fd, peers->buffer, _GP_DATAGRAM_BYTES, 0);
        if (count <= 0) {
            return;
        }
        ct_add(CT_LINK_BYTES_IN, count);
        _gp_take_bytes(peers, peers->buffer, (size_t)count, true);
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
        er_set(status, ER_CONNECTION, "%s: %s", desc->address,
               g_strerror(errno));
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
    peers->passing =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    peers->watch =
        (lp_watch){.fd = fd, .call = _gp_on_ready, .user_data = peers};
    lp_set(desc->loop, &peers->watch, LP_READ);
    return peers;
}

void
gp_destroy(gp_peers *peers)
{
    if (!peers) {
        return;
    }
    lp_clear(peers->desc.loop, &peers->watch);
    close(peers->watch.fd);
    g_hash_table_unref(peers->servers);
    g_hash_table_unref(peers->seen);
    g_ptr_array_unref(peers->passing);
    rl_destroy(peers->plan);
    g_free(peers->buffer);
    g_free(peers->instance);
    g_free(peers->zone);
    g_free(peers->address);
    g_free(peers);
}

uint32_t
gp_query_turn(gp_peers *peers, nw_table table)
{
    _gp_plan(peers);
    return peers->turns[table];
}

bool
gp_query_spread(gp_peers *peers)
{
    return rl_query_spread(_gp_plan(peers));
}

bool
gp_query_many(gp_peers *peers)
{
    return rl_query_many(_gp_plan(peers));
}

uint64_t
gp_query_told_us(const gp_peers *peers, const fl_server *server)
{
    const _gp_server *told = g_hash_table_lookup(peers->servers, server->id);
    return told ? told->told_us : 0;
}
