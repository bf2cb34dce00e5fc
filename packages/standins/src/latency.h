/*
 * latency.h: a set of latencies and its table (prefix lt_).
 *
 *     lt_set *set = lt_create();
 *     lt_add(set, 12.5);
 *     double p99_ms = lt_query_ms(set, 0.99);
 *     lt_print(set, "short drafts");
 *
 * Limits: keeps every sample.
 */
#ifndef LACEWING_STANDIN_LATENCY_H
#define LACEWING_STANDIN_LATENCY_H

#include <stdint.h>

typedef struct lt_set lt_set;

lt_set *lt_create(void);
void lt_destroy(lt_set *set);
void lt_add(lt_set *set, double ms);
/* Writes one row of percentiles to standard output; nothing when empty. */
void lt_print(lt_set *set, const char *name);
/* Writes a histogram with logarithmic bins to standard output. */
void lt_print_histogram(const lt_set *set);

/* queries */
uint32_t lt_query_count(const lt_set *set);
/* Quantile 0 to 1; 0 when empty. */
double lt_query_ms(lt_set *set, double quantile);

#endif
