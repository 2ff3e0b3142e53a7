/**
 * @file
 * Stable identifiers from names, and rendezvous hashing.
 */
#ifndef CORE_HASH_H
#define CORE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Identifier of a name, never 0. */
uint64_t hash_name(const char *name);

/** Hash of bytes, which may be 0. */
uint64_t hash_bytes(const void *bytes, size_t length_bytes);

/**
 * Picks the node that owns a key by rendezvous hashing.
 * @return the node's identifier, or 0 if node_count is 0
 */
uint64_t hash_rendezvous(uint64_t key, const uint64_t *node_ids,
    size_t node_count);

#endif
