/**
 * @file
 * C linkage to the TOML library: calls back once for each value.
 */
#ifndef COMMON_TOML_READ_H
#define COMMON_TOML_READ_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum toml_value_type {
	TOML_STRING,
	TOML_INTEGER,
	TOML_BOOLEAN,
	TOML_FLOAT,
	TOML_OTHER
};

/** One value with its dotted key; list items share the key of the list. */
struct toml_value {
	const char *key;
	enum toml_value_type type;
	const char *string;
	int64_t integer;
	double floating; /**< also of an integer */
	bool boolean;
	bool in_array;
	uint32_t line;
	uint32_t column;
};

typedef void (*toml_value_fn)(void *context, const struct toml_value *value);
typedef void (*toml_error_fn)(void *context, const char *text, uint32_t line,
    uint32_t column);

/** Reads TOML text. @return false after a call of on_error */
bool toml_read(const char *text, void *context, toml_value_fn on_value,
    toml_error_fn on_error);

#ifdef __cplusplus
}
#endif

#endif
