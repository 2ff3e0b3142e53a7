/**
 * @file
 * Values of settings by their type: how one is read from the file, printed and
 * stored.
 */
#ifndef BAMBOORUDDERD_SETTINGS_PRIVATE_H
#define BAMBOORUDDERD_SETTINGS_PRIVATE_H

#include "bamboorudderd/settings.h"
#include "common/toml_read.h"

/** File that is read, and what receives the findings on it. */
struct settings_input {
	const char *path;
	struct findings *findings;
};

struct settings_type_ops {
	size_t size_bytes; /**< of the stored value */
	void (*set_default)(const struct settings_key *key, void *target);
	/** Stores a value of the file, or adds a finding. */
	void (*read)(const struct settings_input *input,
	    const struct settings_key *key, const struct toml_value *value,
	    void *target);
	void (*print)(const struct settings_key *key, const void *target,
	    GString *out);
};

/** @return how values of a key are handled */
const struct settings_type_ops *settings_key_ops(
    const struct settings_key *key);

/** Adds a finding at the place of a value. */
void settings_add_finding(const struct settings_input *input,
    const struct toml_value *value, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
