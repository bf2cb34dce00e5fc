#include "lacewing/http1.h"

#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>

/* Default size limit of a head. */
#define _H1_HEAD_BYTES 65536
/* Bytes per header line to add to its two separators in `text`: together they
   stand for colon, space and line end. */
#define _H1_HEADER_OVERHEAD_BYTES 2
/* Statuses of HTTP (RFC 9110, 15). */
#define _H1_STATUS_MIN 100
#define _H1_STATUS_MAX 599

struct h1_reader {
    http_parser parser;
    h1_kind kind;
    uint32_t head_limit;
    const h1_callbacks *calls;
    void *user_data;
    h1_state state;
    h1_head head;
    GString *text; /* target, header names and values, separated by NUL */
    /* offsets in `text`; 0 in `values`: the header has no value */
    uint32_t names[H1_MAX_HEADERS];
    uint32_t values[H1_MAX_HEADERS];
    uint32_t header_count;
    bool in_value;
    bool too_large;
    size_t head_bytes_read; /* input consumed so far for the head */
};

/* -- private: callbacks of http_parser ------------------------------------ */

/* They return 0 to continue. Any other result is an error, except for 1 from
   _h1_on_head(), which means that no body follows. */

static int
_h1_on_begin(http_parser *parser)
{
    h1_reader *reader = parser->data;
    reader->state = H1_HEAD;
    return 0;
}

static int
_h1_on_target(http_parser *parser, const char *at, size_t length)
{
    h1_reader *reader = parser->data;
    g_string_append_len(reader->text, at, (gssize)length);
    return 0;
}

static int
_h1_on_field(http_parser *parser, const char *at, size_t length)
{
    h1_reader *reader = parser->data;
    if (reader->state != H1_HEAD) {
        return 0; /* trailers are ignored */
    }
    if (reader->in_value || reader->header_count == 0) {
        if (reader->header_count == H1_MAX_HEADERS) {
            reader->too_large = true;
            return 1;
        }
        g_string_append_c(reader->text, '\0');
        reader->names[reader->header_count] = (uint32_t)reader->text->len;
        reader->values[reader->header_count] = 0;
        reader->header_count++;
        reader->in_value = false;
    }
    g_string_append_len(reader->text, at, (gssize)length);
    return 0;
}

static int
_h1_on_value(http_parser *parser, const char *at, size_t length)
{
    h1_reader *reader = parser->data;
    if (reader->state != H1_HEAD) {
        return 0;
    }
    if (!reader->in_value) {
        g_string_append_c(reader->text, '\0');
        reader->values[reader->header_count - 1] = (uint32_t)reader->text->len;
        reader->in_value = true;
    }
    g_string_append_len(reader->text, at, (gssize)length);
    return 0;
}

static void
_h1_fill_head(h1_reader *reader)
{
    http_parser *parser = &reader->parser;
    h1_head *head = &reader->head;
    *head = (h1_head){.minor = parser->http_minor,
                      .keep_alive = http_should_keep_alive(parser) != 0,
                      .chunked = (parser->flags & F_CHUNKED) != 0,
                      .length = parser->content_length,
                      .header_count = reader->header_count};
    if (reader->kind == H1_REQUEST) {
        head->method = http_method_str((enum http_method)parser->method);
        head->target = reader->text->str;
    }
    else {
        head->status = parser->status_code;
    }
    for (uint32_t i = 0; i < reader->header_count; i++) {
        head->headers[i].name = reader->text->str + reader->names[i];
        head->headers[i].value =
            reader->values[i] ? reader->text->str + reader->values[i] : "";
    }
}

/* Rejects a space before the colon, which servers interpret differently. */
static bool
_h1_names_have_no_space(const h1_reader *reader)
{
    for (uint32_t i = 0; i < reader->header_count; i++) {
        if (strpbrk(reader->text->str + reader->names[i], " \t")) {
            return false;
        }
    }
    return true;
}

/* Returns whether the status is one of HTTP. 101 is not: no request asks for
   another protocol. */
static bool
_h1_is_status_valid(uint32_t status)
{
    return status >= _H1_STATUS_MIN && status <= _H1_STATUS_MAX &&
           status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

static int
_h1_on_head(http_parser *parser)
{
    h1_reader *reader = parser->data;
    size_t size =
        reader->text->len + reader->header_count * _H1_HEADER_OVERHEAD_BYTES;
    if (size > reader->head_limit) {
        reader->too_large = true;
        return -1;
    }
    if (parser->http_major != 1 || !_h1_names_have_no_space(reader)) {
        return -1;
    }
    if (reader->kind == H1_RESPONSE &&
        !_h1_is_status_valid(parser->status_code)) {
        return -1;
    }
    _h1_fill_head(reader);
    reader->state = H1_BODY;
    return reader->calls->head(&reader->head, reader->user_data) ? 1 : 0;
}

static int
_h1_on_body(http_parser *parser, const char *at, size_t length)
{
    h1_reader *reader = parser->data;
    reader->calls->body(at, length, reader->user_data);
    return 0;
}

static int
_h1_on_end(http_parser *parser)
{
    h1_reader *reader = parser->data;
    reader->state = H1_DONE;
    http_parser_pause(parser, 1); /* stops before the next message */
    return 0;
}

static const http_parser_settings _h1_settings = {
    .on_message_begin = _h1_on_begin,
    .on_url = _h1_on_target,
    .on_header_field = _h1_on_field,
    .on_header_value = _h1_on_value,
    .on_headers_complete = _h1_on_head,
    .on_body = _h1_on_body,
    .on_message_complete = _h1_on_end,
};

/* -- public --------------------------------------------------------------- */

h1_reader *
h1_create(const h1_desc *desc)
{
    g_assert(desc->kind != H1_DEFAULT && desc->calls);
    h1_reader *reader = g_new0(h1_reader, 1);
    reader->kind = desc->kind;
    reader->head_limit = desc->head_bytes ? desc->head_bytes : _H1_HEAD_BYTES;
    reader->calls = desc->calls;
    reader->user_data = desc->user_data;
    reader->text = g_string_sized_new(1024);
    h1_reset(reader);
    return reader;
}

void
h1_destroy(h1_reader *reader)
{
    if (reader) {
        g_string_free(reader->text, TRUE);
        g_free(reader);
    }
}

void
h1_reset(h1_reader *reader)
{
    http_parser_init(&reader->parser, reader->kind == H1_REQUEST
                                          ? HTTP_REQUEST
                                          : HTTP_RESPONSE);
    reader->parser.data = reader;
    reader->state = H1_IDLE;
    g_string_truncate(reader->text, 0);
    reader->header_count = 0;
    reader->in_value = false;
    reader->too_large = false;
    reader->head_bytes_read = 0;
}

void
h1_set_head_limit(h1_reader *reader, uint32_t head_bytes)
{
    reader->head_limit = head_bytes ? head_bytes : _H1_HEAD_BYTES;
}

size_t
h1_feed(h1_reader *reader, const char *bytes, size_t count)
{
    if (reader->state >= H1_DONE || count == 0) {
        return 0;
    }
    size_t used =
        http_parser_execute(&reader->parser, &_h1_settings, bytes, count);
    enum http_errno failure = HTTP_PARSER_ERRNO(&reader->parser);
    bool in_head = reader->state <= H1_HEAD;
    reader->head_bytes_read += in_head ? used : 0;
    if (reader->state == H1_DONE && !reader->parser.upgrade) {
        return used;
    }
    /* _h1_on_head() checks complete heads only. */
    if (reader->too_large || failure == HPE_HEADER_OVERFLOW ||
        (in_head && reader->head_bytes_read > reader->head_limit)) {
        reader->state = H1_TOO_LARGE;
    }
    else if ((failure != HPE_OK && failure != HPE_PAUSED) ||
             reader->parser.upgrade) {
        reader->state = H1_BROKEN;
    }
    return used;
}

void
h1_feed_end(h1_reader *reader)
{
    if (reader->state != H1_BODY) {
        return;
    }
    http_parser_execute(&reader->parser, &_h1_settings, NULL, 0);
    if (reader->state != H1_DONE) {
        reader->state = H1_BROKEN;
    }
}

h1_state
h1_query_state(const h1_reader *reader)
{
    return reader->state;
}

const h1_head *
h1_query_head(const h1_reader *reader)
{
    return &reader->head;
}

const char *
h1_query_header(const h1_head *head, const char *name)
{
    for (uint32_t i = 0; i < head->header_count; i++) {
        if (strcasecmp(head->headers[i].name, name) == 0) {
            return head->headers[i].value;
        }
    }
    return NULL;
}

static bool
_h1_list_contains(const char *list, const char *name)
{
    size_t length = strlen(name);
    while (*list) {
        list += strspn(list, ", \t");
        size_t token = strcspn(list, ", \t");
        if (token == length && strncasecmp(list, name, length) == 0) {
            return true;
        }
        list += token;
    }
    return false;
}

bool
h1_query_hop_by_hop(const h1_head *head, const char *name)
{
    static const char *const always_hop_by_hop[] = {
        "connection", "keep-alive",         "proxy-connection",
        "te",         "transfer-encoding",  "upgrade",
        "trailer",    "proxy-authenticate", "proxy-authorization"};
    for (size_t i = 0; i < G_N_ELEMENTS(always_hop_by_hop); i++) {
        if (strcasecmp(always_hop_by_hop[i], name) == 0) {
            return true;
        }
    }
    for (uint32_t i = 0; i < head->header_count; i++) {
        if (strcasecmp(head->headers[i].name, "connection") == 0 &&
            _h1_list_contains(head->headers[i].value, name)) {
            return true;
        }
    }
    return false;
}

const char *
h1_query_reason(uint32_t status)
{
    switch (status) {
#define _H1_REASON(code, name, text)                                          \
    case code:                                                                \
        return #text;
        HTTP_STATUS_MAP(_H1_REASON)
#undef _H1_REASON
    default:
        return "Status";
    }
}
