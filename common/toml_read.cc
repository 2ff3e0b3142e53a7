#include "common/toml_read.h"

#include <toml++/toml.h>

#include <string>

namespace
{

struct reader {
	void *context;
	toml_value_fn on_value;
};

void read_node(const reader &reader, const std::string &key,
    const toml::node &node, bool in_array);

void
read_table(const reader &reader, const std::string &key,
    const toml::table &table)
{
	for (const auto &item : table) {
		std::string name(item.first.str());
		read_node(reader, key.empty() ? name : key + "." + name,
		    item.second, false);
	}
}

void
read_value(const reader &reader, const std::string &key, const toml::node &node,
    bool in_array)
{
	struct toml_value value = {};
	std::string text;

	value.key = key.c_str();
	value.type = TOML_OTHER;
	value.in_array = in_array;
	value.line = node.source().begin.line;
	value.column = node.source().begin.column;
	if (const auto *string = node.as_string()) {
		text = string->get();
		value.type = TOML_STRING;
		value.string = text.c_str();
	} else if (const auto *integer = node.as_integer()) {
		value.type = TOML_INTEGER;
		value.integer = integer->get();
		value.floating = static_cast<double>(integer->get());
	} else if (const auto *number = node.as_floating_point()) {
		value.type = TOML_FLOAT;
		value.floating = number->get();
	} else if (const auto *boolean = node.as_boolean()) {
		value.type = TOML_BOOLEAN;
		value.boolean = boolean->get();
	}
	reader.on_value(reader.context, &value);
}

void
read_node(const reader &reader, const std::string &key, const toml::node &node,
    bool in_array)
{
	if (const auto *table = node.as_table()) {
		read_table(reader, key, *table);
		return;
	}
	const auto *array = node.as_array();
	if (array == nullptr || in_array) {
		read_value(reader, key, node, in_array);
		return;
	}
	for (const auto &item : *array)
		read_node(reader, key, item, true);
}

} // namespace

extern "C" bool
toml_read(const char *text, void *context, toml_value_fn on_value,
    toml_error_fn on_error)
{
	try {
		read_table(reader{ context, on_value }, "",
		    toml::parse(std::string_view(text)));
		return true;
	} catch (const toml::parse_error &error) {
		std::string description(error.description());
		on_error(context, description.c_str(),
		    error.source().begin.line, error.source().begin.column);
		return false;
	}
}
