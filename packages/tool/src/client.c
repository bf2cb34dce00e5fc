#include "client.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_S 15
#define OUTCOME_QUERIES_MAX 10
#define OUTCOME_QUERY_INTERVAL_US 500000
#define IN_FORCE_POLL_INTERVAL_US 200000
#define US_PER_MS 1000

struct tl_client {
    SoupSession *session;
    char *base_url; /* ends in /admin/v1/ */
    char *key;
};

static char *admin_url = NULL;
static char *key_text = NULL;
static char *key_file = NULL;
static char *ca_file = NULL;
static gboolean json = FALSE;

const GOptionEntry tl_client_options[] = {
    {"admin", 0, 0, G_OPTION_ARG_STRING, &admin_url,
     "URL of a daemon's administration port; default: LACEWING_ADMIN", "URL"},
    {"key", 0, 0, G_OPTION_ARG_STRING, &key_text,
     "API key; default: LACEWING_KEY, which other users cannot see", "KEY"},
    {"key-file", 0, 0, G_OPTION_ARG_FILENAME, &key_file,
     "File that holds the API key", "FILE"},
    {"ca", 0, 0, G_OPTION_ARG_FILENAME, &ca_file,
     "PEM file of certificates to trust", "FILE"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print the response as JSON",
     NULL},
    {NULL},
};

bool
tl_client_is_json_requested(void)
{
    return json;
}

/* -- set-up --------------------------------------------------------------- */

static char *
_tl_read_key(void)
{
    if (key_text) {
        return g_strdup(key_text);
    }
    if (!key_file) {
        return g_strdup(g_getenv("LACEWING_KEY"));
    }
    char *text = NULL;
    g_autoptr(GError) error = NULL;
    if (!g_file_get_contents(key_file, &text, NULL, &error)) {
        fprintf(stderr, "lacewing: %s\n", error->message);
        return NULL;
    }
    return g_strstrip(text);
}

static bool
_tl_set_trusted_certificates(SoupSession *session)
{
    if (!ca_file) {
        return true;
    }
    g_autoptr(GError) error = NULL;
    g_autofree char *path = g_canonicalize_filename(ca_file, NULL);
    g_autoptr(GTlsDatabase) database = g_tls_file_database_new(path, &error);
    if (!database) {
        fprintf(stderr, "lacewing: %s\n", error->message);
        return false;
    }
    soup_session_set_tls_database(session, database);
    return true;
}

tl_client *
tl_client_create(void)
{
    const char *url = admin_url ? admin_url : g_getenv("LACEWING_ADMIN");
    g_autofree char *key = _tl_read_key();
    if (!url || !key) {
        fputs("lacewing: --admin URL and --key KEY are required\n", stderr);
        return NULL;
    }
    tl_client *client = g_new0(tl_client, 1);
    client->session = soup_session_new();
    soup_session_set_timeout(client->session, CALL_TIMEOUT_S);
    client->base_url = g_strdup_printf("%s/admin/v1/", url);
    client->key = g_steal_pointer(&key);
    if (!_tl_set_trusted_certificates(client->session)) {
        tl_client_destroy(client);
        return NULL;
    }
    return client;
}

void
tl_client_destroy(tl_client *client)
{
    if (client) {
        g_object_unref(client->session);
        g_free(client->base_url);
        g_free(client->key);
        g_free(client);
    }
}

/* -- private: one call ---------------------------------------------------- */

static SoupMessage *
_tl_create_message(tl_client *client, const char *method, const char *path,
                   JsonNode *body, er_status *status)
{
    g_autofree char *url = g_strconcat(client->base_url, path, NULL);
    SoupMessage *message = soup_message_new(method, url);
    if (!message) {
        er_set(status, ER_BAD_REQUEST, "invalid URL: %s", url);
        return NULL;
    }
    g_autofree char *bearer = g_strconcat("Bearer ", client->key, NULL);
    soup_message_headers_append(soup_message_get_request_headers(message),
                                "Authorization", bearer);
    if (body) {
        g_autofree char *text = json_to_string(body, FALSE);
        g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
    }
    return message;
}

static er_code
_tl_send(tl_client *client, SoupMessage *message, char **text,
         er_status *status)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GBytes) bytes =
        soup_session_send_and_read(client->session, message, NULL, &error);
    if (!bytes) {
        return er_set(status, ER_CONNECTION, "%s: %s", client->base_url,
                      error->message);
    }
    gsize size = 0;
    const char *data = g_bytes_get_data(bytes, &size);
    *text = g_strndup(data ? data : "", size);
    return ER_OK;
}

static er_code
_tl_read_error(SoupMessage *message, JsonNode *response, er_status *status)
{
    uint32_t http = soup_message_get_status(message);
    if (http == SOUP_STATUS_OK) {
        return ER_OK;
    }
    if (!response || !JSON_NODE_HOLDS_OBJECT(response)) {
        return er_set(status, ER_INTERNAL, "HTTP status %u", http);
    }
    JsonObject *object = json_node_get_object(response);
    const char *name =
        json_object_get_string_member_with_default(object, "error", "");
    const char *why =
        json_object_get_string_member_with_default(object, "message", "");
    return er_set(status, er_query_code(name), "%s", why);
}

/* -- calls ---------------------------------------------------------------- */

er_code
tl_client_call(tl_client *client, const char *method, const char *path,
               JsonNode *body, JsonNode **response, er_status *status)
{
    *response = NULL;
    g_autoptr(SoupMessage) message =
        _tl_create_message(client, method, path, body, status);
    if (!message) {
        return status->code;
    }
    g_autofree char *text = NULL;
    er_code code = _tl_send(client, message, &text, status);
    if (code != ER_OK) {
        return code;
    }
    *response = json_from_string(text, NULL);
    return _tl_read_error(message, *response, status);
}

er_code
tl_client_read_config(tl_client *client, dc_config **config, uint64_t *version,
                      er_status *status)
{
    g_autoptr(SoupMessage) message =
        _tl_create_message(client, "GET", "config", NULL, status);
    if (!message) {
        return status->code;
    }
    g_autofree char *text = NULL;
    er_code code = _tl_send(client, message, &text, status);
    if (code != ER_OK) {
        return code;
    }
    if (soup_message_get_status(message) != SOUP_STATUS_OK) {
        g_autoptr(JsonNode) response = json_from_string(text, NULL);
        return _tl_read_error(message, response, status);
    }
    const char *header = soup_message_headers_get_one(
        soup_message_get_response_headers(message), "X-Lacewing-Version");
    *version = header ? g_ascii_strtoull(header, NULL, 10) : 0;
    return dc_parse(text, "in force", config, status);
}

/* -- private: changes ----------------------------------------------------- */

/* Asks whether the change whose response was lost was committed. Returns ER_OK
   if it was. */
static er_code
_tl_query_outcome(tl_client *client, const char *id, uint64_t expect,
                  er_status *status)
{
    g_autofree char *path =
        g_strdup_printf("changes/%s?expect=%" G_GUINT64_FORMAT, id, expect);
    fprintf(
        stderr,
        "lacewing: no response; asking whether change %s was committed ...\n",
        id);
    for (uint32_t i = 0; i < OUTCOME_QUERIES_MAX; i++) {
        g_autoptr(JsonNode) response = NULL;
        er_status failed = {0};
        const char *outcome = "open";
        if (tl_client_call(client, "GET", path, NULL, &response, &failed) ==
            ER_OK) {
            outcome = json_object_get_string_member_with_default(
                json_node_get_object(response), "outcome", "open");
        }
        if (strcmp(outcome, "committed") == 0) {
            return ER_OK;
        }
        if (strcmp(outcome, "not_committed") == 0) {
            return er_set(
                status, ER_CONFLICT,
                "another change was committed as version %" G_GUINT64_FORMAT,
                expect + 1);
        }
        g_usleep(OUTCOME_QUERY_INTERVAL_US);
    }
    return er_set(status, ER_OUTCOME_UNKNOWN,
                  "it is unknown whether change %s was committed", id);
}

static void
_tl_print_conflict(JsonNode *response)
{
    JsonObject *object = response && JSON_NODE_HOLDS_OBJECT(response)
                             ? json_node_get_object(response)
                             : NULL;
    if (object && json_object_has_member(object, "changes_since")) {
        tl_print_response(json_object_get_member(object, "changes_since"),
                          json);
    }
}

static bool
_tl_is_response_lost(er_code code)
{
    return code == ER_CONNECTION || code == ER_OUTCOME_UNKNOWN;
}

tl_exit
tl_client_change(tl_client *client, const char *method, const char *path,
                 JsonObject *body, uint64_t expect, uint64_t *version)
{
    g_autofree char *id = g_uuid_string_random();
    json_object_set_string_member(body, "id", id);
    json_object_set_int_member(body, "expect", (gint64)expect);
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(node, body);
    g_autoptr(JsonNode) response = NULL;
    er_status status = {0};
    er_code code =
        tl_client_call(client, method, path, node, &response, &status);
    *version = expect + 1;
    if (_tl_is_response_lost(code)) {
        code = _tl_query_outcome(client, id, expect, &status);
    }
    else if (code == ER_OK) {
        *version = (uint64_t)json_object_get_int_member_with_default(
            json_node_get_object(response), "version", 0);
    }
    if (code != ER_OK) {
        _tl_print_conflict(response);
        return tl_fail(&status);
    }
    if (json && response) {
        tl_print_response(response, true);
    }
    else {
        printf("version %" G_GUINT64_FORMAT "\n", *version);
    }
    return TL_EXIT_OK;
}

/* Counts the instances on which an older version is in force. Returns
   UINT32_MAX if the daemon gives no response or does not have the version
   itself yet. */
static uint32_t
_tl_count_behind(tl_client *client, uint64_t version)
{
    g_autoptr(JsonNode) response = NULL;
    er_status status = {0};
    if (tl_client_call(client, "GET", "status", NULL, &response, &status) !=
        ER_OK) {
        return UINT32_MAX;
    }
    JsonObject *object = json_node_get_object(response);
    if ((uint64_t)json_object_get_int_member_with_default(
            object, "config_version", 0) < version) {
        return UINT32_MAX;
    }
    return json_object_has_member(object, "behind")
               ? json_array_get_length(
                     json_object_get_array_member(object, "behind"))
               : 0;
}

tl_exit
tl_client_wait_in_force(tl_client *client, uint64_t version, uint32_t wait_ms)
{
    uint32_t last = 0;
    for (uint64_t waited_us = 0; waited_us <= (uint64_t)wait_ms * US_PER_MS;
         waited_us += IN_FORCE_POLL_INTERVAL_US) {
        uint32_t behind = _tl_count_behind(client, version);
        if (behind == 0) {
            fprintf(stderr,
                    "version %" G_GUINT64_FORMAT " in force everywhere\n",
                    version);
            return TL_EXIT_OK;
        }
        if (behind != last && behind != UINT32_MAX) {
            fprintf(stderr, "%u instances have an older version\n", behind);
        }
        last = behind;
        g_usleep(IN_FORCE_POLL_INTERVAL_US);
    }
    fprintf(stderr,
            "lacewing: version %" G_GUINT64_FORMAT
            " is accepted, but not yet in force everywhere\n",
            version);
    return TL_EXIT_UNREACHABLE;
}
