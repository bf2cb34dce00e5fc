/* store.c: the platform's metadata store. */
#include "bed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ROWS 4096

typedef struct row {
    char table[32];
    char key[208];
    char *value; /* base64; NULL: removed */
    int64_t version;
} row;

typedef struct feed {
    conn *conn;
    char table[32];
    int64_t after;
    int64_t until_ms;
} feed;

char store_address[32];
static row rows[MAX_ROWS];
static int row_count;
static int64_t store_version = 10;
static int64_t store_era = 1;
static bool away;
static conn *store_conns[256];
static int store_conn_count;
static row copied_rows[MAX_ROWS];
static int copied_count;
static int64_t copied_version;
static feed feeds[64];
static int feed_count;

static void answer_feeds(void);

static char *
encode(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t length = strlen(text);
    char *out = calloc(1, length / 3 * 4 + 8);
    char *to = out;
    for (size_t i = 0; i < length; i += 3) {
        unsigned char b[3] = {(unsigned char)text[i],
                              i + 1 < length ? (unsigned char)text[i + 1] : 0,
                              i + 2 < length ? (unsigned char)text[i + 2] : 0};
        *to++ = digits[b[0] >> 2];
        *to++ = digits[(b[0] & 3) << 4 | b[1] >> 4];
        *to++ = i + 1 < length ? digits[(b[1] & 15) << 2 | b[2] >> 6] : '=';
        *to++ = i + 2 < length ? digits[b[2] & 63] : '=';
    }
    return out;
}

static row *
find_row(const char *table, const char *key)
{
    for (int i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].key, key) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

static void
set_row(const char *table, const char *key, const char *value)
{
    row *r = find_row(table, key);
    if (!r) {
        if (row_count == MAX_ROWS) {
            exit(2);
        }
        r = &rows[row_count++];
        snprintf(r->table, sizeof(r->table), "%s", table);
        snprintf(r->key, sizeof(r->key), "%s", key);
    }
    free(r->value);
    r->value = value ? strdup(value) : NULL;
    r->version = store_version;
}

void
store_put(const char *table, const char *key, const char *value)
{
    char *encoded = value ? encode(value) : NULL;
    store_version++;
    set_row(table, key, encoded);
    free(encoded);
    answer_feeds();
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp((*(row *const *)a)->key, (*(row *const *)b)->key);
}

static int
compare_versions(const void *a, const void *b)
{
    int64_t left = (*(row *const *)a)->version;
    int64_t right = (*(row *const *)b)->version;
    return (left > right) - (left < right);
}

static void
print_row(buffer *out, const row *r, bool first)
{
    buffer_print(out, "%s{\"Table\":\"%s\",\"part\":\"\",\"Key\":\"%s\",",
                 first ? "" : ",", r->table, r->key);
    if (r->value) {
        buffer_print(out, "\"Value\":\"");
        buffer_add(out, r->value, strlen(r->value));
        buffer_print(out, "\",");
    }
    else {
        buffer_print(out, "\"Removed\":true,");
    }
    buffer_print(out, "\"Ver\":%lld}", (long long)r->version);
}

/* Prints the rows of a table that changed after a version. */
static int
print_rows(buffer *out, const char *table, int64_t after, const char *from,
           bool removed)
{
    row *found[MAX_ROWS];
    int count = 0;
    for (int i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 && rows[i].version > after &&
            (removed || rows[i].value) && strcmp(rows[i].key, from) >= 0) {
            found[count++] = &rows[i];
        }
    }
    qsort(found, (size_t)count, sizeof(*found),
          removed ? compare_versions : compare_keys);
    buffer_print(out, "{\"Rows\":[");
    for (int i = 0; i < count; i++) {
        print_row(out, found[i], i == 0);
    }
    buffer_print(out, "],\"MorePages\":false,\"Ver\":%lld,\"NowMs\":%lld}",
                 (long long)store_version, (long long)now_ms());
    return count;
}

static void
reply(conn *c, int status, const char *body)
{
    buffer head = {0};
    buffer_print(&head,
                 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                 "Store-Era: %lld\r\nContent-Length: %zu\r\n\r\n",
                 status, status == 200 ? "OK" : "Error", (long long)store_era,
                 strlen(body));
    write_bytes(c, head.data, head.length);
    write_text(c, body);
    free(head.data);
}

static bool
answer_feed(const feed *f)
{
    if (f->after > store_version) {
        reply(f->conn, 410, "{}");
        return true;
    }
    buffer out = {0};
    int count = print_rows(&out, f->table, f->after, "", true);
    bool due = count || now_ms() >= f->until_ms;
    if (due) {
        reply(f->conn, 200, out.data);
    }
    free(out.data);
    return due;
}

static void
answer_feeds(void)
{
    for (int i = 0; i < feed_count;) {
        if (feeds[i].conn->freed || away || answer_feed(&feeds[i])) {
            feeds[i] = feeds[--feed_count];
        }
        else {
            i++;
        }
    }
}

static void
on_feed_timer(void *data)
{
    (void)data;
    answer_feeds();
    call_later(2, on_feed_timer, NULL);
}

static bool
conditions_hold(const json *conditions)
{
    for (size_t i = 0; i < json_count(conditions); i++) {
        const json *c = json_at(conditions, i);
        const row *r = find_row(json_string(json_member(c, "Table")),
                                json_string(json_member(c, "Key")));
        int64_t version = r && r->value ? r->version : 0;
        if (version != json_integer(json_member(c, "Ver"), -1)) {
            return false;
        }
    }
    return true;
}

static void
apply(const json *entries, bool remove)
{
    for (size_t i = 0; i < json_count(entries); i++) {
        const json *e = json_at(entries, i);
        set_row(json_string(json_member(e, "Table")),
                json_string(json_member(e, "Key")),
                remove ? NULL : json_string(json_member(e, "Value")));
    }
}

static void
print_conflict(buffer *out, const json *conditions)
{
    bool first = true;
    buffer_print(out, "{\"Rows\":[");
    for (size_t i = 0; i < json_count(conditions); i++) {
        const json *c = json_at(conditions, i);
        const row *r = find_row(json_string(json_member(c, "Table")),
                                json_string(json_member(c, "Key")));
        if (r && r->value) {
            print_row(out, r, first);
            first = false;
        }
    }
    buffer_print(out, "],\"Ver\":%lld,\"NowMs\":%lld}",
                 (long long)store_version, (long long)now_ms());
}

static void
handle_tx(conn *c, const request *r)
{
    json *tx = json_parse(r->body, r->body_length);
    if (!tx) {
        reply(c, 400, "{}");
        return;
    }
    buffer out = {0};
    const json *conditions = json_member(tx, "Precondition");
    if (conditions_hold(conditions)) {
        store_version++;
        apply(json_member(tx, "Upserts"), false);
        apply(json_member(tx, "Remove"), true);
        buffer_print(&out, "{\"Ver\":%lld,\"NowMs\":%lld}",
                     (long long)store_version, (long long)now_ms());
        reply(c, 200, out.data);
    }
    else {
        print_conflict(&out, conditions);
        reply(c, 412, out.data);
    }
    free(out.data);
    json_free(tx);
    answer_feeds();
}

static void
get_param(const char *target, const char *name, char *out, size_t size)
{
    char key[40];
    snprintf(key, sizeof(key), "%s=", name);
    const char *at = strstr(target, key);
    out[0] = '\0';
    if (at) {
        at += strlen(key);
        size_t count = strcspn(at, "&");
        count = count < size ? count : size - 1;
        memcpy(out, at, count);
        out[count] = '\0';
    }
}

static void
handle(conn *c, const request *r)
{
    char table[32];
    char text[256];
    get_param(r->target, "Table", table, sizeof(table));
    if (strncmp(r->target, "/rows-tx", 8) == 0) {
        handle_tx(c, r);
    }
    else if (strncmp(r->target, "/rows-get", 9) == 0) {
        buffer out = {0};
        get_param(r->target, "From", text, sizeof(text));
        print_rows(&out, table, 0, text, false);
        reply(c, 200, out.data);
        free(out.data);
    }
    else if (strncmp(r->target, "/rows-feed", 10) == 0 && feed_count < 64) {
        feed f = {.conn = c};
        snprintf(f.table, sizeof(f.table), "%s", table);
        get_param(r->target, "after", text, sizeof(text));
        f.after = strtoll(text, NULL, 10);
        get_param(r->target, "WaitTimeoutMs", text, sizeof(text));
        f.until_ms = now_ms() + strtoll(text, NULL, 10);
        feeds[feed_count++] = f;
        answer_feeds();
    }
    else {
        reply(c, 400, "{}");
    }
}

static void
on_input(conn *c)
{
    request r;
    while (take_request(c, &r)) {
        if (!away) {
            handle(c, &r);
        }
        free_request(&r);
    }
}

static void
accepted(conn *c)
{
    c->on_input = on_input;
    int kept = 0;
    for (int i = 0; i < store_conn_count; i++) {
        if (!store_conns[i]->freed) {
            store_conns[kept++] = store_conns[i];
        }
    }
    store_conn_count = kept;
    if (store_conn_count < 256) {
        store_conns[store_conn_count++] = c;
    }
}

void
store_copy(void)
{
    copied_count = row_count;
    copied_version = store_version;
    for (int i = 0; i < row_count; i++) {
        copied_rows[i] = rows[i];
        copied_rows[i].value = rows[i].value ? strdup(rows[i].value) : NULL;
        note("the copy has %s/%s", rows[i].table, rows[i].key);
    }
}

void
store_leave(void)
{
    away = true;
    answer_feeds();
    note("the store is away");
}

void
store_restore(void)
{
    for (int i = 0; i < store_conn_count; i++) {
        if (!store_conns[i]->freed) {
            close_conn(store_conns[i]);
        }
    }
    store_conn_count = 0;
    memcpy(rows, copied_rows, sizeof(rows));
    row_count = copied_count;
    note("the store is back from the copy, version %lld for %lld, Store-Era "
         "%lld",
         (long long)copied_version, (long long)store_version,
         (long long)store_era + 1);
    store_version = copied_version;
    store_era++;
    away = false;
}

void
start_store(void)
{
    listen_here(store_address, sizeof(store_address), accepted, NULL);
    call_later(2, on_feed_timer, NULL);
}
