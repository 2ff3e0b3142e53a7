/**
 * @file
 * Three daemons with tables, and JSON answers, for tests of the
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

/** A JSON document that drops its reference. */
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

constexpr char ROUTES[] = "/v1/tables/routes";
constexpr char POOLS[] = "/v1/tables/pools";
constexpr char ROW[] = "/v1/tables/routes/row";

inline std::vector<std::string>
if_match(const std::string &etag)
{
	return { "If-Match: " + etag };
}

inline std::vector<std::string>
bearer(const char *token)
{
	return { std::string("Authorization: Bearer ") + token };
}

class Admin : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fleet.add_daemons(3);
		fleet.apply("pools",
		    pools_table(model_pool("chat", { "127.0.0.1:9" }, 4)));
		fleet.apply("routes",
		    pools_table(route("a", "key-a", "/v1/chat", "chat")));
		fleet.wait_ready();
	}

	void faults(const std::string &query)
	{
		EXPECT_EQ(call("POST",
			      fleet.platform("/standin/faults?" + query))
			      .status,
		    200);
	}

	std::string etag(const char *table)
	{
		return fleet
		    .admin_call(0, "GET", std::string(table) + "?newest")
		    .headers["etag"];
	}

	/* The rows at the platform, by account. */
	std::set<std::string> accounts()
	{
		Json table(
		    fleet.admin_call(0, "GET", std::string(ROUTES) + "?newest")
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
new_row(const std::string &account)
{
	return route(account, "key-" + account, "/v1/chat", "chat");
}

} // namespace e2e

#endif
