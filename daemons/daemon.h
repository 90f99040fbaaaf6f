/*
 * What the daemons share: options and waiting for a stop signal.
 */
#ifndef KWB_DAEMONS_DAEMON_H
#define KWB_DAEMONS_DAEMON_H

#include "kwb.h"

struct daemon_options {
	const char *settings;
	bool is_check_only;
	enum kwb_log_level log_level;
};

/* Returns true to go on, false when the process should end with *code. */
bool daemon_options_parse(
    struct daemon_options *options, int argc, char **argv, int *code);
void daemon_faults_print(const struct kwb_faults *faults);
void daemon_signals_block(void);   /* before any thread starts */
void daemon_wait_for_signal(void); /* until SIGTERM or SIGINT */

#endif
