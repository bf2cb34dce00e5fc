#include "stream_origins.h"

#include "exchange.pb-c.h"

#define _SO_MEMORY_US 30000000
/* A row whose times are farther in the future than this was written by a clock
   that ran differently: they are cut. */
#define _SO_MAX_LEFT_MS 60000
/* After a restoration of the store all instances have written their rows again
   within this time: they learn of it from their next call, about once a
   second. */
#define _SO_RESTORED_US 3000000

typedef struct _so_stream {
    uint64_t software; /* 0: several versions */
    uint64_t until_us;
    bool own; /* this instance has to write it */
} _so_stream;

typedef struct _so_software {
    uint64_t hash;
    uint64_t seen_us; /* when the list last had a server of it */
} _so_software;

typedef struct _so_service {
    GArray *software;         /* _so_software */
    uint64_t stored_until_us; /* mixed until then, by rows of the store */
    uint64_t base;            /* see so_query_base() */
    bool sent;                /* the row that was sent last says it is mixed */
    bool announced;           /* so does a row that is stored */
    /* Callers may come back until then with streams of an earlier process of
       this instance that are in no row; 0: they do not. */
    uint64_t gap_until_us;
} _so_service;

/* A row that was read and says that the service is mixed. */
typedef struct _so_mixed_row {
    uint64_t service;
    uint64_t writer;
    uint64_t incarnation;
    uint64_t base;
    uint64_t gap_until_us;
} _so_mixed_row;

typedef struct _so_peer {
    so_progress latest;
    so_progress at_read; /* the latest when the last read began */
} _so_peer;

struct so_origins {
    uint64_t memory_us;
    uint64_t writer;
    uint64_t incarnation;
    GHashTable *streams;  /* attempt (uint64_t) -> _so_stream */
    GHashTable *services; /* service (uint64_t) -> _so_service */
    GHashTable *peers;    /* writer (uint64_t) -> _so_peer */
    GArray *mixed_rows;   /* _so_mixed_row, of the last whole read */
    GArray *rows_in_read; /* _so_mixed_row, of the read under way */
    uint64_t revision;
    uint64_t further_revision;
    bool row_complete;
    uint64_t restored_us; /* when the store was last restored; 0: never */
};

static void
_so_free_service(void *data)
{
    g_array_unref(((_so_service *)data)->software);
    g_free(data);
}

static uint64_t *
_so_copy_key(uint64_t key)
{
    uint64_t *copy = g_new(uint64_t, 1);
    *copy = key;
    return copy;
}

so_origins *
so_create(const so_desc *desc)
{
    so_origins *origins = g_new0(so_origins, 1);
    origins->memory_us = desc->memory_us ? desc->memory_us : _SO_MEMORY_US;
    origins->streams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    origins->services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              g_free, _so_free_service);
    origins->writer = desc->writer;
    origins->incarnation = desc->incarnation;
    origins->peers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    origins->mixed_rows = g_array_new(FALSE, FALSE, sizeof(_so_mixed_row));
    origins->rows_in_read = g_array_new(FALSE, FALSE, sizeof(_so_mixed_row));
    return origins;
}

void
so_destroy(so_origins *origins)
{
    if (origins) {
        g_hash_table_unref(origins->streams);
        g_hash_table_unref(origins->services);
        g_hash_table_unref(origins->peers);
        g_array_unref(origins->mixed_rows);
        g_array_unref(origins->rows_in_read);
        g_free(origins);
    }
}

/* -- services ------------------------------------------------------------- */

static _so_service *
_so_get_service(so_origins *origins, uint64_t hash)
{
    _so_service *service = g_hash_table_lookup(origins->services, &hash);
    if (!service) {
        service = g_new0(_so_service, 1);
        service->software = g_array_new(FALSE, TRUE, sizeof(_so_software));
        g_hash_table_insert(origins->services, _so_copy_key(hash), service);
    }
    return service;
}

void
so_note_server(so_origins *origins, uint64_t service_hash, uint64_t software,
               uint64_t now_us)
{
    _so_service *service = _so_get_service(origins, service_hash);
    for (guint i = 0; i < service->software->len; i++) {
        _so_software *known =
            &g_array_index(service->software, _so_software, i);
        if (known->hash == software) {
            known->seen_us = MAX(known->seen_us, now_us);
            return;
        }
    }
    _so_software added = {.hash = software, .seen_us = now_us};
    g_array_append_val(service->software, added);
    origins->revision++;
}

/* Returns until when it matters that the service has had several versions: a
   stream that began at the version seen last but one may come back. */
static uint64_t
_so_mixed_until_us(const so_origins *origins, const _so_service *service)
{
    uint64_t last_us = 0;
    uint64_t second_us = 0;
    for (guint i = 0; i < service->software->len; i++) {
        uint64_t seen_us =
            g_array_index(service->software, _so_software, i).seen_us;
        second_us = MAX(second_us, MIN(seen_us, last_us));
        last_us = MAX(last_us, seen_us);
    }
    uint64_t until_us = second_us ? second_us + origins->memory_us : 0;
    return MAX(until_us, service->stored_until_us);
}

/* Returns the version that the list had last; 0: it had none within the
   memory. */
static uint64_t
_so_latest_software(const so_origins *origins, const _so_service *service,
                    uint64_t now_us)
{
    _so_software latest = {0};
    for (guint i = 0; i < service->software->len; i++) {
        _so_software at = g_array_index(service->software, _so_software, i);
        latest = at.seen_us >= latest.seen_us ? at : latest;
    }
    return now_us < latest.seen_us + origins->memory_us ? latest.hash : 0;
}

void
so_end_list(so_origins *origins, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _so_service *service = value;
        if (now_us >= _so_mixed_until_us(origins, service)) {
            service->base = _so_latest_software(origins, service, now_us);
        }
    }
}

uint64_t
so_query_base(const so_origins *origins, uint64_t service_hash)
{
    const _so_service *service =
        g_hash_table_lookup(origins->services, &service_hash);
    return service ? service->base : 0;
}

uint64_t
so_query_begin_software(const so_origins *origins, uint64_t service_hash)
{
    const _so_service *service =
        g_hash_table_lookup(origins->services, &service_hash);
    if (service && service->announced) {
        return 0;
    }
    return service && service->base ? service->base : SO_NO_SOFTWARE;
}

bool
so_query_mixed(const so_origins *origins, uint64_t service_hash,
               uint64_t now_us)
{
    const _so_service *service =
        g_hash_table_lookup(origins->services, &service_hash);
    return service && now_us < _so_mixed_until_us(origins, service);
}

bool
so_query_any_mixed(const so_origins *origins, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us < _so_mixed_until_us(origins, value)) {
            return true;
        }
    }
    return false;
}

/* -- streams that are in no row ------------------------------------------- */

void
so_note_progress(so_origins *origins, const so_progress *progress)
{
    _so_peer *state = g_hash_table_lookup(origins->peers, &progress->writer);
    if (!state) {
        state = g_new0(_so_peer, 1);
        g_hash_table_insert(origins->peers, _so_copy_key(progress->writer),
                            state);
    }
    state->latest = *progress;
}

void
so_begin_read(so_origins *origins)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _so_peer *state = value;
        state->at_read = state->latest;
    }
    g_array_set_size(origins->rows_in_read, 0);
}

void
so_end_read(so_origins *origins)
{
    GArray *read = origins->rows_in_read;
    origins->rows_in_read = origins->mixed_rows;
    origins->mixed_rows = read;
}

/* Returns whether the row has all streams that its writer began before
   asked_store_ms at other versions than the base. */
static bool
_so_is_written(const so_origins *origins, const _so_mixed_row *row,
               uint64_t asked_store_ms, uint64_t now_us)
{
    const _so_peer *state = g_hash_table_lookup(origins->peers, &row->writer);
    return now_us >= row->gap_until_us && state &&
           state->at_read.incarnation == row->incarnation &&
           state->at_read.written_ms > asked_store_ms;
}

uint64_t
so_query_unlisted(const so_origins *origins, uint64_t service_hash,
                  uint64_t asked_store_ms, uint64_t now_us)
{
    const _so_service *service =
        g_hash_table_lookup(origins->services, &service_hash);
    /* Rows of instances that are gone may be missing after a restoration. */
    bool restored = origins->restored_us &&
                    now_us < origins->restored_us + origins->memory_us;
    if (!service || now_us < service->gap_until_us || restored) {
        return 0;
    }
    uint64_t base = service->base;
    for (guint i = 0; i < origins->mixed_rows->len; i++) {
        const _so_mixed_row *row =
            &g_array_index(origins->mixed_rows, _so_mixed_row, i);
        if (row->service != service_hash) {
            continue;
        }
        if (base && row->base && row->base != base) {
            return 0;
        }
        base = base ? base : row->base;
        if (row->writer != origins->writer &&
            !_so_is_written(origins, row, asked_store_ms, now_us)) {
            return 0;
        }
    }
    return base;
}

/* -- streams -------------------------------------------------------------- */

/* Returns whether the version is the base of a service. */
static bool
_so_is_base(const so_origins *origins, uint64_t software)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const _so_service *)value)->base == software) {
            return true;
        }
    }
    return false;
}

static void
_so_put_stream(so_origins *origins, uint64_t attempt, uint64_t software,
               uint64_t until_us, bool own)
{
    _so_stream *stream = g_hash_table_lookup(origins->streams, &attempt);
    if (!stream) {
        stream = g_new0(_so_stream, 1);
        stream->software = software;
        g_hash_table_insert(origins->streams, _so_copy_key(attempt), stream);
    }
    else if (stream->software != software) {
        stream->software = 0;
    }
    stream->until_us = MAX(stream->until_us, until_us);
    stream->own = stream->own || own;
    origins->revision += own;
    origins->further_revision += own && !_so_is_base(origins, software);
}

void
so_note_stream(so_origins *origins, uint64_t attempt, uint64_t software,
               uint64_t until_us)
{
    _so_put_stream(origins, attempt, software, until_us, true);
}

void
so_shorten(so_origins *origins, uint64_t attempt, uint64_t until_us)
{
    _so_stream *stream = g_hash_table_lookup(origins->streams, &attempt);
    if (stream) {
        stream->until_us = MIN(stream->until_us, until_us);
    }
}

static gboolean
_so_is_over(gpointer key, gpointer value, gpointer user_data)
{
    (void)key;
    return ((const _so_stream *)value)->until_us <= *(uint64_t *)user_data;
}

void
so_expire(so_origins *origins, uint64_t now_us)
{
    g_hash_table_foreach_remove(origins->streams, _so_is_over, &now_us);
}

so_origin
so_query(const so_origins *origins, uint64_t attempt, uint64_t now_us)
{
    const _so_stream *stream = g_hash_table_lookup(origins->streams, &attempt);
    bool known = stream && now_us < stream->until_us;
    return (so_origin){.known = known,
                       .software = known ? stream->software : 0};
}

uint64_t
so_query_revision(const so_origins *origins)
{
    return origins->revision;
}

uint64_t
so_query_further_revision(const so_origins *origins)
{
    return origins->further_revision;
}

bool
so_query_row_complete(const so_origins *origins)
{
    return origins->row_complete;
}

uint32_t
so_query_count(const so_origins *origins)
{
    return g_hash_table_size(origins->streams);
}

/* -- rows ----------------------------------------------------------------- */

void
so_note_row_sent(so_origins *origins, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t own = 0;
    g_hash_table_iter_init(&iter, origins->streams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        own += ((const _so_stream *)value)->own;
    }
    origins->row_complete = own <= SO_MAX_ROW_STREAMS;
    g_hash_table_iter_init(&iter, origins->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _so_service *service = value;
        service->sent = now_us < _so_mixed_until_us(origins, service);
        service->announced = service->announced && service->sent;
    }
}

void
so_note_row_stored(so_origins *origins)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _so_service *service = value;
        service->announced = service->announced || service->sent;
    }
}

void
so_note_restored(so_origins *origins, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _so_service *service = value;
        service->sent = false;
        service->announced = false;
    }
    origins->restored_us = now_us;
    origins->revision++;
}

bool
so_query_restored(const so_origins *origins, uint64_t now_us)
{
    return origins->restored_us &&
           now_us < origins->restored_us + _SO_RESTORED_US;
}

typedef struct _so_entry {
    uint64_t attempt;
    const _so_stream *stream;
} _so_entry;

static gint
_so_compare_entries(gconstpointer a, gconstpointer b)
{
    uint64_t first = ((const _so_entry *)a)->stream->until_us;
    uint64_t second = ((const _so_entry *)b)->stream->until_us;
    return first > second ? -1 : first < second;
}

/* Returns the streams for the row, those that end last first. */
static GArray *
_so_collect_entries(const so_origins *origins, uint64_t now_us)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(_so_entry));
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->streams);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        _so_entry entry = {.attempt = *(uint64_t *)key, .stream = value};
        if (entry.stream->own && entry.stream->until_us > now_us) {
            g_array_append_val(entries, entry);
        }
    }
    g_array_sort(entries, _so_compare_entries);
    g_array_set_size(entries, MIN(entries->len, SO_MAX_ROW_STREAMS));
    return entries;
}

static uint32_t
_so_left_ms(uint64_t until_us, uint64_t now_us)
{
    uint64_t left_us = until_us > now_us ? until_us - now_us : 0;
    return (uint32_t)MIN(left_us / 1000, _SO_MAX_LEFT_MS);
}

static uint32_t
_so_index_of(GArray *hashes, uint64_t hash)
{
    for (guint i = 0; i < hashes->len; i++) {
        if (g_array_index(hashes, uint64_t, i) == hash) {
            return i;
        }
    }
    g_array_append_val(hashes, hash);
    return hashes->len - 1;
}

/* Returns the services that are mixed. */
static GPtrArray *
_so_collect_mixed(const so_origins *origins, uint64_t now_us)
{
    GPtrArray *mixed = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->services);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        uint32_t left_ms =
            _so_left_ms(_so_mixed_until_us(origins, value), now_us);
        if (left_ms) {
            Lacewing__Exchange__MixedService *service =
                g_new(Lacewing__Exchange__MixedService, 1);
            lacewing__exchange__mixed_service__init(service);
            service->service = *(uint64_t *)key;
            service->left_ms = left_ms;
            service->base_software = ((const _so_service *)value)->base;
            service->gap_ms = _so_left_ms(
                ((const _so_service *)value)->gap_until_us, now_us);
            g_ptr_array_add(mixed, service);
        }
    }
    return mixed;
}

GBytes *
so_write_row(const so_origins *origins, uint64_t now_us, uint64_t store_now_ms)
{
    g_autoptr(GArray) entries = _so_collect_entries(origins, now_us);
    g_autoptr(GPtrArray) mixed = _so_collect_mixed(origins, now_us);
    g_autoptr(GArray) software = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_autofree uint64_t *attempts = g_new(uint64_t, entries->len + 1);
    g_autofree uint32_t *software_at = g_new(uint32_t, entries->len + 1);
    g_autofree uint32_t *left_ms = g_new(uint32_t, entries->len + 1);
    for (guint i = 0; i < entries->len; i++) {
        const _so_entry *entry = &g_array_index(entries, _so_entry, i);
        attempts[i] = entry->attempt;
        software_at[i] = _so_index_of(software, entry->stream->software);
        left_ms[i] = _so_left_ms(entry->stream->until_us, now_us);
    }
    Lacewing__Exchange__StreamsRow row = LACEWING__EXCHANGE__STREAMS_ROW__INIT;
    row.written_ms = store_now_ms;
    row.incarnation = origins->incarnation;
    row.n_mixed = mixed->len;
    row.mixed = (Lacewing__Exchange__MixedService **)mixed->pdata;
    row.n_software = software->len;
    row.software = (uint64_t *)(void *)software->data;
    row.n_attempt = entries->len;
    row.attempt = attempts;
    row.n_software_at = entries->len;
    row.software_at = software_at;
    row.n_left_ms = entries->len;
    row.left_ms = left_ms;
    size_t size = lacewing__exchange__streams_row__get_packed_size(&row);
    uint8_t *bytes = g_malloc(size);
    lacewing__exchange__streams_row__pack(&row, bytes);
    return g_bytes_new_take(bytes, size);
}

/* Returns NULL if the row cannot be read; else the caller frees it. */
static Lacewing__Exchange__StreamsRow *
_so_unpack(GBytes *bytes)
{
    gsize size = 0;
    const uint8_t *data = g_bytes_get_data(bytes, &size);
    Lacewing__Exchange__StreamsRow *row =
        lacewing__exchange__streams_row__unpack(NULL, size, data);
    if (row && (row->n_software_at != row->n_attempt ||
                row->n_left_ms != row->n_attempt)) {
        lacewing__exchange__streams_row__free_unpacked(row, NULL);
        return NULL;
    }
    return row;
}

/* Returns what is left of a time in a row, now; 0: nothing. */
static uint64_t
_so_still_left_us(const Lacewing__Exchange__StreamsRow *row, uint32_t left_ms,
                  uint64_t store_now_ms)
{
    uint64_t until_ms = row->written_ms + MIN(left_ms, _SO_MAX_LEFT_MS);
    uint64_t still_ms = until_ms > store_now_ms ? until_ms - store_now_ms : 0;
    return MIN(still_ms, _SO_MAX_LEFT_MS) * 1000;
}

/* Applies what a row says of a service. */
static void
_so_read_mixed(so_origins *origins, const Lacewing__Exchange__StreamsRow *row,
               const Lacewing__Exchange__MixedService *mixed, uint64_t writer,
               uint64_t now_us, uint64_t store_now_ms)
{
    uint64_t left_us = _so_still_left_us(row, mixed->left_ms, store_now_ms);
    uint64_t gap_us = _so_still_left_us(row, mixed->gap_ms, store_now_ms);
    if (!left_us) {
        return;
    }
    _so_service *service = _so_get_service(origins, mixed->service);
    service->stored_until_us = MAX(service->stored_until_us, now_us + left_us);
    if (writer == origins->writer) {
        service->announced = true;
        /* An earlier process may have ended before it wrote its last streams.
         */
        gap_us = row->incarnation == origins->incarnation ? gap_us
                                                          : origins->memory_us;
        service->gap_until_us =
            MAX(service->gap_until_us, gap_us ? now_us + gap_us : 0);
    }
    _so_mixed_row added = {.service = mixed->service,
                           .writer = writer,
                           .incarnation = row->incarnation,
                           .base = mixed->base_software,
                           .gap_until_us = gap_us ? now_us + gap_us : 0};
    g_array_append_val(origins->rows_in_read, added);
}

bool
so_read_row(so_origins *origins, uint64_t writer, GBytes *bytes,
            uint64_t now_us, uint64_t store_now_ms)
{
    Lacewing__Exchange__StreamsRow *row = _so_unpack(bytes);
    if (!row) {
        return false;
    }
    for (size_t i = 0; i < row->n_mixed; i++) {
        _so_read_mixed(origins, row, row->mixed[i], writer, now_us,
                       store_now_ms);
    }
    for (size_t i = 0; i < row->n_attempt; i++) {
        uint64_t left_us =
            _so_still_left_us(row, row->left_ms[i], store_now_ms);
        if (left_us && row->software_at[i] < row->n_software) {
            _so_put_stream(origins, row->attempt[i],
                           row->software[row->software_at[i]],
                           now_us + left_us, writer == origins->writer);
        }
    }
    lacewing__exchange__streams_row__free_unpacked(row, NULL);
    return true;
}

bool
so_query_row_expired(GBytes *bytes, uint64_t store_now_ms)
{
    Lacewing__Exchange__StreamsRow *row = _so_unpack(bytes);
    bool expired = !row || row->written_ms + _SO_MAX_LEFT_MS < store_now_ms;
    if (row) {
        lacewing__exchange__streams_row__free_unpacked(row, NULL);
    }
    return expired;
}
