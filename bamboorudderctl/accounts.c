#include <stdio.h>

#include "bamboorudderctl/columns.h"
#include "bamboorudderctl/command.h"

/*
 * Adds the accounts of the pools that one daemon owns. Sets elsewhere to the
 * pools that it doesn't own.
 */
static bool
fetch_accounts(const struct admin_client *client, size_t index,
    json_t *accounts, json_t **elsewhere)
{
	json_t *document = admin_client_get_json(client, index, "/v1/accounts",
	    NULL);

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
		columns_add_json(&columns, account, "pool", "account", "weight",
		    "share", "waiting", "running", "served_tokens",
		    "waits_because", NULL);
	columns_print(&columns);
}

/* A daemon lists accounts only for the pools that it owns. */
static void
print_pools_of_other_owners(const json_t *elsewhere)
{
	json_t *pool;
	size_t index;

	json_array_foreach (elsewhere, index, pool)
		printf("pool %s is owned by the daemon with peer address %s; "
		       "pass its administration address with --admin\n",
		    json_string_value(json_object_get(pool, "pool")),
		    json_string_value(json_object_get(pool, "owner")));
}

enum exit_status
command_accounts(const struct admin_client *client, uint32_t arg_count,
    char **args)
{
	json_t *accounts = json_array(), *elsewhere = json_array();
	enum exit_status status = EXIT_OK;

	(void)args;
	if (!command_check_no_args("accounts", arg_count))
		status = EXIT_USAGE;
	for (size_t i = 0; status == EXIT_OK && i < client->admin_urls_count;
	     i++)
		if (!fetch_accounts(client, i, accounts, &elsewhere))
			status = EXIT_FAILED;
	if (status == EXIT_OK && client->json) {
		json_t *document = json_pack("{s:O, s:O}", "accounts", accounts,
		    "elsewhere", elsewhere);
		print_json(document);
		json_decref(document);
	} else if (status == EXIT_OK) {
		print_accounts(accounts);
		if (client->admin_urls_count == 1)
			print_pools_of_other_owners(elsewhere);
	}
	json_decref(accounts);
	json_decref(elsewhere);
	return status;
}
