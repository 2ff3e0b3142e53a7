#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

extern "C" {
#include "bamboorudderd/settings.h"
}

namespace
{

using values = std::map<std::string, std::string>;

std::string
value_of(const values &fields, const std::string &name)
{
	auto field = fields.find(name);

	return field == fields.end() ? "" : field->second;
}

/* Renders the first section of a text. @return false if there is none */
bool
render_section(const values &fields, std::string *text)
{
	size_t start = text->find("{{#"), name_end = text->find("}}", start);

	if (start == std::string::npos)
		return false;
	std::string name = text->substr(start + 3, name_end - start - 3);
	std::string close = "{{/" + name + "}}";
	size_t end = text->find(close, start);
	std::string inner = text->substr(name_end + 2, end - name_end - 2);
	if (fields.count(name) == 0)
		inner.clear();
	for (const char *mark : { "{{.}}", "{{,}}" })
		for (size_t at; (at = inner.find(mark)) != std::string::npos;)
			inner.replace(at, strlen(mark),
			    mark[2] == '.' ? value_of(fields, name) : "");
	text->replace(start, end + close.size() - start, inner);
	return true;
}

/* Renders the template with single values; lists have one item each. */
std::string
render(const values &fields)
{
	std::ifstream file(std::string(SOURCE_ROOT) + "/deploy/daemon.toml");
	std::stringstream buffer;
	std::string text;
	size_t start;

	buffer << file.rdbuf();
	text = buffer.str();
	while (render_section(fields, &text))
		continue;
	while ((start = text.find("{{")) != std::string::npos) {
		size_t end = text.find("}}", start);
		std::string name = text.substr(start + 2, end - start - 2);
		text.replace(start, end + 2 - start, value_of(fields, name));
	}
	return text;
}

values
required_fields()
{
	return {
		{ "listen.frontend", "10.1.0.33:8783" },
		{ "listen.readiness", "10.1.0.33:8780" },
		{ "listen.control_plane", "10.1.0.33:8785" },
		{ "ip", "10.1.0.33" },
		{ "internal_ports.0", "7400" },
		{ "internal_ports.1", "7415" },
		{ "zone", "uy-sur-mvd" },
		{ "seed_nodes", "10.1.0.33:8785" },
		{ "platform.address", "10.200.1.7:8781" },
	};
}

const char *const NUMBERS[] = { "limits.cpu_quota", "limits.memory_mb",
	"bounds.iteration_ms", "bounds.drain_ms", "bounds.revoke_ms",
	"bounds.retry_budget_ratio", "bounds.retry_window_s",
	"bounds.retry_slack", "bounds.grace_s", "bounds.cold_overshoot",
	"bounds.cold_slack", "bounds.evacuate_ms" };

values
fields_with(const std::string &number)
{
	values fields = required_fields();

	fields["bounds.strict_revocation"] = "true";
	for (const char *name : NUMBERS)
		fields[name] = number;
	return fields;
}

std::string
read(const values &fields, struct settings *settings)
{
	static struct findings findings;
	std::string path = ::testing::TempDir() + "deploy.toml", all;
	char line[512];

	EXPECT_TRUE(g_file_set_contents(path.c_str(), render(fields).c_str(),
	    -1, nullptr));
	findings_init(&findings);
	settings_read(path.c_str(), settings, nullptr, &findings);
	for (size_t i = 0; i < findings.count; i++) {
		finding_format(&findings.items[i], line, sizeof(line));
		all += std::string(line) + "\n";
	}
	return all;
}

} // namespace

TEST(DeployTemplate, FractionsAreAccepted)
{
	values fields = fields_with("33.157894");
	struct settings settings;

	EXPECT_EQ(read(fields, &settings), "");
	EXPECT_EQ(settings.retry_slack_milli, 33157u);
	EXPECT_EQ(settings.endpoints_age_ms, 33u);
	EXPECT_EQ(settings.stream_delay_ms, 33u);
	EXPECT_EQ(settings.memory_mb, 33u);
	EXPECT_EQ(settings.revoke_ms, 33u);
	EXPECT_EQ(settings.shutdown_grace_ms, 33157u);
	EXPECT_EQ(settings.cold_overshoot_milli, 33157u);
	EXPECT_EQ(settings.cold_slack_milli, 33157u);
}

TEST(DeployTemplate, AbsentValuesGetDefaults)
{
	struct settings settings;

	EXPECT_EQ(read(required_fields(), &settings), "");
	EXPECT_EQ(settings.retry_slack_milli, 0u);
	EXPECT_EQ(settings.revoke_ms, 0u);
	EXPECT_EQ(settings.shutdown_grace_ms, 8000u);
}

TEST(DeployTemplate, ExtremeValuesAreAccepted)
{
	struct settings settings;

	EXPECT_EQ(read(fields_with("1"), &settings), "");
	EXPECT_EQ(read(fields_with("1.0"), &settings), "");
	for (const char *name : NUMBERS) {
		values fields = required_fields();
		fields["bounds.strict_revocation"] = "true";
		fields[name] = std::string(name).find("_ms") ==
			std::string::npos
		    ? "0.06"
		    : "60000";
		EXPECT_EQ(read(fields, &settings), "") << name;
	}
}
