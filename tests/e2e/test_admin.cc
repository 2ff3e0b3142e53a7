#include <signal.h>

#include <fstream>

#include "admin_fixture.h"

using namespace e2e;

TEST_F(AdminApi, ReturnsTheStandardHttpStatusForEachCase)
{
	const std::string row = chat_route_row("n"), table = table_json(row);
	const struct {
		const char *method, *path;
		std::string body;
		std::vector<std::string> headers;
		long status;
	} cases[] = {
		{ "GET", ROUTES_PATH, "", {}, 401 },
		{ "GET", ROUTES_PATH, "", bearer("wrong"), 401 },
		{ "PUT", ROW_PATH, row, bearer(READER_TOKEN), 403 },
		{ "POST", "/v1/drain", "", bearer(TEAM_OPERATOR_TOKEN), 403 },
		{ "GET", "/v1/nothing", "", bearer(OPERATOR_TOKEN), 404 },
		{ "DELETE", "/v1/tables/routes/row?account=z&path=/", "",
		    bearer(OPERATOR_TOKEN), 404 },
		{ "DELETE", ROW_PATH, "", bearer(OPERATOR_TOKEN), 400 },
		{ "DELETE", "/v1/status", "", bearer(OPERATOR_TOKEN), 405 },
		{ "PUT", ROUTES_PATH, table, bearer(OPERATOR_TOKEN), 428 },
		{ "PUT", ROUTES_PATH, "{\"rows\": [}", bearer(OPERATOR_TOKEN),
		    422 },
		{ "PUT", ROUTES_PATH, "{\"rows\": [], \"history\": []}",
		    bearer(OPERATOR_TOKEN), 422 },
		{ "GET", "/v1/status", "", bearer(READER_TOKEN), 200 },
		{ "POST", "/v1/tables/routes/check", table,
		    bearer(READER_TOKEN), 200 },
		{ "POST", "/v1/tables/routes/check", "{\"rows\": [{}]}",
		    bearer(READER_TOKEN), 422 },
	};

	for (const auto &item : cases) {
		Response response = send_request(item.method,
		    fleet.daemons[0].admin_url(item.path), item.body,
		    item.headers);
		EXPECT_EQ(response.status, item.status)
		    << item.method << " " << item.path << " " << response.body;
		if (response.status == 405) {
			EXPECT_EQ(response.headers["allow"], "GET");
		}
	}
	EXPECT_EQ(stored_accounts().size(), 1u);
}

TEST_F(AdminApi, AllowsATeamOperatorToEditOnlyAccountsOfItsTeam)
{
	const std::string team = ", \"team\": \"desk\"";
	auto put = [&](const std::string &body) {
		return send_request("PUT", fleet.daemons[0].admin_url(ROW_PATH),
		    body, bearer(TEAM_OPERATOR_TOKEN))
		    .status;
	};

	EXPECT_EQ(put(route_row("d", "key-d", "/v1/chat", "chat", team)), 200);
	EXPECT_EQ(put(route_row("d", "key-d", "/v1/chat", "chat",
		      team + ", \"weight\": 2")),
	    200);
	/* rows of another team, without a team, and of a foreign account */
	EXPECT_EQ(put(route_row("e", "key-e", "/v1/chat", "chat",
		      ", \"team\": \"yard\"")),
	    403);
	EXPECT_EQ(put(route_row("a", "key-a", "/v1/chat", "chat",
		      ", \"weight\": 2")),
	    403);
	EXPECT_EQ(put(route_row("a", "key-a", "/other", "chat", team)), 403);
	EXPECT_EQ(put(route_row("a", "key-a", "/v1/chat", "chat", team)), 403);
	EXPECT_EQ(send_request("DELETE",
		      fleet.daemons[0].admin_url(
			  std::string(ROW_PATH) + "?account=a&path=/v1/chat"),
		      "", bearer(TEAM_OPERATOR_TOKEN))
		      .status,
	    403);
	EXPECT_EQ(send_request("PUT",
		      fleet.daemons[0].admin_url(
			  std::string(POOLS_PATH) + "/row"),
		      model_pool_row("chat", {}, 1),
		      bearer(TEAM_OPERATOR_TOKEN))
		      .status,
	    403);
	EXPECT_EQ(stored_accounts(), (std::set<std::string>{ "a", "d" }));
}

TEST_F(AdminApi, HistoryRecordsTheOperatorAndRowsOfEachEdit)
{
	Response edit = send_request("PUT",
	    fleet.daemons[1].admin_url(ROW_PATH),
	    route_row("d", "key-d", "/v1/chat", "chat", ", \"team\": \"desk\""),
	    bearer(TEAM_OPERATOR_TOKEN));
	ASSERT_EQ(edit.status, 200) << edit.body;
	Json history(fleet
			 .admin_request(0, "GET",
			     std::string(ROUTES_PATH) + "/history?newest")
			 .body);
	Json edit_document(edit.body);
	json_t *last = json_array_get(history.at({ "history" }),
	    json_array_size(history.at({ "history" })) - 1);

	EXPECT_STREQ(json_string_value(json_object_get(last, "operator")),
	    "desk");
	EXPECT_STREQ(json_string_value(json_object_get(last, "id")),
	    edit_document.text({ "edit" }).c_str());
	EXPECT_EQ(json_integer_value(json_object_get(last, "version")),
	    edit_document.number({ "version" }));
	EXPECT_STREQ(json_string_value(
			 json_object_get(json_array_get(json_object_get(last,
							    "changes"),
					     0),
			     "row")),
	    "d /v1/chat");
}

TEST_F(AdminApi, HistoryIsLimitedTo32Edits)
{
	for (int i = 0; i < 40; i++)
		ASSERT_EQ(fleet
			      .admin_request(0, "PUT", ROW_PATH,
				  route_row("a", "key-a", "/v1/chat", "chat",
				      ", \"weight\": " + std::to_string(i + 2)))
			      .status,
		    200);
	Json history(
	    fleet.admin_request(0, "GET", std::string(ROUTES_PATH) + "/history")
		.body);
	EXPECT_EQ(json_array_size(history.at({ "history" })), 32u);
}

TEST_F(AdminApi, StatusListsAPausedDaemonAsUnconfirmed)
{
	fleet.daemons[2].process->signal(SIGSTOP);
	ASSERT_EQ(fleet.admin_request(0, "PUT", ROW_PATH, chat_route_row("b"))
		      .status,
	    200);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_request(0, "GET", "/v1/status").body);
		json_t *list = status.at({ "routes", "unconfirmed" });
		return json_array_size(list) == 1 &&
		    fleet.daemons[2].peer_address() ==
		    json_string_value(json_array_get(list, 0));
	}));
	fleet.daemons[2].process->signal(SIGCONT);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_request(0, "GET", "/v1/status").body);
		return status.number({ "routes", "daemons_confirmed" }) == 3;
	}));
}

TEST_F(AdminApi, DrainMakesTheDaemonUnreadyAndIsAnnouncedToPeers)
{
	EXPECT_EQ(fleet.admin_request(0, "POST", "/v1/drain").status, 202);
	EXPECT_EQ(send_request("GET", fleet.daemons[0].admin_url("/readyz"))
		      .status,
	    503);
	EXPECT_TRUE(eventually([&] {
		Json status(fleet.admin_request(1, "GET", "/v1/status").body);
		json_t *daemon;
		size_t index;
		json_array_foreach (status.at({ "daemons" }), index, daemon)
			if (json_is_true(json_object_get(daemon, "leaving")))
				return true;
		return false;
	}));
}

TEST_F(AdminApi, ReloadAppliesOperatorsAndLogsSettingsThatNeedARestart)
{
	Daemon &daemon = fleet.daemons[0];
	std::ifstream in(daemon.settings_path);
	std::string text((std::istreambuf_iterator<char>(in)),
	    std::istreambuf_iterator<char>());
	std::string old_hash = sha256(READER_TOKEN);

	text.replace(text.find(old_hash), old_hash.size(), sha256("new"));
	text += "listen.worker_threads = 64\n";
	std::ofstream(daemon.settings_path) << text;
	daemon.process->signal(SIGHUP);
	EXPECT_TRUE(eventually([&] {
		return send_request("GET", daemon.admin_url("/v1/status"), "",
			   bearer("new"))
			   .status == 200;
	}));
	EXPECT_EQ(send_request("GET", daemon.admin_url("/v1/status"), "",
		      bearer(READER_TOKEN))
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
	EXPECT_EQ(send_request("GET", daemon.admin_url("/v1/status"), "",
		      bearer("new"))
		      .status,
	    200);
}

TEST_F(AdminApi, LogsContainNoKeysTokensOrBodies)
{
	for (auto &daemon : fleet.daemons) {
		send_request("POST", daemon.url("/v1/chat/completions"),
		    "{\"messages\": [{\"content\": \"secret-body\"}]}",
		    { "Authorization: Bearer key-a" }, 500);
		send_request("POST", daemon.url("/x"), "secret-body",
		    { "Authorization: Bearer secret-key" });
		send_request("GET", daemon.admin_url(ROUTES_PATH), "",
		    bearer("secret-token"));
		send_request("PUT", daemon.admin_url(ROW_PATH),
		    "{\"secret-body\": 1}", bearer(OPERATOR_TOKEN));
		fleet.admin_request(0, "PUT", ROW_PATH,
		    chat_route_row("logged"));
	}
	for (auto &daemon : fleet.daemons) {
		std::string log = daemon.process->log();
		for (const char *word : { "secret", "key-a", OPERATOR_TOKEN })
			EXPECT_EQ(log.find(word), std::string::npos) << log;
		for (const char *key :
		    { OPERATOR_TOKEN, "key-a", "key-logged" })
			EXPECT_EQ(log.find(sha256(key)), std::string::npos);
	}
}
