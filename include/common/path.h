/**
 * @file
 * Validation of request paths before a route is matched.
 */
#ifndef COMMON_PATH_H
#define COMMON_PATH_H

#include <stdbool.h>

/**
 * Checks that this daemon and any endpoint interpret a path in the same way, so
 * that a caller can't reach a path outside its route. The path must be absolute
 * without empty, "." and ".." segments, backslashes and control characters; it
 * may end with a slash. Spaces, '#' and bytes outside ASCII must be
 * percent-encoded. Control characters, dots, slashes, backslashes, semicolons
 * and percent signs must not be percent-encoded.
 */
bool path_is_normalized(const char *path);

#endif
