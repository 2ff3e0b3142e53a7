/**
 * @file
 * Failure domains that operators have taken out of use: their endpoints get no
 * requests.
 */
#ifndef CORE_DRAINED_DOMAINS_H
#define CORE_DRAINED_DOMAINS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct drained_domains {
	GHashTable *names; /**< domain_id to the domain's name */
};

void drained_domains_init(struct drained_domains *domains);
void drained_domains_finish(struct drained_domains *domains);

/** Takes a domain out of use, or back in. @return whether that is a change */
bool drained_domains_set(struct drained_domains *domains, const char *name,
    bool drained);

/** @return whether the domain with the hash domain_id of its name is out of
 * use */
bool drained_domains_contain(const struct drained_domains *domains,
    uint64_t domain_id);

#endif
