#include "targets.h"

#include "event_stream.h"
#include "lacewing/config.h"
#include "lacewing/frame.h"
#include "lacewing/http1.h"
#include "lacewing/users_platform.h"
#include "stream_position.h"
#include <json-glib/json-glib.h>
#include <string.h>

/* Most bytes of a stream that are searched or moved for each one fed. */
#define _FZ_MAX_WORK_PER_BYTE 4

/* Pushes the input in two pieces. The first byte selects where it is split, so
   that some input reaches every split position. */
void
fz_frames(const uint8_t *bytes, size_t size)
{
    g_autoptr(fr_decoder) decoder = fr_create(&(fr_desc){0});
    size_t split = size ? bytes[0] % size : 0;
    const size_t pieces[] = {split, size - split};
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        fr_push(decoder, bytes + (i ? split : 0), pieces[i]);
        Lacewing__Envelope *envelope = NULL;
        while (fr_next(decoder, &envelope, NULL) == ER_OK && envelope) {
            lacewing__envelope__free_unpacked(envelope, NULL);
        }
    }
    /* Also decodes the input as a bare envelope, because the checksum of a
       frame keeps mutations from reaching its payload. */
    Lacewing__Envelope *envelope =
        lacewing__envelope__unpack(NULL, size, bytes);
    if (envelope) {
        lacewing__envelope__free_unpacked(envelope, NULL);
    }
}

void
fz_events(const uint8_t *bytes, size_t size)
{
    se_parser *parser = se_create();
    size_t split = size ? bytes[0] % size : 0;
    se_push(parser, (const char *)bytes, split);
    while (se_next(parser)) {
    }
    se_push(parser, (const char *)bytes + split, size - split);
    while (se_next(parser)) {
    }
    se_destroy(parser);
}

void
fz_edits(const uint8_t *bytes, size_t size)
{
    g_autofree char *text = g_strndup((const char *)bytes, size);
    g_autoptr(dc_edits) edits = NULL;
    if (dc_edits_parse(text, &edits, NULL) == ER_OK) {
        g_autoptr(dc_config) config = NULL;
        dc_apply_edits(NULL, edits, &config, NULL);
    }
}

void
fz_config(const uint8_t *bytes, size_t size)
{
    g_autofree char *text = g_strndup((const char *)bytes, size);
    g_autoptr(dc_config) config = NULL;
    dc_parse(text, "fuzz", &config, NULL);
}

static bool
_fz_on_head(const h1_head *head, void *user_data)
{
    (void)user_data;
    for (uint32_t i = 0; i < head->header_count; i++) {
        h1_query_hop_by_hop(head, head->headers[i].name);
    }
    return false;
}

static void
_fz_on_body(const char *bytes, size_t count, void *user_data)
{
    (void)bytes;
    *(size_t *)user_data += count;
}

void
fz_http(const uint8_t *bytes, size_t size)
{
    static const h1_callbacks calls = {.head = _fz_on_head,
                                       .body = _fz_on_body};
    const h1_kind kinds[] = {H1_REQUEST, H1_RESPONSE};
    const char *text = (const char *)bytes;
    size_t split = size ? bytes[0] % size : 0;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        size_t body = 0;
        h1_reader *reader = h1_create(
            &(h1_desc){.kind = kinds[i], .calls = &calls, .user_data = &body});
        size_t used = h1_feed(reader, text, split);
        if (used == split) {
            h1_feed(reader, text + split, size - split);
        }
        h1_feed_end(reader);
        g_assert(body <= size);
        h1_destroy(reader);
    }
}

static void
_fz_on_event(const sp_event *event, void *user_data)
{
    GString *seen = user_data;
    g_string_append_len(seen, event->bytes, (gssize)event->count);
    g_string_append_c(seen, '|');
}

/* Returns the events of a stream that comes in pieces of this size. */
static GString *
_fz_read_events(const uint8_t *bytes, size_t size, size_t piece)
{
    static const sp_callbacks calls = {.event = _fz_on_event};
    GString *seen = g_string_new(NULL);
    sp_position *position =
        sp_create(&(sp_desc){.calls = &calls, .user_data = seen});
    sp_begin_send(position);
    bool fits = true;
    for (size_t at = 0; at < size && fits; at += piece) {
        fits =
            sp_feed(position, (const char *)bytes + at, MIN(piece, size - at));
    }
    g_assert(sp_query_work_bytes(position) <= size * _FZ_MAX_WORK_PER_BYTE);
    sp_destroy(position);
    return seen;
}

void
fz_stream(const uint8_t *bytes, size_t size)
{
    if (size == 0) {
        return;
    }
    const size_t pieces[] = {size, 1, 2, 1 + bytes[0] % 16U};
    GString *expected = _fz_read_events(bytes, size, pieces[0]);
    for (size_t i = 1; i < G_N_ELEMENTS(pieces); i++) {
        GString *seen = _fz_read_events(bytes, size, pieces[i]);
        g_assert(g_string_equal(seen, expected));
        g_string_free(seen, TRUE);
    }
    g_string_free(expected, TRUE);
}

/* Members of an order, and those among them whose value is the name. */
typedef struct _fz_members {
    const char *name;
    uint32_t all;
    uint32_t named;
} _fz_members;

static void
_fz_on_member(JsonObject *object, const char *member, JsonNode *node,
              void *user_data)
{
    (void)object;
    (void)member;
    _fz_members *members = user_data;
    members->all++;
    members->named += json_node_get_value_type(node) == G_TYPE_STRING &&
                      strcmp(json_node_get_string(node), members->name) == 0;
}

/* An order has a kind, a model, an adapter, a holder and a fence. */
void
fz_order(const uint8_t *bytes, size_t size)
{
    enum { MEMBERS = 5, NAMES = 3 };
    g_autofree char *name = g_strndup((const char *)bytes, size);
    g_autofree char *expected = g_utf8_make_valid(name, -1);
    GString *body = up_query_dialect()->write_order(&(dl_order){
        .kind = DL_LOAD, .model = name, .adapter = name, .holder = name});
    g_autoptr(JsonParser) parser = json_parser_new();
    bool parsed = json_parser_load_from_data(parser, body->str, -1, NULL);
    g_assert(parsed);
    _fz_members members = {.name = expected};
    json_object_foreach_member(
        json_node_get_object(json_parser_get_root(parser)), _fz_on_member,
        &members);
    g_assert(members.all == MEMBERS && members.named >= NAMES);
    g_string_free(body, TRUE);
}

void
fz_platform(const uint8_t *bytes, size_t size)
{
    const dl_dialect *dialect = up_query_dialect();
    g_autoptr(GBytes) value = g_bytes_new(bytes, size);
    dl_row row = {.key = (char *)"config", .value = value, .version = 1};
    dl_operator operator= {0};
    if (dialect->read_operator(&row, &operator, NULL) == ER_OK) {
        dl_clear_operator(&operator);
    }
    dl_server server = {0};
    if (dialect->read_server(&row, &server, NULL) == ER_OK) {
        dl_clear_server(&server);
    }
    if (dialect->read_report((const char *)bytes, size, &server, NULL) ==
        ER_OK) {
        dl_clear_server(&server);
    }
    dl_rows rows = {0};
    if (dialect->read_rows((const char *)bytes, size, "1", &rows, NULL) ==
        ER_OK) {
        dl_clear_rows(&rows);
    }
    g_autofree char *header = g_strndup((const char *)bytes, size);
    uint64_t parts[4];
    if (dialect->read_prompt_parts(header, parts, G_N_ELEMENTS(parts)) >
        G_N_ELEMENTS(parts)) {
        abort();
    }
}
