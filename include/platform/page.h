/**
 * @file
 * Parses a page of the store's objects or events, of which other writers may
 * have made single ones unreadable: with numbers that are too large, bytes that
 * are no UTF-8, or very deep nesting. Such an item is replaced, the others stand.
 */
#ifndef PLATFORM_PAGE_H
#define PLATFORM_PAGE_H

#include <jansson.h>
#include <stddef.h>

/**
 * Parses a JSON object with an array of items.
 * @param items_key name of the array. An item of it that can't be parsed as a
 * whole is replaced by those of its members, and of the members of its objects,
 * that can; the others are null.
 * @return NULL if the text is no JSON object; to be freed with json_decref()
 */
json_t *page_parse(const char *text, size_t length_bytes,
    const char *items_key);

#endif
