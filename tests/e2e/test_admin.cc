#include <signal.h>

#include <fstream>

#include "admin_fixture.h"

using namespace e2e;

TEST_F(Admin, StatusesAreUsedAsHttpMeansThem)
{
	const std::string row = new_row("n"), table = pools_table(row);
	const struct {
		const char *method, *path;
		std::string body;
		std::vector<std::string> headers;
		long status;
	} cases[] = {
		{ "GET", ROUTES, "", {}, 401 },
		{ "GET", ROUTES, "", bearer("wrong"), 401 },
		{ "PUT", ROW, row, bearer(READER), 403 },
		{ "POST", "/v1/drain", "", bearer(TEAM_OPERATOR), 403 },
		{ "GET", "/v1/nothing", "", bearer(OPERATOR), 404 },
		{ "DELETE", "/v1/tables/routes/row?account=z&path=/", "",
		    bearer(OPERATOR), 404 },
		{ "DELETE", ROW, "", bearer(OPERATOR), 400 },
		{ "DELETE", "/v1/status", "", bearer(OPERATOR), 405 },
		{ "PUT", ROUTES, table, bearer(OPERATOR), 428 },
		{ "PUT", ROUTES, "{\"rows\": [}", bearer(OPERATOR), 422 },
		{ "PUT", ROUTES, "{\"rows\": [], \"history\": []}",
		    bearer(OPERATOR), 422 },
		{ "GET", "/v1/status", "", bearer(READER), 200 },
		{ "POST", "/v1/tables/routes/check", table, bearer(READER),
		    200 },
		{ "POST", "/v1/tables/routes/check", "{\"rows\": [{}]}",
		    bearer(READER), 422 },
	};

	for (const auto &item : cases) {
		Answer answer = call(item.method,
		    fleet.daemons[0].admin(item.path), item.body, item.headers);
		EXPECT_EQ(answer.status, item.status)
		    << item.method << " " << item.path << " " << answer.body;
		if (answer.status == 405) {
			EXPECT_EQ(answer.headers["allow"], "GET");
		}
	}
	EXPECT_EQ(accounts().size(), 1u);
}

TEST_F(Admin, ATeamsOperatorChangesItsOwnAccountsAlone)
{
	const std::string team = ", \"team\": \"desk\"";
	auto put = [&](const std::string &body) {
		return call("PUT", fleet.daemons[0].admin(ROW), body,
		    bearer(TEAM_OPERATOR))
		    .status;
	};

	EXPECT_EQ(put(route("d", "key-d", "/v1/chat", "chat", team)), 200);
	EXPECT_EQ(put(route("d", "key-d", "/v1/chat", "chat",
		      team + ", \"weight\": 2")),
	    200);
	/* another team's row, a row without a team, another's account */
	EXPECT_EQ(put(route("e", "key-e", "/v1/chat", "chat",
		      ", \"team\": \"yard\"")),
	    403);
	EXPECT_EQ(put(route("a", "key-a", "/v1/chat", "chat",
		      ", \"weight\": 2")),
	    403);
	EXPECT_EQ(put(route("a", "key-a", "/other", "chat", team)), 403);
	EXPECT_EQ(put(route("a", "key-a", "/v1/chat", "chat", team)), 403);
	EXPECT_EQ(call("DELETE",
		      fleet.daemons[0].admin(
			  std::string(ROW) + "?account=a&path=/v1/chat"),
		      "", bearer(TEAM_OPERATOR))
		      .status,
	    403);
	EXPECT_EQ(call("PUT",
		      fleet.daemons[0].admin(std::string(POOLS) + "/row"),
		      model_pool("chat", {}, 1), bearer(TEAM_OPERATOR))
		      .status,
	    403);
	EXPECT_EQ(accounts(), (std::set<std::string>{ "a", "d" }));
}

TEST_F(Admin, HistoryTellsWhoChangedWhat)
{
	Answer edit = call("PUT", fleet.daemons[1].admin(ROW),
	    route("d", "key-d", "/v1/chat", "chat", ", \"team\": \"desk\""),
	    bearer(TEAM_OPERATOR));
	ASSERT_EQ(edit.status, 200) << edit.body;
	Json history(
	    fleet.admin_call(0, "GET", std::string(ROUTES) + "/history?newest")
		.body);
	Json made(edit.body);
	json_t *last = json_array_get(history.at({ "history" }),
	    json_array_size(history.at({ "history" })) - 1);

	EXPECT_STREQ(json_string_value(json_object_get(last, "operator")),
	    "desk");
	EXPECT_STREQ(json_string_value(json_object_get(last, "id")),
	    made.text({ "edit" }).c_str());
	EXPECT_EQ(json_integer_value(json_object_get(last, "version")),
	    made.number({ "version" }));
	EXPECT_STREQ(json_string_value(
			 json_object_get(json_array_get(json_object_get(last,
							    "changes"),
					     0),
			     "row")),
	    "d /v1/chat");
}

TEST_F(Admin, TheHistoryIsBounded)
{
	for (int i = 0; i < 40; i++)
		ASSERT_EQ(fleet
			      .admin_call(0, "PUT", ROW,
				  route("a", "key-a", "/v1/chat", "chat",
				      ", \"weight\": " + std::to_string(i + 2)))
			      .status,
		    200);
	Json history(
	    fleet.admin_call(0, "GET", std::string(ROUTES) + "/history").body);
	EXPECT_EQ(json_array_size(history.at({ "history" })), 32u);
}

TEST_F(Admin, StatusNamesTheDaemonThatHasNotConfirmed)
{
	fleet.daemons[2].process->signal(SIGSTOP);
	ASSERT_EQ(fleet.admin_call(0, "PUT", ROW, new_row("b")).status, 200);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_call(0, "GET", "/v1/status").body);
		json_t *list = status.at({ "routes", "unconfirmed" });
		return json_array_size(list) == 1 &&
		    fleet.daemons[2].peer() ==
		    json_string_value(json_array_get(list, 0));
	}));
	fleet.daemons[2].process->signal(SIGCONT);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_call(0, "GET", "/v1/status").body);
		return status.number({ "routes", "daemons_confirmed" }) == 3;
	}));
}

TEST_F(Admin, DrainMakesTheDaemonNotReady)
{
	EXPECT_EQ(fleet.admin_call(0, "POST", "/v1/drain").status, 202);
	EXPECT_EQ(call("GET", fleet.daemons[0].admin("/readyz")).status, 503);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_call(1, "GET", "/v1/status").body);
		json_t *daemon;
		size_t index;
		json_array_foreach (status.at({ "daemons" }), index, daemon)
			if (json_is_true(json_object_get(daemon, "leaving")))
				return true;
		return false;
	}));
}

TEST_F(Admin, AReloadChangesOperatorsAndNamesTheRest)
{
	Daemon &daemon = fleet.daemons[0];
	std::ifstream in(daemon.settings_path);
	std::string text((std::istreambuf_iterator<char>(in)),
	    std::istreambuf_iterator<char>());
	std::string old_hash = sha256(READER);

	text.replace(text.find(old_hash), old_hash.size(), sha256("new"));
	text += "listen.worker_threads = 64\n";
	std::ofstream(daemon.settings_path) << text;
	daemon.process->signal(SIGHUP);
	EXPECT_TRUE(eventually([&] {
		return call("GET", daemon.admin("/v1/status"), "",
			   bearer("new"))
			   .status == 200;
	}));
	EXPECT_EQ(call("GET", daemon.admin("/v1/status"), "", bearer(READER))
		      .status,
	    401);
	EXPECT_NE(daemon.process->log().find(
		      "event=setting_needs_restart key=listen.worker_threads"),
	    std::string::npos);
	std::ofstream(daemon.settings_path) << "nonsense = 1\n";
	daemon.process->signal(SIGHUP);
	EXPECT_TRUE(eventually([&] {
		return daemon.process->log().find("event=reload_refused") !=
		    std::string::npos;
	}));
	EXPECT_EQ(call("GET", daemon.admin("/v1/status"), "", bearer("new"))
		      .status,
	    200);
}

TEST_F(Admin, LogsHoldNoKeyTokenOrBody)
{
	for (auto &daemon : fleet.daemons) {
		call("POST", daemon.url("/v1/chat/completions"),
		    "{\"messages\": [{\"content\": \"secret-body\"}]}",
		    { "Authorization: Bearer key-a" }, 500);
		call("POST", daemon.url("/x"), "secret-body",
		    { "Authorization: Bearer secret-key" });
		call("GET", daemon.admin(ROUTES), "", bearer("secret-token"));
		call("PUT", daemon.admin(ROW), "{\"secret-body\": 1}",
		    bearer(OPERATOR));
		fleet.admin_call(0, "PUT", ROW, new_row("logged"));
	}
	for (auto &daemon : fleet.daemons) {
		std::string log = daemon.process->log();
		for (const char *word : { "secret", "key-a", OPERATOR })
			EXPECT_EQ(log.find(word), std::string::npos) << log;
		for (const char *key : { OPERATOR, "key-a", "key-logged" })
			EXPECT_EQ(log.find(sha256(key)), std::string::npos);
	}
}
