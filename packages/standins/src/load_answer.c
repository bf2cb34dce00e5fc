#include "load_answer.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define _LA_EVENT_PREFIX "data: "
#define _LA_STATUS_OK 200

/* -- private: errors ------------------------------------------------------ */

static void
_la_parse_error(la_answer *answer, JsonObject *root)
{
    JsonNode *node = json_object_get_member(root, "error");
    if (!node || !JSON_NODE_HOLDS_OBJECT(node)) {
        return;
    }
    JsonObject *error = json_node_get_object(node);
    g_strlcpy(answer->type,
              json_object_get_string_member_with_default(error, "type", ""),
              sizeof(answer->type));
    g_strlcpy(answer->ran,
              json_object_get_string_member_with_default(error, "ran", ""),
              sizeof(answer->ran));
    answer->retry_after_ms = (uint32_t)json_object_get_int_member_with_default(
        error, "retry_after_ms", 0);
}

/* -- private: text -------------------------------------------------------- */

/* Appends a JSON string, unescaped; from points behind its opening quote. */
static void
_la_add_unescaped(GString *text, const char *from)
{
    const char *end = from;
    while (*end && *end != '"') {
        end += *end == '\\' && end[1] ? 2 : 1;
    }
    if (!memchr(from, '\\', (size_t)(end - from))) {
        g_string_append_len(text, from, end - from);
        return;
    }
    g_autofree char *part = g_strndup(from, (gsize)(end - from));
    g_autofree char *unescaped = g_strcompress(part);
    g_string_append(text, unescaped);
}

static void
_la_parse_event(la_answer *answer, const char *event)
{
    static const char text_member[] = "\"text\":\"";
    const char *text = strstr(event, text_member);
    if (text) {
        const char *from = text + strlen(text_member);
        answer->text_events += *from != '"';
        _la_add_unescaped(answer->text, from);
    }
    else if (strstr(event, "[DONE]") || strstr(event, "\"done\":true")) {
        answer->ended = true;
    }
    else if (strstr(event, "\"error\"")) {
        g_autoptr(JsonNode) root = json_from_string(event, NULL);
        if (root && JSON_NODE_HOLDS_OBJECT(root)) {
            _la_parse_error(answer, json_node_get_object(root));
        }
    }
}

static void
_la_parse_events(la_answer *answer)
{
    char *at = answer->unparsed->str;
    char *end;
    while ((end = strstr(at, "\n\n"))) {
        *end = '\0';
        if (g_str_has_prefix(at, _LA_EVENT_PREFIX)) {
            _la_parse_event(answer, at + strlen(_LA_EVENT_PREFIX));
        }
        at = end + 2;
    }
    g_string_erase(answer->unparsed, 0, at - answer->unparsed->str);
}

/* Appends the text of a draft in one body: choices[0].text. */
static void
_la_parse_choice(la_answer *answer, JsonObject *root)
{
    JsonNode *node = json_object_get_member(root, "choices");
    if (!node || !JSON_NODE_HOLDS_ARRAY(node) ||
        json_array_get_length(json_node_get_array(node)) == 0) {
        return;
    }
    JsonNode *choice = json_array_get_element(json_node_get_array(node), 0);
    if (!JSON_NODE_HOLDS_OBJECT(choice)) {
        return;
    }
    const char *text = json_object_get_string_member_with_default(
        json_node_get_object(choice), "text", NULL);
    if (text) {
        g_string_append(answer->text, text);
        answer->text_events = 1;
        answer->ended = true;
    }
}

static void
_la_parse_body(la_answer *answer)
{
    g_autoptr(JsonNode) root = json_from_string(answer->unparsed->str, NULL);
    if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
        return;
    }
    if (answer->status != _LA_STATUS_OK) {
        _la_parse_error(answer, json_node_get_object(root));
    }
    else if (answer->draft) {
        _la_parse_choice(answer, json_node_get_object(root));
    }
    else {
        g_string_assign(answer->text, answer->unparsed->str);
        answer->ended = true;
    }
}

/* -- public --------------------------------------------------------------- */

void
la_setup(la_answer *answer)
{
    memset(answer, 0, sizeof(*answer));
    answer->unparsed = g_string_new(NULL);
    answer->text = g_string_new(NULL);
}

void
la_clear(la_answer *answer)
{
    g_string_free(answer->unparsed, TRUE);
    g_string_free(answer->text, TRUE);
}

void
la_begin(la_answer *answer, uint32_t status, bool events, bool draft)
{
    answer->status = status;
    answer->events = events && status == _LA_STATUS_OK;
    answer->draft = draft;
}

void
la_feed(la_answer *answer, const char *bytes, size_t size)
{
    g_string_append_len(answer->unparsed, bytes, (gssize)size);
    if (answer->events) {
        _la_parse_events(answer);
    }
}

void
la_end(la_answer *answer)
{
    if (!answer->events && !answer->cut_off) {
        _la_parse_body(answer);
    }
}

bool
la_query_is_refusal(const la_answer *answer)
{
    return answer->type[0] && !answer->ended;
}

bool
la_query_is_complete(const la_answer *answer)
{
    return answer->status == _LA_STATUS_OK && answer->ended &&
           !answer->type[0];
}

const char *
la_query_text(const la_answer *answer)
{
    return answer->text->str;
}
