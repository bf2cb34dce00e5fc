/*
 * latency.h: latency samples, their percentiles and histogram (prefix lt_).
 *
 *     lt_set *set = lt_create();
 *     lt_add(set, 12.5); // milliseconds
 *     double p99_ms = lt_query_ms(set, 0.99);
 *     lt_print(set, "short drafts");
 *
 * Limits: memory grows by 8 bytes with each sample.
 */
#ifndef LACEWING_STANDIN_LATENCY_H
#define LACEWING_STANDIN_LATENCY_H

#include <stdint.h>

typedef struct lt_set lt_set;

lt_set *lt_create(void);
void lt_destroy(lt_set *set);
void lt_add(lt_set *set, double ms);
/* Prints a row with count, p50, p90, p99, p99.9 and maximum; prints nothing if
   the set is empty. */
void lt_print(lt_set *set, const char *name);
/* Prints a histogram with logarithmic bins. */
void lt_print_histogram(const lt_set *set);

/* queries */
uint32_t lt_query_count(const lt_set *set);
/* The quantile, from 0 to 1, in milliseconds; 0 if the set is empty. */
double lt_query_ms(lt_set *set, double quantile);

#endif
