/**
 * @file
 * Loads the module from memory.
 */
#include <dlfcn.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

#include "launch/embedded_module.h"

/** Longest path of the file in memory, bytes. */
#define MAX_PATH_BYTES 64

extern const char embedded_module_begin[] __attribute__((visibility("hidden")));
extern const char embedded_module_end[] __attribute__((visibility("hidden")));

static bool
write_all(int fd, const char *bytes, size_t length)
{
	ssize_t n = 1;

	while (length > 0 && n > 0) {
		n = write(fd, bytes, length);
		if (n > 0) {
			bytes += n;
			length -= (size_t)n;
		}
	}
	return length == 0;
}

void *
embedded_module_load(void)
{
	size_t length = (size_t)(embedded_module_end - embedded_module_begin);
	int fd = memfd_create("server module", MFD_CLOEXEC);
	char path[MAX_PATH_BYTES];
	void *module = NULL;

	if (fd < 0)
		return NULL;
	if (write_all(fd, embedded_module_begin, length)) {
		snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
		module = dlopen(path, RTLD_LAZY);
	}
	/* The loader has mapped the file. */
	close(fd);
	return module;
}
