/*
 * Fuzz target: the platform's settings file.
 */
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include "../../platform/platform.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	struct kwb_node_settings settings;
	struct kwb_faults faults = {0};
	char path[64];
	int fd = memfd_create("settings", MFD_CLOEXEC);

	kwb_log_init("fuzz", KWB_LOG_ERROR + 1);
	if (fd < 0 || write(fd, data, length_bytes) != (ssize_t)length_bytes)
		abort();
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	platform_settings_load(&settings, path, &faults);
	close(fd);
	return 0;
}
