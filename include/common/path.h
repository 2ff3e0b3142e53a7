/**
 * @file
 * Checks the path of a caller's request before a route is matched.
 */
#ifndef COMMON_PATH_H
#define COMMON_PATH_H

#include <stdbool.h>

/**
 * A plain path means the same to this daemon and to any endpoint: it is
 * absolute, without empty, "." or ".." segments, backslashes, control bytes,
 * and without percent-encoded forms of these, of a slash or of a percent sign.
 */
bool path_is_normalized(const char *path);

#endif
