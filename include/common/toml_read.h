/**
 * @file
 * C interface to the C++ TOML library: a callback for each value of a document.
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

/** A value with its dotted key. The items of an array have the array's key. */
struct toml_value {
	const char *key;
	enum toml_value_type type;
	const char *string;
	int64_t integer;
	double floating; /**< set for TOML_INTEGER, too */
	bool boolean;
	bool in_array;
	uint32_t line;
	uint32_t column;
};

typedef void (*toml_value_fn)(void *context, const struct toml_value *value);
typedef void (*toml_error_fn)(void *context, const char *text, uint32_t line,
    uint32_t column);

/** Parses TOML text. @return false if on_error was called */
bool toml_read(const char *text, void *context, toml_value_fn on_value,
    toml_error_fn on_error);

#ifdef __cplusplus
}
#endif

#endif
