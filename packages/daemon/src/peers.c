#include "peers.h"

#include "lacewing/counter.h"
#include "lacewing/link.h"
#include "lacewing/log.h"
#include "listen.h"
#include <gio/gio.h>
#include <string.h>

#define _PE_PROTOCOL_VERSION 1 /* of the messages; equal on both ends */
#define _PE_DIAL_TIMEOUT_S 2   /* to connect to a peer */
/* A connection that sends nothing for this long before its hello is closed. */
#define _PE_HELLO_TIMEOUT_S 5

/* A link. The peer is unknown until its hello arrives. */
typedef struct _pe_link {
    pe_peers *peers;
    lk_link *link;
    GSocket *socket;
    char *instance; /* NULL before the hello */
    char *zone;
    char *address;
    uint64_t incarnation;
    bool dialled; /* by this instance */
} _pe_link;

struct pe_peers {
    uint32_t references; /* the owner's and one for each connection that is
                            being accepted or dialled */
    bool closed;         /* pe_destroy() was called */
    char *instance;
    char *zone;
    char *address;
    char *secret;
    uint64_t incarnation;
    tl_context *tls;
    GSocketService *service;
    GHashTable *links;        /* instance -> _pe_link */
    GHashTable *unidentified; /* set of _pe_link before their hello */
    GHashTable *dialling;     /* set of addresses */
    char **partitioned_zones; /* test hook; may be NULL */
    pe_message_call on_message;
    pe_lost_call on_lost;
    void *user_data;
};

/* -- private: removal of links -------------------------------------------- */

static void
_pe_link_free(void *data)
{
    _pe_link *link = data;
    lk_destroy(link->link);
    g_object_unref(link->socket);
    g_free(link->instance);
    g_free(link->zone);
    g_free(link->address);
    g_free(link);
}

static void
_pe_unref(pe_peers *peers)
{
    peers->references--;
    if (peers->references > 0) {
        return;
    }
    g_hash_table_unref(peers->links);
    g_hash_table_unref(peers->unidentified);
    g_hash_table_unref(peers->dialling);
    g_strfreev(peers->partitioned_zones);
    g_free(peers->instance);
    g_free(peers->zone);
    g_free(peers->address);
    g_free(peers->secret);
    g_free(peers);
}

static bool
_pe_is_partitioned(const pe_peers *peers, const char *zone)
{
    return peers->partitioned_zones && zone &&
           g_strv_contains((const char *const *)peers->partitioned_zones,
                           zone);
}

static void
_pe_remove_link(_pe_link *link, const char *why)
{
    pe_peers *peers = link->peers;
    if (!link->instance) {
        g_hash_table_remove(peers->unidentified, link);
        return;
    }
    g_autofree char *instance = g_strdup(link->instance);
    lg_write(LG_LINK_LOST, "peer", instance, "why", why, NULL);
    if (g_hash_table_lookup(peers->links, instance) == link) {
        g_hash_table_remove(peers->links, instance);
        peers->on_lost(instance, peers->user_data);
    }
}

/* -- private: hello ------------------------------------------------------- */

static void
_pe_send_hello(_pe_link *link)
{
    pe_peers *peers = link->peers;
    Lacewing__Hello hello = LACEWING__HELLO__INIT;
    hello.protocol = _PE_PROTOCOL_VERSION;
    hello.instance = peers->instance;
    hello.zone = peers->zone;
    hello.incarnation = peers->incarnation;
    hello.address = peers->address;
    hello.secret = peers->secret;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_HELLO;
    envelope.hello = &hello;
    lk_send(link->link, &envelope);
}

static bool
_pe_hello_acceptable(const pe_peers *peers, const Lacewing__Hello *hello)
{
    return hello->protocol == _PE_PROTOCOL_VERSION && hello->instance[0] &&
           strcmp(hello->instance, peers->instance) != 0 &&
           strcmp(hello->secret, peers->secret) == 0;
}

/* Whether a new link replaces the existing one to the same instance; the rule
   is in peers.h, but the link of a later incarnation always wins. */
static bool
_pe_replaces(const pe_peers *peers, const _pe_link *old, const _pe_link *new)
{
    if (new->incarnation != old->incarnation) {
        return new->incarnation > old->incarnation;
    }
    if (new->dialled == old->dialled) {
        return true;
    }
    bool own_is_smaller = strcmp(peers->instance, new->instance) < 0;
    return new->dialled == own_is_smaller;
}

static void
_pe_handle_hello(_pe_link *link, const Lacewing__Hello *hello)
{
    pe_peers *peers = link->peers;
    if (_pe_is_partitioned(peers, hello->zone)) {
        return;
    }
    if (!_pe_hello_acceptable(peers, hello)) {
        ct_add(CT_FRAMES_REFUSED, 1);
        lg_write(
            LG_FRAME_REFUSED, "why",
            "hello has another protocol version, a bad name or another secret",
            NULL);
        _pe_remove_link(link, "hello refused");
        return;
    }
    g_socket_set_timeout(link->socket, 0);
    link->instance = g_strdup(hello->instance);
    link->zone = g_strdup(hello->zone);
    link->address = g_strdup(hello->address);
    link->incarnation = hello->incarnation;
    g_hash_table_steal(peers->unidentified, link);
    _pe_link *old = g_hash_table_lookup(peers->links, link->instance);
    if (old && !_pe_replaces(peers, old, link)) {
        _pe_link_free(link);
        return;
    }
    if (old) {
        lg_write(LG_LINK_LOST, "peer", link->instance, "why",
                 "replaced by a new link", NULL);
        g_hash_table_steal(peers->links, link->instance);
    }
    g_hash_table_insert(peers->links, link->instance, link);
    lg_write(LG_LINK_UP, "peer", link->instance, NULL);
    if (old) {
        /* After the new link is in the table, as what on_lost() sends would
           dial once more. It may lose the new link, which is then freed. */
        peers->on_lost(old->instance, peers->user_data);
        _pe_link_free(old);
    }
}

/* -- private: messages ---------------------------------------------------- */

static void
_pe_on_message(lk_link *lk, const Lacewing__Envelope *envelope, void *data)
{
    (void)lk;
    _pe_link *link = data;
    pe_peers *peers = link->peers;
    if (!link->instance) {
        if (envelope->body_case == LACEWING__ENVELOPE__BODY_HELLO) {
            _pe_handle_hello(link, envelope->hello);
        }
        return;
    }
    if (_pe_is_partitioned(peers, link->zone)) {
        return;
    }
    pe_peer peer = {.instance = link->instance,
                    .zone = link->zone,
                    .address = link->address,
                    .incarnation = link->incarnation};
    peers->on_message(&peer, envelope, peers->user_data);
}

static void
_pe_on_closed(lk_link *lk, const er_status *why, void *data)
{
    (void)lk;
    _pe_remove_link(data, why->message);
}

/* Returns a new reference to the socket under a plain or a TLS stream. */
static GSocket *
_pe_socket(GIOStream *stream)
{
    g_autoptr(GIOStream) base = g_object_ref(stream);
    if (G_IS_TLS_CONNECTION(stream)) {
        g_clear_object(&base);
        g_object_get(stream, "base-io-stream", &base, NULL);
    }
    GSocketConnection *connection = G_SOCKET_CONNECTION(base);
    return g_object_ref(g_socket_connection_get_socket(connection));
}

static void
_pe_add_link(pe_peers *peers, GIOStream *stream, bool dialled)
{
    _pe_link *link = g_new0(_pe_link, 1);
    link->peers = peers;
    link->dialled = dialled;
    link->socket = _pe_socket(stream);
    g_socket_set_timeout(link->socket, _PE_HELLO_TIMEOUT_S);
    link->link = lk_create(&(lk_desc){.stream = stream,
                                      .on_message = _pe_on_message,
                                      .on_closed = _pe_on_closed,
                                      .user_data = link});
    g_hash_table_add(peers->unidentified, link);
    _pe_send_hello(link);
}

/* -- private: accepting links --------------------------------------------- */

static void
_pe_on_accepted(GIOStream *stream, void *data)
{
    pe_peers *peers = data;
    if (stream && !peers->closed) {
        _pe_add_link(peers, stream, false);
    }
    g_clear_object(&stream);
    _pe_unref(peers);
}

static gboolean
_pe_on_incoming(GSocketService *service, GSocketConnection *connection,
                GObject *source, void *data)
{
    (void)service;
    (void)source;
    pe_peers *peers = data;
    ln_no_delay(connection);
    g_socket_set_timeout(g_socket_connection_get_socket(connection),
                         _PE_HELLO_TIMEOUT_S);
    peers->references++;
    if (peers->tls) {
        tl_wrap_server(peers->tls, G_IO_STREAM(connection), _pe_on_accepted,
                       peers);
    }
    else {
        _pe_on_accepted(G_IO_STREAM(g_object_ref(connection)), peers);
    }
    return TRUE;
}

/* -- private: dialling ---------------------------------------------------- */

typedef struct _pe_dial {
    pe_peers *peers;
    char *address;
} _pe_dial;

static void
_pe_on_dialled(GIOStream *stream, void *data)
{
    _pe_dial *dial = data;
    g_hash_table_remove(dial->peers->dialling, dial->address);
    if (stream && !dial->peers->closed) {
        _pe_add_link(dial->peers, stream, true);
    }
    g_clear_object(&stream);
    _pe_unref(dial->peers);
    g_free(dial->address);
    g_free(dial);
}

static void
_pe_on_connected(GObject *source, GAsyncResult *result, void *data)
{
    _pe_dial *dial = data;
    GSocketConnection *connection = g_socket_client_connect_to_host_finish(
        G_SOCKET_CLIENT(source), result, NULL);
    if (!connection) {
        _pe_on_dialled(NULL, dial);
        return;
    }
    ln_no_delay(connection);
    g_socket_set_timeout(g_socket_connection_get_socket(connection), 0);
    if (!dial->peers->tls) {
        _pe_on_dialled(G_IO_STREAM(connection), dial);
        return;
    }
    tl_wrap_client(dial->peers->tls, G_IO_STREAM(connection), _pe_on_dialled,
                   dial);
    g_object_unref(connection);
}

static void
_pe_start_dial(pe_peers *peers, const char *address)
{
    if (!address || !*address || strcmp(address, peers->address) == 0 ||
        !g_hash_table_add(peers->dialling, g_strdup(address))) {
        return;
    }
    g_autoptr(GSocketClient) client = g_socket_client_new();
    g_socket_client_set_timeout(client, _PE_DIAL_TIMEOUT_S);
    g_socket_client_set_enable_proxy(client, FALSE);
    _pe_dial *dial = g_new0(_pe_dial, 1);
    dial->peers = peers;
    dial->address = g_strdup(address);
    peers->references++;
    g_socket_client_connect_to_host_async(client, address, 0, NULL,
                                          _pe_on_connected, dial);
}

/* -- public --------------------------------------------------------------- */

pe_peers *
pe_create(const pe_desc *desc, er_status *status)
{
    pe_peers *peers = g_new0(pe_peers, 1);
    peers->references = 1;
    peers->instance = g_strdup(desc->instance);
    peers->zone = g_strdup(desc->zone);
    peers->address = g_strdup(desc->address);
    peers->secret = g_strdup(desc->secret ? desc->secret : "");
    peers->incarnation = desc->incarnation;
    peers->tls = desc->tls;
    peers->on_message = desc->on_message;
    peers->on_lost = desc->on_lost;
    peers->user_data = desc->user_data;
    peers->service = g_socket_service_new();
    peers->links =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _pe_link_free);
    peers->unidentified =
        g_hash_table_new_full(NULL, NULL, _pe_link_free, NULL);
    peers->dialling =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_signal_connect(peers->service, "incoming", G_CALLBACK(_pe_on_incoming),
                     peers);
    if (ln_listen(peers->service, peers->address, status) != ER_OK) {
        g_clear_pointer(&peers, pe_destroy);
    }
    return peers;
}

void
pe_destroy(pe_peers *peers)
{
    if (!peers) {
        return;
    }
    peers->closed = true;
    g_socket_service_stop(peers->service);
    g_socket_listener_close(G_SOCKET_LISTENER(peers->service));
    g_clear_object(&peers->service);
    g_hash_table_remove_all(peers->links);
    g_hash_table_remove_all(peers->unidentified);
    _pe_unref(peers);
}

void
pe_set_incarnation(pe_peers *peers, uint64_t incarnation)
{
    peers->incarnation = incarnation;
}

bool
pe_send(pe_peers *peers, const char *instance, const char *address,
        const Lacewing__Envelope *envelope)
{
    _pe_link *link = g_hash_table_lookup(peers->links, instance);
    if (!link) {
        _pe_start_dial(peers, address);
        return false;
    }
    if (_pe_is_partitioned(peers, link->zone)) {
        return true;
    }
    return lk_send(link->link, envelope);
}

static void
_pe_broadcast(pe_peers *peers, const Lacewing__Envelope *envelope,
              const char *zone)
{
    g_autoptr(GList) links = g_hash_table_get_values(peers->links);
    for (GList *item = links; item; item = item->next) {
        _pe_link *link = item->data;
        bool wanted = !zone || strcmp(link->zone, zone) == 0;
        if (wanted && !_pe_is_partitioned(peers, link->zone)) {
            lk_send(link->link, envelope);
        }
    }
}

void
pe_broadcast(pe_peers *peers, const Lacewing__Envelope *envelope)
{
    _pe_broadcast(peers, envelope, NULL);
}

void
pe_broadcast_zone(pe_peers *peers, const Lacewing__Envelope *envelope)
{
    _pe_broadcast(peers, envelope, peers->zone);
}

void
pe_close_link(pe_peers *peers, const char *instance)
{
    _pe_link *link = g_hash_table_lookup(peers->links, instance);
    if (link) {
        _pe_remove_link(link, "closed by this instance");
    }
}

void
pe_set_partitioned_zones(pe_peers *peers, const char *const *zones)
{
    g_strfreev(peers->partitioned_zones);
    peers->partitioned_zones = g_strdupv((char **)zones);
}

bool
pe_query_linked(const pe_peers *peers, const char *instance)
{
    return g_hash_table_contains(peers->links, instance);
}

uint32_t
pe_query_link_count(const pe_peers *peers)
{
    return g_hash_table_size(peers->links);
}
