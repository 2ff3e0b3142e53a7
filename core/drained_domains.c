#include "core/drained_domains.h"

#include "core/hash.h"

void
drained_domains_init(struct drained_domains *domains)
{
	domains->names = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, g_free);
}

void
drained_domains_finish(struct drained_domains *domains)
{
	g_hash_table_destroy(domains->names);
}

bool
drained_domains_set(struct drained_domains *domains, const char *name,
    bool drained)
{
	uint64_t domain_id = hash_name(name);

	if (drained == drained_domains_contain(domains, domain_id))
		return false;
	if (drained)
		g_hash_table_insert(domains->names,
		    g_memdup2(&domain_id, sizeof(domain_id)), g_strdup(name));
	else
		g_hash_table_remove(domains->names, &domain_id);
	return true;
}

bool
drained_domains_contain(const struct drained_domains *domains,
    uint64_t domain_id)
{
	return g_hash_table_contains(domains->names, &domain_id);
}
