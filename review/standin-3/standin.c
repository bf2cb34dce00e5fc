#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200
#define MAX_HEAD 65536

/* -- time and record ------------------------------------------------------ */

static uint64_t begun_ms;
static FILE *record;
static GMutex record_lock;
static GPtrArray *instances;
static char *folder_tmp;

static uint64_t
clock_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t
si_now_ms(void)
{
    return clock_ms() - begun_ms;
}

void
si_sleep_until(uint64_t ms)
{
    uint64_t now = si_now_ms();
    if (ms > now) {
        g_usleep((ms - now) * 1000);
    }
}

void
si_note(const char *format, ...)
{
    va_list list;
    va_start(list, format);
    g_mutex_lock(&record_lock);
    uint64_t now = si_now_ms();
    fprintf(record, "%3u.%03u ", (unsigned)(now / 1000),
            (unsigned)(now % 1000));
    vfprintf(record, format, list);
    fputc('\n', record);
    fflush(record);
    g_mutex_unlock(&record_lock);
    va_end(list);
}

bool
si_trouble(void)
{
    const char *text = getenv("TROUBLE");
    return !text || strcmp(text, "0") != 0;
}

static void
end_instances(void)
{
    for (guint i = 0; i < instances->len; i++) {
        si_instance *instance = instances->pdata[i];
        if (instance->pid > 0) {
            kill(instance->pid, SIGKILL);
            waitpid(instance->pid, NULL, 0);
            instance->pid = 0;
        }
    }
    g_autofree char *command = g_strdup_printf("%s", folder_tmp);
    GDir *dir = g_dir_open(command, 0, NULL);
    const char *name;
    while (dir && (name = g_dir_read_name(dir))) {
        g_autofree char *path = g_build_filename(command, name, NULL);
        unlink(path);
    }
    if (dir) {
        g_dir_close(dir);
    }
    rmdir(command);
}

void
si_end(int code, const char *format, ...)
{
    va_list list;
    va_start(list, format);
    g_autofree char *text = g_strdup_vprintf(format, list);
    va_end(list);
    si_note("%s: %s",
            code == 0   ? "held"
            : code == 1 ? "BROKEN"
                        : "not run",
            text);
    printf("%s: %s\n",
           code == 0   ? "held"
           : code == 1 ? "BROKEN"
                       : "not run",
           text);
    fflush(stdout);
    end_instances();
    _exit(code);
}

static void
on_signal(int number)
{
    (void)number;
    end_instances();
    _exit(2);
}

void
si_begin(const char *folder)
{
    begun_ms = clock_ms();
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    instances = g_ptr_array_new();
    g_autofree char *path = g_build_filename(folder, "record.txt", NULL);
    record = fopen(path, "w");
    folder_tmp = g_dir_make_tmp("review-3-XXXXXX", NULL);
    if (!record || !folder_tmp) {
        fprintf(stderr, "cannot write %s\n", path);
        _exit(2);
    }
    si_note("begun, TROUBLE=%d", si_trouble());
}

/* -- sockets and HTTP ----------------------------------------------------- */

static int
listen_on(int port, char address[32])
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons((uint16_t)port),
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(name);
    if (bind(fd, (struct sockaddr *)&name, size) || listen(fd, 512) ||
        getsockname(fd, (struct sockaddr *)&name, &size)) {
        close(fd);
        return -1;
    }
    g_snprintf(address, 32, "127.0.0.1:%u", ntohs(name.sin_port));
    return fd;
}

/* Returns a free port; below those that the kernel gives to callers. */
static int
free_port(int type)
{
    for (;;) {
        int port = g_random_int_range(12000, 32000);
        int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        struct sockaddr_in name = {.sin_family = AF_INET,
                                   .sin_port = htons((uint16_t)port),
                                   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        bool ok = bind(fd, (struct sockaddr *)&name, sizeof(name)) == 0;
        close(fd);
        if (ok) {
            return port;
        }
    }
}

static int
connect_to(const char *address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in name = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1)),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&name, sizeof(name))) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_all(int fd, const char *bytes, size_t count)
{
    while (count) {
        ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
    return true;
}

/* A reader of one connection. */
typedef struct reader {
    int fd;
    GByteArray *bytes; /* read and not used */
    int pace;          /* bytes a second; 0: as they come */
    int gap_ms;        /* 0: any */
    bool silent;
} reader;

static bool
read_more(reader *r)
{
    char buffer[65536];
    size_t most = sizeof(buffer);
    if (r->pace) {
        g_usleep(50000);
        most = MAX((size_t)r->pace / 20, 1);
        most = MIN(most, sizeof(buffer));
    }
    if (r->gap_ms) {
        struct pollfd wait = {.fd = r->fd, .events = POLLIN};
        if (poll(&wait, 1, r->gap_ms) <= 0) {
            r->silent = true;
            return false;
        }
    }
    ssize_t count = recv(r->fd, buffer, most, 0);
    if (count <= 0) {
        return false;
    }
    g_byte_array_append(r->bytes, (guint8 *)buffer, (guint)count);
    return true;
}

/* Reads a head; returns its text or NULL. */
static char *
read_head(reader *r)
{
    for (;;) {
        const char *end = r->bytes->len
                              ? g_strstr_len((char *)r->bytes->data,
                                             r->bytes->len, "\r\n\r\n")
                              : NULL;
        if (end) {
            size_t count = (size_t)(end - (char *)r->bytes->data) + 4;
            char *head = g_strndup((char *)r->bytes->data, count);
            g_byte_array_remove_range(r->bytes, 0, (guint)count);
            return head;
        }
        if (r->bytes->len > MAX_HEAD || !read_more(r)) {
            return NULL;
        }
    }
}

/* Returns the value of a header or NULL; to be freed. */
static char *
header(const char *head, const char *name)
{
    g_auto(GStrv) lines = g_strsplit(head, "\r\n", -1);
    size_t length = strlen(name);
    for (int i = 1; lines[i]; i++) {
        if (g_ascii_strncasecmp(lines[i], name, length) == 0 &&
            lines[i][length] == ':') {
            return g_strstrip(g_strdup(lines[i] + length + 1));
        }
    }
    return NULL;
}

static GByteArray *
read_body(reader *r, const char *head)
{
    g_autofree char *length = header(head, "Content-Length");
    size_t count = length ? (size_t)g_ascii_strtoull(length, NULL, 10) : 0;
    while (r->bytes->len < count) {
        if (!read_more(r)) {
            return NULL;
        }
    }
    GByteArray *body = g_byte_array_new();
    g_byte_array_append(body, r->bytes->data, (guint)count);
    g_byte_array_append(body, (const guint8 *)"", 1);
    g_byte_array_remove_range(r->bytes, 0, (guint)count);
    return body;
}

static bool
reply(int fd, int status, const char *headers, const char *body, size_t count)
{
    g_autofree char *head =
        g_strdup_printf("HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
                        status, headers ? headers : "", count);
    return send_all(fd, head, strlen(head)) && send_all(fd, body, count);
}

/* -- the store ------------------------------------------------------------ */

typedef struct row {
    char *value; /* base64; NULL: removed */
    uint64_t version;
} row;
static GMutex store_lock;
static GCond store_changed;
static GHashTable *tables; /* TABLE/KEY -> row */
static uint64_t store_version;

static void
put_locked(const char *table, const char *key, char *base64)
{
    row *r = g_new0(row, 1);
    r->value = base64;
    r->version = store_version;
    if (!tables) {
        tables = g_hash_table_new(g_str_hash, g_str_equal);
    }
    g_hash_table_replace(tables, g_strdup_printf("%s/%s", table, key), r);
}

void
si_put(const char *table, const char *key, const char *value)
{
    g_mutex_lock(&store_lock);
    store_version++;
    put_locked(table, key,
               value ? g_base64_encode((const guchar *)value, strlen(value))
                     : NULL);
    g_cond_broadcast(&store_changed);
    g_mutex_unlock(&store_lock);
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static int
compare_versions(const void *a, const void *b)
{
    row *x = g_hash_table_lookup(tables, *(char *const *)a);
    row *y = g_hash_table_lookup(tables, *(char *const *)b);
    return x->version < y->version ? -1 : x->version > y->version;
}

/* Writes the rows of a table that changed after a version. */
static GString *
format_rows(const char *table, uint64_t after, bool feed, const char *from,
            guint *count)
{
    g_autofree char *prefix = g_strdup_printf("%s/", table);
    GPtrArray *keys = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    if (tables) {
        g_hash_table_iter_init(&iter, tables);
        while (g_hash_table_iter_next(&iter, &key, &value)) {
            const row *r = value;
            if (g_str_has_prefix(key, prefix) &&
                (feed ? r->version > after : r->value != NULL) &&
                (!from || strcmp((char *)key + strlen(prefix), from) >= 0)) {
                g_ptr_array_add(keys, key);
            }
        }
    }
    qsort(keys->pdata, keys->len, sizeof(gpointer),
          feed ? compare_versions : compare_keys);
    GString *text = g_string_new("{\"Rows\":[");
    for (guint i = 0; i < keys->len; i++) {
        const row *r = g_hash_table_lookup(tables, keys->pdata[i]);
        g_string_append_printf(
            text, "%s{\"Table\":\"%s\",\"part\":\"\",\"Key\":\"%s\",",
            i ? "," : "", table, (char *)keys->pdata[i] + strlen(prefix));
        if (r->value) {
            g_string_append_printf(text, "\"Value\":\"%s\",", r->value);
        }
        else {
            g_string_append(text, "\"Removed\":true,");
        }
        g_string_append_printf(text, "\"Ver\":%" G_GUINT64_FORMAT "}",
                               r->version);
    }
    g_string_append_printf(text,
                           "],\"MorePages\":false,\"Ver\":%" G_GUINT64_FORMAT
                           ",\"NowMs\":%" G_GUINT64_FORMAT "}",
                           store_version, clock_ms());
    *count = keys->len;
    return text;
}

static char *
param(const char *target, const char *name)
{
    const char *query = strchr(target, '?');
    g_auto(GStrv) parts = g_strsplit(query ? query + 1 : "", "&", -1);
    size_t length = strlen(name);
    for (int i = 0; parts[i]; i++) {
        if (strncmp(parts[i], name, length) == 0 && parts[i][length] == '=') {
            return g_uri_unescape_string(parts[i] + length + 1, NULL);
        }
    }
    return NULL;
}

static void
feed(int fd, const char *target)
{
    g_autofree char *table = param(target, "Table");
    g_autofree char *after = param(target, "after");
    g_autofree char *wait = param(target, "WaitTimeoutMs");
    uint64_t from = after ? g_ascii_strtoull(after, NULL, 10) : 0;
    gint64 until =
        g_get_monotonic_time() +
        (wait ? (gint64)g_ascii_strtoull(wait, NULL, 10) : 0) * 1000;
    guint count = 0;
    g_mutex_lock(&store_lock);
    GString *text = format_rows(table, from, true, NULL, &count);
    while (count == 0 &&
           g_cond_wait_until(&store_changed, &store_lock, until)) {
        g_string_free(text, TRUE);
        text = format_rows(table, from, true, NULL, &count);
    }
    g_mutex_unlock(&store_lock);
    reply(fd, 200, "Content-Type: application/json\r\n", text->str, text->len);
    g_string_free(text, TRUE);
}

static char *replace_peers(const char *base64);

static void
transact(int fd, const char *body)
{
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!json_parser_load_from_data(parser, body, -1, NULL)) {
        reply(fd, 400, "", "{}", 2);
        return;
    }
    JsonObject *root = json_node_get_object(json_parser_get_root(parser));
    JsonArray *needs = json_object_get_array_member(root, "Precondition");
    JsonArray *puts = json_object_get_array_member(root, "Upserts");
    JsonArray *drops = json_object_get_array_member(root, "Remove");
    g_mutex_lock(&store_lock);
    bool holds = true;
    GString *rows = g_string_new("{\"Rows\":[");
    for (guint i = 0; needs && i < json_array_get_length(needs); i++) {
        JsonObject *need = json_array_get_object_element(needs, i);
        const char *table = json_object_get_string_member(need, "Table");
        const char *name = json_object_get_string_member(need, "Key");
        g_autofree char *key = g_strdup_printf("%s/%s", table, name);
        const row *r = tables ? g_hash_table_lookup(tables, key) : NULL;
        uint64_t version = r && r->value ? r->version : 0;
        holds = holds &&
                version == (uint64_t)json_object_get_int_member(need, "Ver");
        if (version) {
            g_string_append_printf(
                rows,
                "%s{\"Table\":\"%s\",\"part\":\"\",\"Key\":\"%s\",\"Value\":"
                "\"%s\",\"Ver\":%" G_GUINT64_FORMAT "}",
                rows->str[rows->len - 1] == '[' ? "" : ",", table, name,
                r->value, version);
        }
    }
    if (holds) {
        store_version++;
        for (guint i = 0; puts && i < json_array_get_length(puts); i++) {
            JsonObject *put = json_array_get_object_element(puts, i);
            put_locked(
                json_object_get_string_member(put, "Table"),
                json_object_get_string_member(put, "Key"),
                replace_peers(json_object_get_string_member(put, "Value")));
        }
        for (guint i = 0; drops && i < json_array_get_length(drops); i++) {
            JsonObject *drop = json_array_get_object_element(drops, i);
            put_locked(json_object_get_string_member(drop, "Table"),
                       json_object_get_string_member(drop, "Key"), NULL);
        }
        g_cond_broadcast(&store_changed);
    }
    g_string_append_printf(rows,
                           "],\"Ver\":%" G_GUINT64_FORMAT
                           ",\"NowMs\":%" G_GUINT64_FORMAT "}",
                           store_version, clock_ms());
    g_mutex_unlock(&store_lock);
    reply(fd, holds ? 200 : 412, "Content-Type: application/json\r\n",
          rows->str, rows->len);
    g_string_free(rows, TRUE);
}

/* Datagrams between instances pass through a relay of each receiver, so that a
   machine can be cut off: the address that an instance writes into its row is
   replaced by that of its relay, which is as long. */
typedef struct relay {
    int fd;
    int port;      /* of the relay */
    int peer_port; /* of its instance */
    volatile int *cut;
} relay;
static GPtrArray *relays;
static GMutex relay_lock;

static char *
replace_peers(const char *base64)
{
    gsize count = 0;
    guchar *bytes = g_base64_decode(base64, &count);
    g_mutex_lock(&relay_lock);
    for (guint i = 0; relays && i < relays->len; i++) {
        const relay *r = relays->pdata[i];
        char from[32];
        char to[32];
        g_snprintf(from, sizeof(from), "127.0.0.1:%d", r->peer_port);
        g_snprintf(to, sizeof(to), "127.0.0.1:%d", r->port);
        guchar *at = memmem(bytes, count, from, strlen(from));
        if (at) {
            memcpy(at, to, strlen(to));
        }
    }
    g_mutex_unlock(&relay_lock);
    char *text = g_base64_encode(bytes, count);
    g_free(bytes);
    return text;
}

static bool
is_cut(int peer_port)
{
    bool cut = false;
    g_mutex_lock(&relay_lock);
    for (guint i = 0; i < relays->len; i++) {
        const relay *r = relays->pdata[i];
        cut = cut || (r->peer_port == peer_port && *r->cut);
    }
    g_mutex_unlock(&relay_lock);
    return cut;
}

static void *
run_relay(void *data)
{
    relay *r = data;
    static __thread char buffer[65536];
    for (;;) {
        struct sockaddr_in from;
        socklen_t size = sizeof(from);
        ssize_t count = recvfrom(r->fd, buffer, sizeof(buffer), 0,
                                 (struct sockaddr *)&from, &size);
        if (count <= 0 || *r->cut || is_cut(ntohs(from.sin_port))) {
            continue;
        }
        struct sockaddr_in to = {.sin_family = AF_INET,
                                 .sin_port = htons((uint16_t)r->peer_port),
                                 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        sendto(r->fd, buffer, (size_t)count, 0, (struct sockaddr *)&to,
               sizeof(to));
    }
    return NULL;
}

static void
add_relay(int peer_port, volatile int *cut)
{
    relay *r = g_new0(relay, 1);
    r->peer_port = peer_port;
    r->cut = cut;
    r->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    do {
        r->port = g_random_int_range(12000, 32000);
        name.sin_port = htons((uint16_t)r->port);
    } while (bind(r->fd, (struct sockaddr *)&name, sizeof(name)));
    g_mutex_lock(&relay_lock);
    relays = relays ? relays : g_ptr_array_new();
    g_ptr_array_add(relays, r);
    g_mutex_unlock(&relay_lock);
    g_thread_unref(g_thread_new("relay", run_relay, r));
}

typedef struct store_conn {
    si_door *door;
    int fd;
} store_conn;

static void *
serve_store(void *data)
{
    store_conn *conn = data;
    reader r = {.fd = conn->fd, .bytes = g_byte_array_new()};
    char *head;
    while ((head = read_head(&r))) {
        GByteArray *body = read_body(&r, head);
        if (!body) {
            break;
        }
        g_auto(GStrv) words = g_strsplit(head, " ", 3);
        const char *target = words[1];
        if (conn->door->cut) {
            /* Nothing gets through; the caller gives up by itself. */
            while (conn->door->cut) {
                g_usleep(20000);
            }
            break;
        }
        if (conn->door->busy) {
            g_atomic_int_inc(&conn->door->refused);
            reply(conn->fd, 503, "", "{}", 2);
        }
        else if (g_str_has_prefix(target, "/rows-get")) {
            g_autofree char *table = param(target, "Table");
            g_autofree char *from = param(target, "From");
            guint count;
            g_mutex_lock(&store_lock);
            GString *text = format_rows(table, 0, false, from, &count);
            g_mutex_unlock(&store_lock);
            reply(conn->fd, 200, "Content-Type: application/json\r\n",
                  text->str, text->len);
            g_string_free(text, TRUE);
        }
        else if (g_str_has_prefix(target, "/rows-feed")) {
            feed(conn->fd, target);
        }
        else if (g_str_has_prefix(target, "/rows-tx")) {
            transact(conn->fd, (char *)body->data);
        }
        else {
            reply(conn->fd, 404, "", "{}", 2);
        }
        g_byte_array_unref(body);
        g_free(head);
    }
    close(conn->fd);
    return NULL;
}

static void *
accept_store(void *data)
{
    si_door *door = data;
    for (;;) {
        int fd = accept4(door->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        store_conn *conn = g_new0(store_conn, 1);
        conn->door = door;
        conn->fd = fd;
        g_thread_unref(g_thread_new("store", serve_store, conn));
    }
    return NULL;
}

si_door *
si_open_door(void)
{
    si_door *door = g_new0(si_door, 1);
    door->fd = listen_on(0, door->address);
    g_thread_unref(g_thread_new("door", accept_store, door));
    return door;
}

void
si_put_config(uint32_t version)
{
    /* Kinds, times and limits are those of the sheet of a small site. */
    g_autofree char *text = g_strdup_printf(
        "{\"Version\":%u,\"Routes\":["
        "{\"Name\":\"draft\",\"Host\":\"" SI_HOST "\",\"Prefix\":\"/draft/\","
        "\"Kind\":\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":1000,"
        "\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":2,\"Sticky\":true,"
        "\"Resumable\":true,\"GapTargetMs\":250},"
        "{\"Name\":\"review\",\"Host\":\"" SI_HOST
        "\",\"Prefix\":\"/review/\","
        "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":800,"
        "\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":1,\"Sticky\":true,"
        "\"Resumable\":false,\"GapTargetMs\":250},"
        "{\"Name\":\"book\",\"Host\":\"" SI_HOST "\",\"Prefix\":\"/book/\","
        "\"Kind\":\"unsafe\",\"TimeoutMs\":4000,\"TargetLatencyMs\":300,"
        "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1},"
        "{\"Name\":\"look\",\"Host\":\"" SI_HOST "\",\"Prefix\":\"/look/\","
        "\"Kind\":\"safe\",\"TimeoutMs\":4000,\"TargetLatencyMs\":300,"
        "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2}],"
        "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\","
        "\"MaxConnections\":360,\"InferenceEngine\":{\"Slots\":64,"
        "\"KvCapacityTokens\":167536,\"WeightsSize\":76400.0,"
        "\"MaxAdapters\":33,\"LoadsPerS\":4.4,\"Models\":[{\"Name\":\"base\","
        "\"WeightsSize\":72700.0,\"LoadTimeS\":0.6,\"Adapters\":3000,"
        "\"AdapterSizeMb\":66.0}]}},"
        "{\"Name\":\"desk\",\"HealthPath\":\"/healthz\","
        "\"MaxConnections\":360}],"
        "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
        "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}",
        version);
    si_put("op", "config", text);
}

/* -- backend servers ------------------------------------------------------ */

static GMutex server_lock;

#define BASE_LOAD_MS 600
#define ADAPTER_LOAD_MS 250

/* Writes the list of models: the base model and the adapters that it holds. */
static char *
format_models(const si_server *s)
{
    g_autoptr(GString) names = g_string_new(NULL);
    for (guint i = 0; i < s->adapters->len; i++) {
        g_string_append_printf(names, "%s\"%s@1\"", i ? "," : "",
                               (char *)s->adapters->pdata[i]);
    }
    return s->has_base ? g_strdup_printf("[{\"Name\":\"base\",\"Version\":1,"
                                         "\"Adapters\":[%s]}]",
                                         names->str)
                       : g_strdup("[]");
}

static void
write_entry(const si_server *s)
{
    g_mutex_lock(&server_lock);
    g_autofree char *list = format_models(s);
    g_mutex_unlock(&server_lock);
    g_autofree char *models =
        s->engine
            ? g_strdup_printf("\"Stage\":\"colocated\",\"Models\":%s,", list)
            : g_strdup("");
    g_autofree char *text = g_strdup_printf(
        "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"zone-a\","
        "\"Version\":\"%s\",\"Slots\":%u,\"State\":\"ready\","
        "\"ColdRemainingMs\":0,%s\"Sequence\":%" G_GUINT64_FORMAT
        ",\"born\":%" G_GUINT64_FORMAT "}",
        s->service, s->address, s->software, s->slots, models, s->sequence,
        s->born_ms);
    si_put("servers", s->id, text);
}

si_server *
si_make_server(const char *id, const char *service, bool engine,
               const char *software, const char *adapters)
{
    si_server *s = g_new0(si_server, 1);
    g_strlcpy(s->id, id, sizeof(s->id));
    s->service = service;
    s->engine = engine;
    s->software = software;
    s->fd = -1;
    s->slots = engine ? 64 : 32;
    s->events = 58;
    s->event_ms = 100;
    s->work_ms = 60;
    s->answer_bytes = 800;
    s->adapters = g_ptr_array_new();
    s->conns = g_ptr_array_new();
    s->loading = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->has_base = adapters != NULL;
    g_auto(GStrv) names = g_strsplit(adapters ? adapters : "", ",", -1);
    for (int i = 0; names[i] && *names[i]; i++) {
        g_ptr_array_add(s->adapters, g_strdup(names[i]));
    }
    return s;
}

static bool
has_adapter(const si_server *s, const char *name)
{
    for (guint i = 0; i < s->adapters->len; i++) {
        if (strcmp(s->adapters->pdata[i], name) == 0) {
            return true;
        }
    }
    return false;
}

typedef struct load {
    si_server *server;
    char *name; /* "": the base model */
} load;

static void *
finish_load(void *data)
{
    load *l = data;
    si_server *s = l->server;
    uint64_t born = s->born_ms;
    g_usleep((*l->name ? ADAPTER_LOAD_MS : BASE_LOAD_MS) * 1000);
    if (s->stopped || s->born_ms != born) {
        return NULL;
    }
    g_mutex_lock(&server_lock);
    g_hash_table_remove(s->loading, l->name);
    if (*l->name) {
        g_ptr_array_add(s->adapters, g_strdup(l->name));
    }
    else {
        s->has_base = true;
    }
    g_mutex_unlock(&server_lock);
    write_entry(s);
    return NULL;
}

static void
take_order(si_server *s, int fd, const char *body)
{
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!json_parser_load_from_data(parser, body, -1, NULL)) {
        reply(fd, 400, "", "", 0);
        return;
    }
    JsonObject *root = json_node_get_object(json_parser_get_root(parser));
    const char *name =
        json_object_get_string_member_with_default(root, "Adapter", "");
    const char *operation =
        json_object_get_string_member_with_default(root, "Operation", "");
    bool loads = strcmp(operation, "load") == 0;
    g_mutex_lock(&server_lock);
    bool held = *name ? has_adapter(s, name) : s->has_base;
    int status = 200;
    bool dropped = false;
    if (loads && g_hash_table_contains(s->loading, name)) {
        status = 202;
    }
    else if (loads != held) {
        if (json_object_has_member(root, "Precondition") &&
            (uint64_t)json_object_get_int_member(root, "Precondition") !=
                s->sequence) {
            status = 409;
        }
        else if (loads) {
            load *l = g_new0(load, 1);
            l->server = s;
            l->name = g_strdup(name);
            s->sequence++;
            g_hash_table_add(s->loading, g_strdup(name));
            g_thread_unref(g_thread_new("load", finish_load, l));
            status = 202;
        }
        else {
            s->sequence++;
            dropped = true;
            for (guint i = s->adapters->len; i > 0; i--) {
                if (strcmp(s->adapters->pdata[i - 1], name) == 0) {
                    g_ptr_array_remove_index(s->adapters, i - 1);
                }
            }
        }
    }
    g_mutex_unlock(&server_lock);
    si_note("server %s: order %s %s -> %d", s->id, operation,
            *name ? name : "base", status);
    if (dropped) {
        write_entry(s);
    }
    reply(fd, status, "", "", 0);
}

static void
give_report(si_server *s, int fd)
{
    g_mutex_lock(&server_lock);
    g_autofree char *models = format_models(s);
    g_autoptr(GString) coming = g_string_new(NULL);
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, s->loading);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (*(char *)name) {
            g_string_append_printf(coming, "%s\"base/%s@1\"",
                                   coming->len ? "," : "", (char *)name);
        }
    }
    g_autofree char *text = g_strdup_printf(
        "{\"Stage\":\"colocated\",\"Models\":%s,\"Coming\":[%s],\"Busy\":%s,"
        "\"Sequence\":%" G_GUINT64_FORMAT
        ",\"Queued\":0,\"Running\":%u,\"KvUsedTokens\":0,\"KvTotalTokens\":"
        "167536,\"Handles\":0,\"born\":%" G_GUINT64_FORMAT "}",
        models, coming->str,
        g_hash_table_contains(s->loading, "") ? "true" : "false", s->sequence,
        s->running, s->born_ms);
    g_mutex_unlock(&server_lock);
    reply(fd, 200, "Content-Type: application/json\r\n", text, strlen(text));
}

/* Writes the events after the one that the request names. Returns false if
   the connection is lost. */
static bool
write_stream(si_server *s, int fd, const char *headers, uint32_t after,
             const char *id)
{
    g_autofree char *head = g_strdup_printf(
        "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        headers);
    if (!send_all(fd, head, strlen(head))) {
        return false;
    }
    for (uint32_t at = after + 1; at <= s->events; at++) {
        g_usleep(s->event_ms * 1000);
        g_autofree char *event =
            g_strdup_printf("id: %u\ndata: %s %s\n\n", at, s->id, s->software);
        g_autofree char *chunk =
            g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);
        struct pollfd gone = {.fd = fd, .events = POLLRDHUP};
        if (s->stopped || poll(&gone, 1, 0) > 0 ||
            !send_all(fd, chunk, strlen(chunk))) {
            si_note("server %s (%s): %s ends after event %u, connection gone",
                    s->id, s->software, id, at - 1);
            return false;
        }
    }
    si_note("server %s (%s): %s whole, events %u to %u", s->id, s->software,
            id, after + 1, s->events);
    return send_all(fd, "0\r\n\r\n", 5);
}

static bool
run_request(si_server *s, int fd, const char *head, const char *target,
            const char *id)
{
    g_autofree char *model = header(head, "Model");
    g_autofree char *last = header(head, "Last-Event-Id");
    g_autofree char *resumes = header(head, "Resumes");
    const char *slash = model ? strchr(model, '/') : NULL;
    g_autofree char *headers = g_strdup_printf(
        "Request-Id: %s\r\nResponse-Seal: seal.%s.%s\r\nServer-Load: %u,0,%u,"
        "100\r\nKeep-Alive: timeout=5\r\n",
        id, s->id, id, s->running, s->slots);
    g_mutex_lock(&server_lock);
    bool present =
        !s->engine || (s->has_base && (!slash || has_adapter(s, slash + 1)));
    g_mutex_unlock(&server_lock);
    if (!present || s->running >= s->slots + 24) {
        g_autofree char *refusal =
            g_strdup_printf("Request-Id: %s\r\nNot-Executed: 1\r\n", id);
        si_note("server %s: %s not run, %s", s->id, id,
                present ? "full" : "model or adapter absent");
        return reply(fd, present ? 503 : 421, refusal, "", 0);
    }
    si_note("server %s (%s): %s %s begins, Last-Event-Id %s, Resumes %s",
            s->id, s->software, id, target, last ? last : "-",
            resumes ? resumes : "-");
    g_atomic_int_inc(&s->running);
    bool kept;
    if (s->engine) {
        kept =
            write_stream(s, fd, headers, last ? (uint32_t)atoi(last) : 0, id);
    }
    else {
        g_usleep(s->work_ms * 1000);
        g_autofree char *body = g_strnfill(s->answer_bytes, 'x');
        kept = reply(fd, 200, headers, body, s->answer_bytes);
        si_note("server %s: %s answered 200, %s", s->id, id,
                kept ? "sent" : "connection gone");
    }
    (void)g_atomic_int_dec_and_test((gint *)&s->running);
    return kept;
}

typedef struct server_conn {
    si_server *server;
    int fd;
    uint64_t born_ms;
} server_conn;

static void *
serve_server(void *data)
{
    server_conn *conn = data;
    si_server *s = conn->server;
    reader r = {.fd = conn->fd, .bytes = g_byte_array_new()};
    char *head;
    while ((head = read_head(&r))) {
        r.pace = s->reads_slowly;
        GByteArray *body = read_body(&r, head);
        r.pace = 0;
        if (!body) {
            break;
        }
        g_auto(GStrv) words = g_strsplit(head, " ", 3);
        g_autofree char *expected = header(head, "Expect-Instance");
        g_autofree char *id = header(head, "Request-Id");
        bool kept = true;
        if (expected && strcmp(expected, s->id) != 0) {
            kept = reply(conn->fd, 421, "", "", 0);
        }
        else if (strcmp(words[1], "/order") == 0) {
            take_order(s, conn->fd, (char *)body->data);
        }
        else if (strcmp(words[1], "/report") == 0) {
            give_report(s, conn->fd);
        }
        else if (strcmp(words[1], "/healthz") == 0) {
            reply(conn->fd, 200, "", "", 0);
        }
        else {
            kept = run_request(s, conn->fd, head, words[1], id ? id : "-");
        }
        g_byte_array_unref(body);
        g_free(head);
        if (!kept) {
            break;
        }
    }
    g_mutex_lock(&server_lock);
    if (g_ptr_array_remove_fast(s->conns, conn)) {
        close(conn->fd);
    }
    g_mutex_unlock(&server_lock);
    return NULL;
}

static void *
accept_server(void *data)
{
    si_server *s = data;
    int listener = s->fd;
    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            return NULL;
        }
        int small = 65536;
        if (s->reads_slowly) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        server_conn *conn = g_new0(server_conn, 1);
        conn->server = s;
        conn->fd = fd;
        g_mutex_lock(&server_lock);
        g_ptr_array_add(s->conns, conn);
        g_mutex_unlock(&server_lock);
        g_thread_unref(g_thread_new("server", serve_server, conn));
    }
}

static void *
beat(void *data)
{
    si_server *s = data;
    uint64_t born = s->born_ms;
    while (!s->stopped && s->born_ms == born) {
        g_usleep(HEARTBEAT_MS * 1000);
        /* The entry changes only when more than Sequence does. */
    }
    return NULL;
}

void
si_start_server(si_server *s)
{
    s->fd = listen_on(s->port, s->address);
    if (s->fd < 0) {
        si_end(2, "no port for server %s", s->id);
    }
    s->port = atoi(strchr(s->address, ':') + 1);
    s->stopped = false;
    s->born_ms = (uint64_t)g_get_real_time() / 1000;
    g_thread_unref(g_thread_new("accept", accept_server, s));
    g_thread_unref(g_thread_new("beat", beat, s));
    write_entry(s);
    si_note("server %s (%s, %s) starts at %s", s->id, s->service, s->software,
            s->address);
}

void
si_crash_server(si_server *s)
{
    s->stopped = true;
    shutdown(s->fd, SHUT_RDWR);
    close(s->fd);
    s->fd = -1;
    g_mutex_lock(&server_lock);
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    for (guint i = 0; i < s->conns->len; i++) {
        server_conn *conn = s->conns->pdata[i];
        setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(conn->fd);
    }
    g_ptr_array_set_size(s->conns, 0);
    g_mutex_unlock(&server_lock);
    si_note("server %s (%s) crashes", s->id, s->software);
}

/* -- instances ------------------------------------------------------------ */

static char *
fill(char *text, const char *name, const char *value)
{
    g_autofree char *mark = g_strdup_printf("{{%s}}", name);
    g_auto(GStrv) parts = g_strsplit(text, mark, -1);
    g_free(text);
    return g_strjoinv(value, parts);
}

void
si_run_instance(si_instance *instance)
{
    const char *keep = getenv("KEEP_LOG");
    g_autofree char *file =
        g_strdup_printf("%s/%s.ini", folder_tmp, instance->name);
    g_autofree char *log =
        keep ? g_strdup_printf("%s.%s", keep, instance->name)
             : g_strdup_printf("%s/%s.log", folder_tmp, instance->name);
    pid_t pid = fork();
    if (pid == 0) {
        /* It ends with this program, however that ends. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        execl("target/bin/lacewingd", "target/bin/lacewingd", "--settings",
              file, (char *)NULL);
        _exit(127);
    }
    instance->pid = pid;
    si_note("instance %s starts, process %d, %s", instance->name, (int)pid,
            instance->listen);
}

void
si_kill_instance(si_instance *instance)
{
    if (instance->pid > 0) {
        kill(instance->pid, SIGKILL);
        waitpid(instance->pid, NULL, 0);
        instance->pid = 0;
    }
}

si_instance *
si_start_instance(const char *name, uint32_t memory_mb)
{
    si_instance *instance = g_new0(si_instance, 1);
    g_strlcpy(instance->name, name, sizeof(instance->name));
    instance->door = si_open_door();
    g_snprintf(instance->listen, 32, "127.0.0.1:%d", free_port(SOCK_STREAM));
    g_snprintf(instance->ready, 32, "127.0.0.1:%d", free_port(SOCK_STREAM));
    int peer = free_port(SOCK_DGRAM);
    add_relay(peer, &instance->door->cut);
    g_autofree char *ports = g_strdup_printf("%d,%d", peer, peer + 15);
    g_autofree char *memory = g_strdup_printf("%u", memory_mb);
    char *text = NULL;
    if (!g_file_get_contents("platform/instance.ini.template", &text, NULL,
                             NULL)) {
        si_end(2, "no template; run it in the repository");
    }
    /* The bounds are those of the sheet of a small site. */
    const char *fields[][2] = {{"NodeName", name},
                               {"Zone", "zone-a"},
                               {"Listen.Front", instance->listen},
                               {"Listen.Ready", instance->ready},
                               {"Ip", "127.0.0.1"},
                               {"InternalPorts", ports},
                               {"Platform.Address", instance->door->address},
                               {"Bounds.GracePeriodS", "8"},
                               {"Bounds.ConfigApplyMs", "2000"},
                               {"Bounds.DrainTimeoutMs", "2000"},
                               {"Bounds.LeaseTtlMs", "3000"},
                               {"Bounds.version_ms", "5000"},
                               {"Bounds.RetryBudgetRatio", "0.2"},
                               {"Bounds.BudgetWindowS", "10"},
                               {"Bounds.BudgetSlack", "52"},
                               {"Limits.MemoryMb", memory},
                               {"Limits.MaxFds", "4200"},
                               {"Limits.LinkMbps", "1000.0"}};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        text = fill(text, fields[i][0], fields[i][1]);
    }
    g_autofree char *file = g_strdup_printf("%s/%s.ini", folder_tmp, name);
    g_file_set_contents(file, text, -1, NULL);
    g_free(text);
    g_ptr_array_add(instances, instance);
    si_run_instance(instance);
    return instance;
}

bool
si_await_ready(si_instance *instance)
{
    for (int i = 0; i < 150; i++) {
        si_call call =
            si_do(instance->ready, "GET", "/readyz", "", NULL, 0, 1000, 0);
        if (call.status == 200) {
            si_note("instance %s is ready", instance->name);
            return true;
        }
        g_usleep(100000);
    }
    return false;
}

uint64_t
si_query_memory_kb(const si_instance *instance)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/status", instance->pid);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    const char *line = strstr(text, "VmRSS:");
    return line ? g_ascii_strtoull(line + 6, NULL, 10) : 0;
}

bool
si_query_alive(si_instance *instance)
{
    int status = 0;
    if (instance->pid <= 0) {
        return false;
    }
    if (waitpid(instance->pid, &status, WNOHANG) == instance->pid) {
        si_note("instance %s ended: %s %d", instance->name,
                WIFSIGNALED(status) ? "signal" : "status",
                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        instance->pid = 0;
        return false;
    }
    return true;
}

/* -- callers -------------------------------------------------------------- */

static gint call_number;

static void
read_events(si_call *call, GString *text)
{
    char *end;
    while ((end = strstr(text->str, "\n\n"))) {
        size_t count = (size_t)(end - text->str) + 2;
        g_autofree char *event = g_strndup(text->str, count);
        si_event e = {0};
        const char *id = strstr(event, "id: ");
        const char *payload = strstr(event, "data: ");
        if (id && payload && sscanf(id, "id: %u", &e.id) == 1 &&
            sscanf(payload, "data: %31s %15s", e.server, e.software) == 2) {
            g_array_append_val(call->events, e);
        }
        g_string_erase(text, 0, (gssize)count);
    }
}

/* Reads a body in chunks. Returns true if it came whole. */
static bool
read_chunks(reader *r, si_call *call)
{
    g_autoptr(GString) text = g_string_new(NULL);
    for (;;) {
        const char *end;
        while (!(end = r->bytes->len ? g_strstr_len((char *)r->bytes->data,
                                                    r->bytes->len, "\r\n")
                                     : NULL)) {
            if (!read_more(r)) {
                return false;
            }
        }
        size_t size =
            (size_t)g_ascii_strtoull((char *)r->bytes->data, NULL, 16);
        size_t line = (size_t)(end - (char *)r->bytes->data) + 2;
        while (r->bytes->len < line + size + 2) {
            if (!read_more(r)) {
                return false;
            }
        }
        g_string_append_len(text, (char *)r->bytes->data + line, (gssize)size);
        call->bytes += size;
        g_byte_array_remove_range(r->bytes, 0, (guint)(line + size + 2));
        read_events(call, text);
        if (size == 0) {
            return true;
        }
    }
}

si_call
si_do(const char *address, const char *method, const char *path,
      const char *headers, const char *body, size_t body_count,
      uint32_t gap_ms, uint32_t pace)
{
    si_call call = {.events = g_array_new(FALSE, FALSE, sizeof(si_event))};
    g_snprintf(call.id, sizeof(call.id), "r%08x%04d", g_random_int(),
               g_atomic_int_add(&call_number, 1) % 10000);
    int fd = connect_to(address);
    if (fd < 0) {
        return call;
    }
    if (pace) {
        int small = 65536;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    }
    g_autofree char *head = g_strdup_printf("%s %s HTTP/1.1\r\nHost: " SI_HOST
                                            "\r\nRequest-Id: %s\r\n%s",
                                            method, path, call.id, headers);
    g_autofree char *length =
        body ? g_strdup_printf("Content-Length: %zu\r\n\r\n", body_count)
             : g_strdup("\r\n");
    reader r = {.fd = fd,
                .bytes = g_byte_array_new(),
                .gap_ms = (int)gap_ms,
                .pace = (int)pace};
    if (send_all(fd, head, strlen(head)) &&
        send_all(fd, length, strlen(length)) &&
        (!body || send_all(fd, body, body_count))) {
        char *answer = read_head(&r);
        while (answer && atoi(answer + 9) < 200) {
            answer = read_head(&r);
        }
        if (answer) {
            call.status = atoi(answer + 9);
            g_autofree char *after = header(answer, "Retry-After");
            g_autofree char *coding = header(answer, "Transfer-Encoding");
            g_autofree char *count = header(answer, "Content-Length");
            g_autofree char *seal = header(answer, "Response-Seal");
            g_strlcpy(call.seal, seal ? seal : "", sizeof(call.seal));
            call.retry_after_s = after ? g_ascii_strtod(after, NULL) : 0;
            if (coding) {
                call.complete = read_chunks(&r, &call);
            }
            else {
                uint64_t want = count ? g_ascii_strtoull(count, NULL, 10) : 0;
                while (call.bytes + r.bytes->len < want) {
                    call.bytes += r.bytes->len;
                    g_byte_array_set_size(r.bytes, 0);
                    if (!read_more(&r)) {
                        break;
                    }
                }
                call.bytes += r.bytes->len;
                call.complete = call.bytes >= want;
            }
        }
    }
    call.silent = r.silent;
    close(fd);
    g_byte_array_unref(r.bytes);
    return call;
}

static GPtrArray *threads;

void
si_run_thread(GThreadFunc call, void *data)
{
    threads = threads ? threads : g_ptr_array_new();
    g_ptr_array_add(threads, g_thread_new("caller", call, data));
}

void
si_await_threads(void)
{
    for (guint i = 0; threads && i < threads->len; i++) {
        g_thread_join(threads->pdata[i]);
    }
    threads = NULL;
}
