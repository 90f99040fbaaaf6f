/*
 * Shared by the daemons: command-line options and signals.
 */
#ifndef KWB_DAEMONS_DAEMON_H
#define KWB_DAEMONS_DAEMON_H

#include "kwb.h"

struct daemon_options {
	const char *settings_file;
	bool is_check_only; /* exit after checking the settings */
	enum kwb_log_level log_level;
};

/* Returns true to go on, false if the process should exit with *exit_code. */
bool daemon_options_parse(
    struct daemon_options *options, int argc, char **argv, int *exit_code);

/* Prints the faults of the settings to standard error. */
void daemon_faults_print(const struct kwb_faults *faults);

/*
 * Blocks SIGTERM, SIGINT and SIGPIPE. Called before any thread starts, so that
 * all threads inherit it.
 */
void daemon_signals_block(void);

void daemon_wait_for_signal(void); /* until SIGTERM or SIGINT */

#endif
