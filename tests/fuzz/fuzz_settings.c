/* A settings file is either valid or rejected with at least one finding. */
#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

#include "bamboorudderd/settings.h"
#include "fuzz.h"

#define PATH_BYTES 64

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
	static struct settings settings;
	static struct findings findings;
	enum settings_source sources[128];
	int fd = memfd_create("settings", MFD_CLOEXEC);
	char path[PATH_BYTES];
	bool valid;

	FUZZ_CHECK(write(fd, bytes, length_bytes) == (ssize_t)length_bytes);
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	findings_init(&findings);
	valid = settings_read(path, &settings, sources, &findings);
	FUZZ_CHECK(valid == (findings.total_count == 0));
	close(fd);
	return 0;
}
