/**
 * @file
 * Fixture with three daemons that have tables, for tests of the
 * administration API.
 */
#ifndef TESTS_E2E_ADMIN_FIXTURE_H
#define TESTS_E2E_ADMIN_FIXTURE_H

#include <gtest/gtest.h>
#include <jansson.h>

#include <set>
#include <string>
#include <vector>

#include "fleet.h"

namespace e2e
{

/** Owns a parsed JSON document; root is NULL if the text isn't JSON. */
class Json
{
      public:
	explicit Json(const std::string &text)
	    : root(json_loads(text.c_str(), 0, nullptr))
	{
	}
	~Json()
	{
		json_decref(root);
	}
	Json(const Json &) = delete;
	Json &operator=(const Json &) = delete;
	json_t *at(const std::vector<const char *> &path) const
	{
		json_t *value = root;
		for (const char *name : path)
			value = json_object_get(value, name);
		return value;
	}
	json_int_t number(const std::vector<const char *> &path) const
	{
		return json_integer_value(at(path));
	}
	std::string text(const std::vector<const char *> &path) const
	{
		const char *value = json_string_value(at(path));
		return value == nullptr ? "" : value;
	}
	json_t *root;
};

constexpr char ROUTES_PATH[] = "/v1/tables/routes";
constexpr char POOLS_PATH[] = "/v1/tables/pools";
constexpr char ROW_PATH[] = "/v1/tables/routes/row";

inline std::vector<std::string>
if_match_header(const std::string &etag)
{
	return { "If-Match: " + etag };
}

inline std::vector<std::string>
bearer(const char *token)
{
	return { std::string("Authorization: Bearer ") + token };
}

class AdminApi : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fleet.add_daemons(3);
		fleet.apply_table("pools",
		    table_json(model_pool_row("chat", { "127.0.0.1:9" }, 4)));
		fleet.apply_table("routes",
		    table_json(route_row("a", "key-a", "/v1/chat", "chat")));
		fleet.wait_ready();
	}

	void inject_faults(const std::string &query)
	{
		EXPECT_EQ(send_request("POST",
			      fleet.platform_url("/standin/faults?" + query))
			      .status,
		    200);
	}

	std::string newest_etag(const char *table)
	{
		return fleet
		    .admin_request(0, "GET", std::string(table) + "?newest")
		    .headers["etag"];
	}

	/* Accounts of the newest routes table in the store. */
	std::set<std::string> stored_accounts()
	{
		Json table(fleet
			       .admin_request(0, "GET",
				   std::string(ROUTES_PATH) + "?newest")
			       .body);
		std::set<std::string> names;
		json_t *row;
		size_t index;
		json_array_foreach (table.at({ "rows" }), index, row)
			names.insert(
			    json_string_value(json_object_get(row, "account")));
		return names;
	}

	Fleet fleet{ "platform.timeout_ms = 400\n" };
};

inline std::string
chat_route_row(const std::string &account)
{
	return route_row(account, "key-" + account, "/v1/chat", "chat");
}

} // namespace e2e

#endif
