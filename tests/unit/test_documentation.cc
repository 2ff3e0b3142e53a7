#include <gtest/gtest.h>
#include <jansson.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

extern "C" {
#include "bamboorudderd/admin_operation.h"
#include "bamboorudderd/settings.h"
#include "common/metric.h"
}

namespace
{

std::string
read_file(const std::string &name)
{
	std::ifstream file(std::string(SOURCE_ROOT) + "/" + name);
	std::stringstream text;

	text << file.rdbuf();
	EXPECT_FALSE(text.str().empty()) << name;
	return text.str();
}

std::set<std::string>
find_all(const std::string &text, const std::string &pattern)
{
	GRegex *regex = g_regex_new(pattern.c_str(), G_REGEX_DEFAULT,
	    G_REGEX_MATCH_DEFAULT, nullptr);
	GMatchInfo *match;
	std::set<std::string> found;

	g_regex_match(regex, text.c_str(), G_REGEX_MATCH_DEFAULT, &match);
	while (g_match_info_matches(match)) {
		char *group = g_match_info_fetch(match, 1);
		found.insert(group);
		g_free(group);
		g_match_info_next(match, nullptr);
	}
	g_match_info_free(match);
	g_regex_unref(regex);
	return found;
}

std::string
replace_all(std::string text, const std::string &from, const std::string &to)
{
	for (size_t at = text.find(from); at != std::string::npos;
	     at = text.find(from, at + to.size()))
		text.replace(at, from.size(), to);
	return text;
}

/* Heading of a key in the man page. */
std::string
man_page_heading(const settings_key &key)
{
	std::string choices = key.choices == nullptr ? "" : key.choices;
	std::string text = "*" + std::string(key.name) + "* (";

	if (key.type == SETTINGS_UINT32 || key.type == SETTINGS_ROUNDED)
		text += std::string(key.unit) + ", " + std::to_string(key.min) +
		    " to " + std::to_string(key.max) + ", default " +
		    std::to_string(key.default_number);
	else if (key.type == SETTINGS_DECIMAL) {
		std::ostringstream numbers;
		numbers << "number, " << key.min / 1000.0 << " to "
			<< key.max / 1000.0 << ", default "
			<< key.default_number / 1000.0;
		text += numbers.str();
	} else if (key.type == SETTINGS_BOOL)
		text += "true or false, default false";
	else if (key.type == SETTINGS_LIST)
		text += "list of texts";
	else if (key.choices != nullptr)
		text += "one of " + replace_all(choices, ",", ", ") +
		    ", default \"" + key.default_string + "\"";
	else if (key.default_string == nullptr)
		text += "text, required";
	else
		text += std::string("text, default \"") + key.default_string +
		    "\"";
	return text + (key.secret ? ", secret" : "") +
	    (key.reloadable ? ", reloadable" : "") + ")\n";
}

} // namespace

TEST(Documentation, ManPageListsAllSettings)
{
	std::string page = read_file("bamboorudderd/bamboorudderd.5.scd");
	size_t count;
	const settings_key *keys = settings_keys(&count);

	for (size_t i = 0; i < count; i++)
		EXPECT_NE(page.find(man_page_heading(keys[i])),
		    std::string::npos)
		    << "bamboorudderd.5.scd lacks: "
		    << man_page_heading(keys[i]);
	EXPECT_EQ(find_all(page, "\n\\*([a-z_.]+)\\* \\(").size(), count);
}

TEST(Documentation, OperationsGuideListsAllMetrics)
{
	std::string page = read_file("docs/OPERATIONS.md");
	GString *text = g_string_new(nullptr);

	metric_render(text);
	std::set<std::string> served = find_all(text->str,
	    "# TYPE (bamboorudder_[a-z_]+ [a-z]+)\n");
	std::set<std::string> described;
	for (const auto &name :
	    find_all(page, "\n\\| `(bamboorudder_[a-z_]+` \\| [a-z]+) \\|"))
		described.insert(replace_all(name, "` |", ""));
	EXPECT_EQ(served, described);
	g_string_free(text, TRUE);
}

TEST(Documentation, OpenapiDocumentDescribesAllOperations)
{
	json_t *root = json_loads(read_file("docs/openapi.json").c_str(), 0,
	    nullptr);
	json_t *paths = json_object_get(root, "paths"), *methods, *operation;
	const char *path, *method;
	std::set<std::string> described, served;
	size_t count;
	const admin_operation *operations = admin_operations(&count);
	const char *const scopes[] = { "", "read", "edit@TEAM", "edit" };

	json_object_foreach (paths, path, methods)
		json_object_foreach (methods, method, operation) {
			const char *scope = json_string_value(
			    json_object_get(operation, "x-scope"));
			described.insert(std::string(path) + " " + method +
			    " " + (scope == nullptr ? "" : scope));
			json_t *responses = json_object_get(operation,
			    "responses");
			EXPECT_GT(json_object_size(responses), 0u);
			if (scope != nullptr) {
				EXPECT_NE(json_object_get(responses, "401"),
				    nullptr)
				    << path;
				EXPECT_NE(json_object_get(responses, "403"),
				    nullptr)
				    << path;
			}
		}
	for (size_t i = 0; i < count; i++) {
		std::string name = operations[i].method;
		for (char &c : name)
			c = (char)tolower(c);
		if (std::string(operations[i].path).rfind("/v1/test/", 0) != 0)
			served.insert(std::string(operations[i].path) + " " +
			    name + " " + scopes[operations[i].scope]);
	}
	EXPECT_EQ(served, described);
	json_decref(root);
}

TEST(Documentation, AdminOperationsAreSorted)
{
	size_t count;
	const admin_operation *operations = admin_operations(&count);

	for (size_t i = 1; i < count; i++)
		EXPECT_LT(std::string(operations[i - 1].path) + " " +
			operations[i - 1].method,
		    std::string(operations[i].path) + " " +
			operations[i].method);
}

TEST(Documentation, ExampleSettingsAreValid)
{
	for (const char *name :
	    { "examples/daemon.toml", "examples/cortaviento/daemon.toml",
		"examples/hanseong/daemon.toml" }) {
		std::string path = std::string(SOURCE_ROOT) + "/" + name;
		static struct findings findings;
		struct settings settings;
		char line[512] = "";
		findings_init(&findings);
		EXPECT_TRUE(
		    settings_read(path.c_str(), &settings, nullptr, &findings));
		if (findings.count > 0)
			finding_format(&findings.items[0], line, sizeof(line));
		EXPECT_STREQ(line, "");
	}
}
