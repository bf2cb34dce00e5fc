/*
 * list.h: intrusive doubly linked lists (prefix li_).
 *
 * The link is a field of the item, so nothing is allocated. A zeroed list is
 * empty, a zeroed link is in no list. A link does not record whether it is in
 * a list: the user of the list has to know.
 */
#ifndef LACEWING_DECISIONS_LIST_H
#define LACEWING_DECISIONS_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct li_link {
    struct li_link *next;
    struct li_link *previous;
} li_link;

typedef struct li_list {
    li_link *first;
    li_link *last;
    uint32_t count;
} li_list;

/* Returns the item that contains a link; NULL for NULL. */
#define LI_ITEM(link, type, member)                                           \
    ((link) ? (type *)(void *)((char *)(link)-offsetof(type, member))         \
            : (type *)NULL)

static inline void
li_append(li_list *list, li_link *link)
{
    link->next = NULL;
    link->previous = list->last;
    if (list->last) {
        list->last->next = link;
    }
    else {
        list->first = link;
    }
    list->last = link;
    list->count++;
}

/* The link must be in the list. */
static inline void
li_remove(li_list *list, li_link *link)
{
    if (link->previous) {
        link->previous->next = link->next;
    }
    else {
        list->first = link->next;
    }
    if (link->next) {
        link->next->previous = link->previous;
    }
    else {
        list->last = link->previous;
    }
    link->next = NULL;
    link->previous = NULL;
    list->count--;
}

#endif
