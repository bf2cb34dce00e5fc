#include "lacewing/log.h"

#include "lacewing/hash.h"
#include <glib.h>
#include <json-glib/json-glib.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

typedef struct _lg_entry {
    lg_level level;
    const char *part;
    const char *text;
} _lg_entry;

static const _lg_entry _lg_entries[LG_ITEM_NUM] = {
#define LG_ENTRY(code, level, part, text)                                     \
    [code] = {LG_LEVEL_##level, part, text},
    LG_ITEMS(LG_ENTRY)
#undef LG_ENTRY
};

static const char *const _lg_level_names[LG_LEVEL_NUM] = {
    [LG_LEVEL_DEFAULT] = "info", [LG_LEVEL_DEBUG] = "debug",
    [LG_LEVEL_INFO] = "info",    [LG_LEVEL_WARNING] = "warning",
    [LG_LEVEL_ERROR] = "error",
};

const char *const lg_level_choices[] = {"debug", "info", "warning", "error",
                                        NULL};

static struct {
    bool valid;
    lg_level level;
    bool json;
    char instance[64];
    bool bounded;
    GString *pending;        /* lines not written yet */
    uint64_t dropped;        /* lines dropped so far */
    uint64_t dropped_logged; /* of them, those that a log line has reported */
    uint32_t pending_bytes;
    uint32_t requests_per_s;
    int64_t second;    /* in which requests are being counted */
    uint32_t requests; /* counted in that second */
    /* Requests whose hash is at most this are logged: the share of all
       requests as a fraction of UINT32_MAX. */
    uint32_t max_sampled_hash;
} _lg;

/* Size of one write. A pipe takes at most PIPE_BUF bytes, 4096 on Linux, whole
   or not at all. */
#define _LG_WRITE_BYTES 4096

void
lg_setup(const lg_desc *desc)
{
    _lg.valid = true;
    _lg.level = desc->level ? desc->level : LG_LEVEL_INFO;
    _lg.json = desc->json;
    _lg.bounded = desc->bounded;
    _lg.pending_bytes =
        desc->pending_bytes ? desc->pending_bytes : LG_PENDING_BYTES;
    _lg.requests_per_s =
        desc->requests_per_s ? desc->requests_per_s : LG_REQUESTS_PER_S;
    _lg.max_sampled_hash = UINT32_MAX;
    _lg.pending = _lg.pending ? _lg.pending : g_string_new(NULL);
    g_strlcpy(_lg.instance, desc->instance ? desc->instance : "",
              sizeof(_lg.instance));
}

void
lg_shutdown(void)
{
    if (_lg.pending) {
        g_string_free(_lg.pending, TRUE);
    }
    memset(&_lg, 0, sizeof(_lg));
}

bool
lg_is_valid(void)
{
    return _lg.valid;
}

lg_level
lg_query_level(const char *name)
{
    for (uint32_t i = LG_LEVEL_DEBUG; i < LG_LEVEL_NUM; i++) {
        if (name && strcmp(name, _lg_level_names[i]) == 0) {
            return (lg_level)i;
        }
    }
    return LG_LEVEL_NUM;
}

static void
_lg_append_json_string(GString *line, const char *key, const char *value)
{
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_VALUE);
    json_node_set_string(node, value);
    g_autofree char *quoted = json_to_string(node, FALSE);
    g_string_append_printf(line, "%s\"%s\":%s", line->len > 1 ? "," : "", key,
                           quoted);
}

static void
_lg_append_plain_field(GString *line, const char *key, const char *value)
{
    if (strpbrk(value, " \"=\n")) {
        g_autofree char *escaped = g_strescape(value, NULL);
        g_string_append_printf(line, " %s=\"%s\"", key, escaped);
    }
    else {
        g_string_append_printf(line, " %s=%s", key, value);
    }
}

static void
_lg_append_fields(GString *line, va_list args)
{
    const char *key;
    while ((key = va_arg(args, const char *))) {
        const char *value = va_arg(args, const char *);
        if (!value) {
            break;
        }
        if (_lg.json) {
            _lg_append_json_string(line, key, value);
        }
        else {
            _lg_append_plain_field(line, key, value);
        }
    }
}

static void
_lg_append_head(GString *line, const _lg_entry *entry)
{
    g_autoptr(GDateTime) now = g_date_time_new_now_utc();
    g_autofree char *timestamp =
        g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
    const char *level = _lg_level_names[entry->level];
    if (_lg.json) {
        g_string_append_c(line, '{');
        _lg_append_json_string(line, "time", timestamp);
        _lg_append_json_string(line, "level", level);
        _lg_append_json_string(line, "part", entry->part);
        _lg_append_json_string(line, "text", entry->text);
    }
    else {
        g_string_append_printf(line, "%s %s %s: %s", timestamp, level,
                               entry->part, entry->text);
    }
}

uint64_t
lg_query_dropped(void)
{
    return _lg.dropped;
}

static void
_lg_flush(void)
{
    gsize offset = 0;
    while (offset < _lg.pending->len) {
        struct pollfd ready = {.fd = STDOUT_FILENO, .events = POLLOUT};
        if (poll(&ready, 1, 0) <= 0 || !(ready.revents & POLLOUT)) {
            break;
        }
        gsize count = MIN(_lg.pending->len - offset, _LG_WRITE_BYTES);
        ssize_t written =
            write(STDOUT_FILENO, _lg.pending->str + offset, count);
        if (written <= 0) {
            break;
        }
        offset += (gsize)written;
    }
    g_string_erase(_lg.pending, 0, (gssize)offset);
}

static void
_lg_write_line(const GString *line)
{
    if (!_lg.bounded) {
        fwrite(line->str, 1, line->len, stderr);
        return;
    }
    if (_lg.pending->len + line->len > _lg.pending_bytes) {
        _lg_flush();
    }
    if (_lg.pending->len + line->len > _lg.pending_bytes) {
        _lg.dropped++;
        return;
    }
    if (_lg.dropped > _lg.dropped_logged) {
        g_string_append_printf(
            _lg.pending,
            "warning log: lines dropped count=%" G_GUINT64_FORMAT "\n",
            _lg.dropped - _lg.dropped_logged);
        _lg.dropped_logged = _lg.dropped;
    }
    g_string_append_len(_lg.pending, line->str, (gssize)line->len);
    _lg_flush();
}

bool
lg_sample(const char *request)
{
    if (!_lg.valid || _lg.level <= LG_LEVEL_DEBUG) {
        return _lg.valid;
    }
    int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;
    if (second != _lg.second) {
        bool next = second == _lg.second + 1;
        double rate = next ? _lg.requests : 0;
        double share =
            rate > _lg.requests_per_s ? _lg.requests_per_s / rate : 1.0;
        _lg.max_sampled_hash = (uint32_t)(share * UINT32_MAX);
        _lg.second = second;
        _lg.requests = 0;
    }
    _lg.requests++;
    return (uint32_t)(hs_u64(request) >> 32) <= _lg.max_sampled_hash;
}

void
lg_write(lg_item item, ...)
{
    const _lg_entry *entry = &_lg_entries[item];
    if (!_lg.valid || entry->level < _lg.level) {
        return;
    }
    g_autoptr(GString) line = g_string_new(NULL);
    _lg_append_head(line, entry);
    if (_lg.instance[0] && _lg.json) {
        _lg_append_json_string(line, "instance", _lg.instance);
    }
    else if (_lg.instance[0]) {
        _lg_append_plain_field(line, "instance", _lg.instance);
    }
    va_list args;
    va_start(args, item);
    _lg_append_fields(line, args);
    va_end(args);
    g_string_append(line, _lg.json ? "}\n" : "\n");
    _lg_write_line(line);
}
