#include "shell.h"

#include "fault_gate.h"
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#define _SH_MAX_SECONDS 600
#define _SH_FREEZE_DELAY_MS 20 /* lets the answer to the order go out */
#define _SH_EXIT_CRASH 70

struct sh_shell {
    sh_desc desc;
    SoupServer *server;
    GMainLoop *loop;
    hs_history *history;
    gt_gate *gate;
    uint16_t port;
    guint term_source;
    guint time_limit_source;
};

typedef struct _sh_delayed {
    sh_shell *shell;
    SoupServerMessage *message;
    uint32_t status;
    char *body;
} _sh_delayed;

/* -- private: answers ----------------------------------------------------- */

static void
_sh_send(SoupServerMessage *message, uint32_t status, const char *body)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body, strlen(body));
    soup_server_message_unpause(message);
}

static gboolean
_sh_on_delay_over(void *data)
{
    _sh_delayed *delayed = data;
    if (!sh_is_silent(delayed->shell, delayed->message)) {
        _sh_send(delayed->message, delayed->status, delayed->body);
    }
    g_object_unref(delayed->message);
    g_free(delayed->body);
    g_free(delayed);
    return G_SOURCE_REMOVE;
}

/* -- private: control ----------------------------------------------------- */

static gboolean
_sh_on_freeze(void *data)
{
    g_usleep((gulong)GPOINTER_TO_SIZE(data) * 1000);
    return G_SOURCE_REMOVE;
}

static bool
_sh_apply_order(sh_shell *shell, const char *order, JsonObject *body)
{
    if (g_str_equal(order, "crash")) {
        _exit(_SH_EXIT_CRASH);
    }
    if (g_str_equal(order, "freeze")) {
        gsize ms = (gsize)sh_query_int(body, "ms", 0);
        g_timeout_add(_SH_FREEZE_DELAY_MS, _sh_on_freeze,
                      GSIZE_TO_POINTER(ms));
        return true;
    }
    return gt_apply_order(shell->gate, order, body) ||
           shell->desc.order(order, body, shell->desc.user_data);
}

static void
_sh_handle_order(sh_shell *shell, SoupServerMessage *message)
{
    g_autoptr(JsonNode) root = sh_query_body(message);
    JsonObject *body = root ? json_node_get_object(root) : NULL;
    const char *order = body ? sh_query_text(body, "order", NULL) : NULL;
    if (order) {
        hs_begin(shell->history, "control");
        hs_add_text(shell->history, "order", order);
        hs_end(shell->history);
    }
    bool applied = order && _sh_apply_order(shell, order, body);
    _sh_send(message, applied ? 200 : 400,
             applied ? "{}" : "{\"error\":{\"type\":\"bad_order\"}}");
}

static void
_sh_handle_control(sh_shell *shell, SoupServerMessage *message,
                   const char *path)
{
    if (g_str_equal(path, "/control/history")) {
        g_autofree char *page = hs_query_json(shell->history);
        _sh_send(message, 200, page);
    }
    else if (g_str_equal(path, "/control/stats") && shell->desc.stats) {
        g_autofree char *page = shell->desc.stats(shell->desc.user_data);
        _sh_send(message, 200, page);
    }
    else {
        _sh_handle_order(shell, message);
    }
}

/* -- private: requests ---------------------------------------------------- */

static void
_sh_on_request(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, void *user_data)
{
    (void)server;
    sh_shell *shell = user_data;
    soup_server_message_pause(message);
    if (g_str_has_prefix(path, "/control")) {
        _sh_handle_control(shell, message, path);
        return;
    }
    GSocket *socket = soup_server_message_get_socket(message);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    const char *name = sh_query_header(message, "X-Lacewing-Instance");
    name = name ? name : sh_query_header(message, "X-Owner");
    const char *zone = name && shell->desc.zone
                           ? shell->desc.zone(name, shell->desc.user_data)
                           : NULL;
    switch (gt_admit(shell->gate, socket, name, zone)) {
    case GT_SILENT:
        return;
    case GT_REFUSE:
        _sh_send(message, 503, "{\"error\":{\"type\":\"unavailable\"}}");
        return;
    case GT_VERDICT_DEFAULT:
    case GT_VERDICT_NUM:
        break;
    }
    shell->desc.handle(message, path, query, shell->desc.user_data);
}

/* -- private: start and end ----------------------------------------------- */

static gboolean
_sh_on_stop(void *data)
{
    sh_shell *shell = data;
    g_main_loop_quit(shell->loop);
    return G_SOURCE_CONTINUE;
}

static GSocketAddress *
_sh_parse_address(const char *text)
{
    const char *colon = text ? strrchr(text, ':') : NULL;
    if (!colon) {
        return NULL;
    }
    g_autofree char *host = g_strndup(text, (gsize)(colon - text));
    uint64_t port = 0;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
                                    NULL)) {
        return NULL;
    }
    return g_inet_socket_address_new_from_string(host, (guint)port);
}

static er_code
_sh_listen(sh_shell *shell, er_status *status)
{
    g_autoptr(GSocketAddress) address = _sh_parse_address(shell->desc.listen);
    if (!address) {
        return er_set(status, ER_BAD_REQUEST,
                      "listen address is not ADDRESS:PORT: %s",
                      shell->desc.listen ? shell->desc.listen : "(missing)");
    }
    g_autoptr(GError) error = NULL;
    if (!soup_server_listen(shell->server, address, 0, &error)) {
        return er_set(status, ER_CONNECTION, "%s", error->message);
    }
    GSList *uris = soup_server_get_uris(shell->server);
    shell->port = (uint16_t)g_uri_get_port(uris->data);
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    g_autofree char *line = g_strdup_printf("%u\n", shell->port);
    if (shell->desc.port_file &&
        !g_file_set_contents(shell->desc.port_file, line, -1, &error)) {
        return er_set(status, ER_FILE, "%s", error->message);
    }
    return ER_OK;
}

/* -- public --------------------------------------------------------------- */

sh_shell *
sh_create(const sh_desc *desc, er_status *status)
{
    g_assert(desc->handle && desc->order);
    sh_shell *shell = g_new0(sh_shell, 1);
    shell->desc = *desc;
    shell->server = soup_server_new(NULL, NULL);
    shell->loop = g_main_loop_new(NULL, FALSE);
    shell->history = hs_create(desc->history);
    shell->gate = gt_create();
    soup_server_add_handler(shell->server, NULL, _sh_on_request, shell, NULL);
    if (_sh_listen(shell, status) != ER_OK) {
        sh_destroy(shell);
        return NULL;
    }
    uint32_t seconds = desc->max_seconds ? desc->max_seconds : _SH_MAX_SECONDS;
    shell->time_limit_source =
        g_timeout_add_seconds(seconds, _sh_on_stop, shell);
    shell->term_source = g_unix_signal_add(SIGTERM, _sh_on_stop, shell);
    return shell;
}

void
sh_destroy(sh_shell *shell)
{
    if (!shell) {
        return;
    }
    g_clear_handle_id(&shell->time_limit_source, g_source_remove);
    g_clear_handle_id(&shell->term_source, g_source_remove);
    soup_server_disconnect(shell->server);
    g_object_unref(shell->server);
    g_main_loop_unref(shell->loop);
    hs_destroy(shell->history);
    gt_destroy(shell->gate);
    g_free(shell);
}

void
sh_run(sh_shell *shell)
{
    g_main_loop_run(shell->loop);
}

void
sh_answer(sh_shell *shell, SoupServerMessage *message, uint32_t status,
          const char *body)
{
    if (sh_is_silent(shell, message)) {
        return;
    }
    if (gt_consume_lost_answer(shell->gate)) {
        sh_close_connection(message);
        return;
    }
    uint32_t delay_ms = gt_query_answer_delay_ms(shell->gate);
    if (!delay_ms) {
        _sh_send(message, status, body);
        return;
    }
    _sh_delayed *delayed = g_new0(_sh_delayed, 1);
    delayed->shell = shell;
    delayed->message = g_object_ref(message);
    delayed->status = status;
    delayed->body = g_strdup(body);
    g_timeout_add(delay_ms, _sh_on_delay_over, delayed);
}

void
sh_close_connection(SoupServerMessage *message)
{
    GSocket *socket = soup_server_message_get_socket(message);
    if (socket) {
        g_socket_shutdown(socket, TRUE, TRUE, NULL);
    }
    soup_server_message_set_status(message, 500, NULL);
    soup_server_message_unpause(message);
}

hs_history *
sh_query_history(sh_shell *shell)
{
    return shell->history;
}

uint16_t
sh_query_port(const sh_shell *shell)
{
    return shell->port;
}

bool
sh_is_silent(const sh_shell *shell, SoupServerMessage *message)
{
    GSocket *socket = soup_server_message_get_socket(message);
    return socket && gt_is_silent(shell->gate, socket);
}

JsonNode *
sh_query_body(SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    g_autoptr(JsonParser) parser = json_parser_new_immutable();
    if (!body->data || !json_parser_load_from_data(
                           parser, body->data, (gssize)body->length, NULL)) {
        return NULL;
    }
    JsonNode *root = json_parser_get_root(parser);
    bool is_object = root && JSON_NODE_HOLDS_OBJECT(root);
    return is_object ? json_parser_steal_root(parser) : NULL;
}

const char *
sh_query_header(SoupServerMessage *message, const char *name)
{
    return soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
}

const char *
sh_query_text(JsonObject *object, const char *name, const char *fallback)
{
    JsonNode *node = json_object_get_member(object, name);
    bool is_text = node && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_STRING;
    return is_text ? json_node_get_string(node) : fallback;
}

int64_t
sh_query_int(JsonObject *object, const char *name, int64_t fallback)
{
    JsonNode *node = json_object_get_member(object, name);
    bool is_int = node && JSON_NODE_HOLDS_VALUE(node) &&
                  json_node_get_value_type(node) == G_TYPE_INT64;
    return is_int ? json_node_get_int(node) : fallback;
}
