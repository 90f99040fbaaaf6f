/*
 * Acquires a lease with a fencing token from a platform and releases it.
 *
 *   lease http://IP:PORT NAME
 */
#include <stdio.h>

#include "kwb.h"

int
main(int argc, char **argv)
{
	struct kwb_platform platform;
	struct kwb_lease lease;
	int error;

	if (argc != 3)
		return 2;
	kwb_http_init();
	kwb_platform_init(&platform, argv[1]);
	kwb_lease_init(&lease, argv[2], "example", kwb_clock_wall_ms());
	error = kwb_lease_acquire(&lease, &platform);
	if (error == 0) {
		printf("held with fencing token %llu\n",
		    (unsigned long long)lease.fencing_token);
		kwb_lease_release(&lease, &platform);
	} else {
		printf("not held: %s\n", kwb_error_name(error));
	}
	kwb_http_finish();
	return error != 0;
}
