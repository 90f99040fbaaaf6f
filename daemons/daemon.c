/*
 * Shared by the daemons: command-line options and signals.
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "daemon.h"

#define EXIT_USAGE 2

static const struct option long_options[] = {
    {"settings", required_argument, NULL, 's'},
    {"check", no_argument, NULL, 'c'},
    {"debug", no_argument, NULL, 'd'},
    {"version", no_argument, NULL, 'v'},
    {"help", no_argument, NULL, 'h'},
    {NULL, 0, NULL, 0},
};

static void usage(FILE *out, const char *program);

bool
daemon_options_parse(
    struct daemon_options *options, int argc, char **argv, int *exit_code)
{
	int option;

	memset(options, 0, sizeof(*options));
	options->log_level = KWB_LOG_INFO;
	*exit_code = 0;
	while ((option = getopt_long(
		    argc, argv, "s:cdvh", long_options, NULL)) != -1) {
		switch (option) {
		case 's':
			options->settings_file = optarg;
			break;
		case 'c':
			options->is_check_only = true;
			break;
		case 'd':
			options->log_level = KWB_LOG_DEBUG;
			break;
		case 'v':
			printf("%s %s\n", argv[0], KWB_VERSION);
			return false;
		case 'h':
			usage(stdout, argv[0]);
			return false;
		default:
			usage(stderr, argv[0]);
			*exit_code = EXIT_USAGE;
			return false;
		}
	}
	if (options->settings_file != NULL && optind == argc)
		return true;
	usage(stderr, argv[0]);
	*exit_code = EXIT_USAGE;
	return false;
}

void
daemon_faults_print(const struct kwb_faults *faults)
{
	unsigned i;

	for (i = 0; i < faults->count; i++)
		fprintf(stderr, "%s\n", faults->text[i]);
}

void
daemon_signals_block(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

void
daemon_wait_for_signal(void)
{
	sigset_t signals;
	int signal_number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigwait(&signals, &signal_number);
}

static void
usage(FILE *out, const char *program)
{
	fprintf(out,
	    "usage: %s --settings FILE [--check] [--debug]\n"
	    "  --settings FILE  YAML settings of this process\n"
	    "  --check          check the settings, then end\n"
	    "  --debug          log at debug level\n"
	    "  --version        print the version, then end\n",
	    program);
}
