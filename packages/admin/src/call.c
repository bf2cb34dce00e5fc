/* call.c: creates a call when its request arrives, sends its answer and frees
   it. */
#include "internal.h"

#include "lacewing/log.h"
#include <string.h>

/* -- lifetime ------------------------------------------------------------- */

static void
_ad_on_finished(SoupServerMessage *message, void *data)
{
    (void)message;
    ad_call *call = data;
    call->finished = true;
}

static void
_ad_call_free(ad_call *call)
{
    ad_admin *admin = call->admin;
    admin->open_calls--;
    g_signal_handler_disconnect(call->message, call->finished_handler);
    g_clear_pointer(&call->config, dc_unref);
    g_clear_pointer(&call->body, json_node_unref);
    g_clear_pointer(&call->query, g_hash_table_unref);
    g_strfreev(call->path_parts);
    g_free(call->actor.team);
    g_free(call->actor.who);
    g_object_unref(call->message);
    g_free(call);
    ad_admin_unref(admin);
}

ad_call *
ad_call_create(ad_admin *admin, SoupServerMessage *message, const char *path,
               GHashTable *query)
{
    ad_call *call = g_new0(ad_call, 1);
    call->admin = g_rc_box_acquire(admin);
    call->message = g_object_ref(message);
    call->query = query ? g_hash_table_ref(query) : NULL;
    call->path_parts = g_strsplit(path, "/", -1);
    call->finished_handler = g_signal_connect(
        message, "finished", G_CALLBACK(_ad_on_finished), call);
    dc_config *config = admin->host->vt->config(admin->host, &call->version);
    call->config = config ? dc_ref(config) : NULL;
    admin->open_calls++;
    soup_server_message_pause(message);
    return call;
}

/* -- answers -------------------------------------------------------------- */

static void
_ad_log(const ad_call *call, uint32_t http)
{
    g_autofree char *status = g_strdup_printf("%u", http);
    lg_write(LG_ADMIN_CALL, "who", call->actor.who ? call->actor.who : "-",
             "method", soup_server_message_get_method(call->message), "path",
             g_uri_get_path(soup_server_message_get_uri(call->message)),
             "status", status, NULL);
}

void
ad_answer_text(ad_call *call, uint32_t http, const char *type,
               const char *text)
{
    _ad_log(call, http);
    if (!call->finished) {
        soup_server_message_set_status(call->message, http, NULL);
        soup_server_message_set_response(call->message, type, SOUP_MEMORY_COPY,
                                         text, strlen(text));
        soup_server_message_unpause(call->message);
    }
    _ad_call_free(call);
}

void
ad_answer_json(ad_call *call, uint32_t http, JsonBuilder *builder)
{
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    g_autofree char *text = json_to_string(root, FALSE);
    ad_answer_text(call, http, "application/json", text);
}

JsonBuilder *
ad_error_begin(const er_status *status)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "error");
    json_builder_add_string_value(builder, er_query_name(status->code));
    json_builder_set_member_name(builder, "message");
    json_builder_add_string_value(builder, status->message);
    return builder;
}

void
ad_answer_error(ad_call *call, const er_status *status)
{
    g_autoptr(JsonBuilder) builder = ad_error_begin(status);
    json_builder_end_object(builder);
    ad_answer_json(call, er_query_http(status->code), builder);
}
