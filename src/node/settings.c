/*
 * Defaults of a node's settings, for those that the platform does not give.
 */
#include <string.h>

#include "kwb_node.h"

#define GRACE_MS 8000
#define LEASE_MS 3000
#define BATCH_KEEP_MS 120000
#define ROW_MAX_BYTES 65536
#define MEMORY_MB 256
#define PROCESSOR_MILLI 1000 /* one core */
#define FDS_MAX 4096
#define REVOKE_MS 5000
#define USAGE_WINDOW_MS 5000
#define USAGE_LATE_MS 10000

void
kwb_node_settings_init(struct kwb_node_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings->grace_ms = GRACE_MS;
	settings->lease_ms = LEASE_MS;
	settings->batch_keep_ms = BATCH_KEEP_MS;
	settings->row_max_bytes = ROW_MAX_BYTES;
	settings->memory_mb = MEMORY_MB;
	settings->processor_milli = PROCESSOR_MILLI;
	settings->fds_max = FDS_MAX;
	settings->revoke_ms = REVOKE_MS;
	settings->usage_window_ms = USAGE_WINDOW_MS;
	settings->usage_late_ms = USAGE_LATE_MS;
}
