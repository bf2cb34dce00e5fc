/*
 * stream_origins.h: which software version began each stream (prefix so_).
 *
 * What servers of two software versions write does not fit together, so a
 * stream may go on only at the version that began it. A caller that lost its
 * connection takes its stream up at any instance, and names the attempt that
 * brought its first event. so_origins keeps the version of each such attempt
 * for as long as its caller may come back, and whether a service is mixed: has
 * had more than one version for so long.
 *
 *     so_note_server(origins, service, software, now_us);  for each listed one
 *     so_end_list(origins, now_us);
 *     so_note_stream(origins, attempt, software, until_us); at its first event
 *     so_origin origin = so_query(origins, attempt, now_us);
 *     if (!origin.known && so_query_mixed(origins, service, now_us)) { ... }
 *
 * As all instances may end at once, each writes its streams to a row of the
 * store while a service is mixed; so_write_row() and so_read_row() convert
 * them. Times in rows are those of the store's clock.
 *
 * No stream begins at a further version of a service before the row of its
 * instance is stored and says that the service is mixed: until then streams
 * begin at the base, the only version that there was before. So an instance
 * that reads the rows after a caller has come back with a stream, and finds no
 * row that says so, knows that the stream began at the base, however old its
 * own list of servers is.
 *
 *     uint64_t software = so_query_begin_software(origins, service);
 *     so_note_row_sent(origins, now_us);  with each write of the row
 *     so_note_row_stored(origins);        when the store has acknowledged it
 *
 * So a stream that is in no row began at the base, unless the instance that
 * began it has not written it yet. Instances report to each other up to which
 * time their rows are complete.
 *
 *     so_note_progress(origins, &progress);    a report of another instance
 *     so_begin_read(origins);
 *     so_read_row(origins, writer, row, now_us, store_now_ms);  for each row
 *     so_end_read(origins);
 *     so_query_unlisted(origins, service, asked_store_ms, now_us);
 *
 * Services, software versions, attempts and writers of rows are hashes, see
 * hash.h; 0 is none.
 *
 * Limits: a row holds the SO_MAX_ROW_STREAMS streams that end last; no sockets
 * and no clock.
 */
#ifndef LACEWING_STREAM_ORIGINS_H
#define LACEWING_STREAM_ORIGINS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A stream takes up to 15 bytes of a row, and a row has at most 64 KiB. */
#define SO_MAX_ROW_STREAMS 4000
/* Stands for a software version that no server has. */
#define SO_NO_SOFTWARE UINT64_MAX

typedef struct so_origins so_origins;

typedef struct so_desc {
    uint64_t memory_us;   /* longest time from a stream's first event to its
                             caller's last return; default 30 s */
    uint64_t writer;      /* this instance */
    uint64_t incarnation; /* of this process */
} so_desc;

/* Up to when the row of another instance is complete. */
typedef struct so_progress {
    uint64_t writer;
    uint64_t incarnation;
    /* All streams that began there before this time of the store's clock, at
       other versions than the base, are in its row; 0: that cannot be told. */
    uint64_t written_ms;
} so_progress;

typedef struct so_origin {
    bool known;
    uint64_t software; /* 0: several versions are known for it */
} so_origin;

so_origins *so_create(const so_desc *desc);
void so_destroy(so_origins *origins);

/* The list has a server of this software version; call it again while it has.
 */
void so_note_server(so_origins *origins, uint64_t service, uint64_t software,
                    uint64_t now_us);
/* All listed servers were noted, and the rows of the store were read since
   this process began. */
void so_end_list(so_origins *origins, uint64_t now_us);
/* A server of this version has brought the first event of a stream, or one of
   a stream that it continues. The caller may come back until until_us. */
void so_note_stream(so_origins *origins, uint64_t attempt, uint64_t software,
                    uint64_t until_us);
/* The stream ended; its caller may still come back until until_us. */
void so_shorten(so_origins *origins, uint64_t attempt, uint64_t until_us);
/* Removes streams whose callers do not come back any more. */
void so_expire(so_origins *origins, uint64_t now_us);

/* The row as it is now is sent to the store, or, where no service is mixed,
   its removal. */
void so_note_row_sent(so_origins *origins, uint64_t now_us);
/* The store has acknowledged the row that was sent last. */
void so_note_row_stored(so_origins *origins);
/* The store was restored from a copy, which may lack rows. */
void so_note_restored(so_origins *origins, uint64_t now_us);

/* Returns the row with the streams that this instance noted. */
GBytes *so_write_row(const so_origins *origins, uint64_t now_us,
                     uint64_t store_now_ms);
/* Enclose a read of all rows. Reports that came before it began apply to it.
 */
void so_begin_read(so_origins *origins);
void so_end_read(so_origins *origins);
/* Adds what a row says. Returns false if it cannot be read. */
bool so_read_row(so_origins *origins, uint64_t writer, GBytes *row,
                 uint64_t now_us, uint64_t store_now_ms);
void so_note_progress(so_origins *origins, const so_progress *progress);

/* queries */
so_origin so_query(const so_origins *origins, uint64_t attempt,
                   uint64_t now_us);
/* Returns whether servers of more than one version may have begun the streams
   of the service that callers come back with. */
bool so_query_mixed(const so_origins *origins, uint64_t service,
                    uint64_t now_us);
bool so_query_any_mixed(const so_origins *origins, uint64_t now_us);
/* Returns the base of a service; 0: it is not known. */
uint64_t so_query_base(const so_origins *origins, uint64_t service);
/* Returns the only version at which a stream of the service may begin now: the
   base, or SO_NO_SOFTWARE if that is not known; 0: at any version. */
uint64_t so_query_begin_software(const so_origins *origins, uint64_t service);
/* Returns the version of a stream of a mixed service that is in no row, whose
   caller came back before asked_store_ms; 0: that cannot be told. */
uint64_t so_query_unlisted(const so_origins *origins, uint64_t service,
                           uint64_t asked_store_ms, uint64_t now_us);
/* Returns whether rows may be missing, as the store was restored lately. */
bool so_query_restored(const so_origins *origins, uint64_t now_us);
/* Grows whenever the row of this instance changes. */
uint64_t so_query_revision(const so_origins *origins);
uint32_t so_query_count(const so_origins *origins);
/* Grows whenever a stream begins here at another version than the base. */
uint64_t so_query_further_revision(const so_origins *origins);
/* Returns whether the row that was sent last has all streams of this instance.
 */
bool so_query_row_complete(const so_origins *origins);
/* Returns whether nothing in a row is needed any more. */
bool so_query_row_expired(GBytes *row, uint64_t store_now_ms);

#endif
