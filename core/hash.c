#include "core/hash.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

uint64_t
hash_name(const char *name)
{
	uint64_t id = XXH3_64bits(name, strlen(name));

	return id == 0 ? 1 : id;
}

uint64_t
hash_bytes(const void *bytes, size_t length_bytes)
{
	return XXH3_64bits(bytes, length_bytes);
}

uint64_t
hash_rendezvous(uint64_t key, const uint64_t *node_ids, size_t node_count)
{
	uint64_t best_id = 0, best_score = 0;

	for (size_t i = 0; i < node_count; i++) {
		uint64_t score = XXH3_64bits_withSeed(&node_ids[i],
		    sizeof(node_ids[i]), key);
		if (best_id == 0 || score > best_score ||
		    (score == best_score && node_ids[i] > best_id)) {
			best_id = node_ids[i];
			best_score = score;
		}
	}
	return best_id;
}
