/**
 * @file
 * Revisions of the store as text for the log.
 */
#ifndef COMMON_REVISION_TEXT_H
#define COMMON_REVISION_TEXT_H

#include <stdint.h>

#define REVISION_TEXT_BYTES 32u

/** Writes the number of a store_revision_make(), after a restore with the count of
 * restores before it. */
void revision_text_format(uint64_t revision, char text[REVISION_TEXT_BYTES]);

#endif
