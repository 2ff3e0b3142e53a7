#include <stdio.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

/* Adds what one daemon owns. */
static bool
add_accounts(const struct target *target, size_t index, json_t *accounts,
    json_t **elsewhere)
{
	json_t *document = target_get(target, index, "/v1/accounts", NULL);

	if (document == NULL)
		return false;
	json_array_extend(accounts, json_object_get(document, "accounts"));
	json_decref(*elsewhere);
	*elsewhere = json_incref(json_object_get(document, "elsewhere"));
	json_decref(document);
	return true;
}

static void
print_accounts(const json_t *accounts)
{
	struct columns columns;
	json_t *account;
	size_t index;

	columns_init(&columns, "POOL", "ACCOUNT", "WEIGHT", "SHARE", "WAITING",
	    "RUNNING", "SERVED TOKENS", "WAITS BECAUSE", NULL);
	json_array_foreach (accounts, index, account)
		columns_add_members(&columns, account, "pool", "account",
		    "weight", "share", "waiting", "running", "served_tokens",
		    "waits_because", NULL);
	columns_print(&columns);
}

/* A daemon knows the accounts of the pools that it owns. */
static void
print_elsewhere(const json_t *elsewhere)
{
	json_t *pool;
	size_t index;

	json_array_foreach (elsewhere, index, pool)
		printf("pool %s is owned by the daemon with peer address %s: "
		       "name its administration address by --admin\n",
		    json_string_value(json_object_get(pool, "pool")),
		    json_string_value(json_object_get(pool, "owner")));
}

enum exit_status
command_accounts(const struct target *target, uint32_t word_count, char **words)
{
	json_t *accounts = json_array(), *elsewhere = json_array();
	enum exit_status status = EXIT_DONE;

	(void)words;
	if (!command_takes_no_words("accounts", word_count))
		status = EXIT_USAGE;
	for (size_t i = 0; status == EXIT_DONE && i < target->admin_count; i++)
		if (!add_accounts(target, i, accounts, &elsewhere))
			status = EXIT_REFUSED;
	if (status == EXIT_DONE && target->json) {
		json_t *document = json_pack("{s:O, s:O}", "accounts", accounts,
		    "elsewhere", elsewhere);
		print_json(document);
		json_decref(document);
	} else if (status == EXIT_DONE) {
		print_accounts(accounts);
		if (target->admin_count == 1)
			print_elsewhere(elsewhere);
	}
	json_decref(accounts);
	json_decref(elsewhere);
	return status;
}
