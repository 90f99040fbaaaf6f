/*
 * kwbctl: the operators' command line. All changes to the running system are
 * made by editing its two lists, plans and allowances.
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define WAIT_MS_DEFAULT 10000

static const struct command {
	const char *name;
	int (*run)(struct ctl *ctl); /* returns the exit code */
	const char *usage;
	const char *help;
} commands[] = {
    {"get", ctl_get, "get [plans|allowances]",
	"Prints the two lists in force as YAML, with their revision."},
    {"check", ctl_check, "check FILE...",
	"Checks lists in files and reports every fault; changes nothing."},
    {"diff", ctl_diff, "diff FILE...",
	"Shows what applying the files would change; exits 1 if anything."},
    {"apply", ctl_apply, "apply FILE...",
	"Applies lists from files. The revision in a file says what it "
	"was\nedited from; later edits of other entries are kept. Prints "
	"at how many\nentries and agents the new revision is in force, and "
	"after how long."},
    {"edit", ctl_edit, "edit plan|allowance NAME FIELD=VALUE...",
	"Changes fields of one entry of a list and applies the change."},
    {"history", ctl_history, "history [COUNT]",
	"Shows the newest revisions and what each changed."},
    {"status", ctl_status, "status",
	"Shows entries, agents, revision in force, versions and shares."},
};

static const struct option long_options[] = {
    {"platform", required_argument, NULL, 'p'},
    {"output", required_argument, NULL, 'o'},
    {"wait-ms", required_argument, NULL, 'w'},
    {"completion", no_argument, NULL, 'c'},
    {"version", no_argument, NULL, 'v'},
    {"help", no_argument, NULL, 'h'},
    {NULL, 0, NULL, 0},
};

static const struct command *command_find(const char *name);
static void usage(FILE *out);
static void completion(void);
static void command_usage(const struct command *command);

int
main(int argc, char **argv)
{
	const char *url = getenv("KWB_PLATFORM");
	const struct command *command;
	struct ctl ctl = {.wait_ms = WAIT_MS_DEFAULT};
	bool help = false;
	int option, code;

	while ((option = getopt_long(
		    argc, argv, "p:o:w:vh", long_options, NULL)) != -1) {
		switch (option) {
		case 'p':
			url = optarg;
			break;
		case 'o':
			ctl.is_json = strcmp(optarg, "json") == 0;
			if (ctl.is_json || strcmp(optarg, "text") == 0)
				break;
			fprintf(stderr, "kwbctl: --output is text or json\n");
			return EXIT_USAGE;
		case 'w':
			ctl.wait_ms = (uint32_t)strtoul(optarg, NULL, 10);
			break;
		case 'c':
			completion();
			return EXIT_DONE;
		case 'v':
			printf("kwbctl %s\n", KWB_VERSION);
			return EXIT_DONE;
		case 'h':
			help = true;
			break;
		default:
			usage(stderr);
			return EXIT_USAGE;
		}
	}
	command = optind < argc ? command_find(argv[optind]) : NULL;
	if (help && command != NULL) {
		command_usage(command);
		return EXIT_DONE;
	}
	if (help || command == NULL) {
		usage(help ? stdout : stderr);
		return help ? EXIT_DONE : EXIT_USAGE;
	}
	if (url == NULL && command->run != ctl_check) {
		fprintf(stderr,
		    "kwbctl: name the platform with --platform URL or "
		    "KWB_PLATFORM\n");
		return EXIT_USAGE;
	}
	kwb_log_init("kwbctl", KWB_LOG_ERROR);
	kwb_http_init();
	kwb_platform_init(&ctl.platform, url ? url : "");
	ctl.arguments_count = argc - optind - 1;
	ctl.arguments = argv + optind + 1;
	code = command->run(&ctl);
	if (code == EXIT_USAGE)
		fprintf(stderr, "usage: kwbctl %s\n", command->usage);
	kwb_http_finish();
	return code;
}

int
ctl_print_error(int error, const char *prefix)
{
	fprintf(stderr, "kwbctl: %s: %s\n", prefix, kwb_error_name(error));
	if (error == KWB_ERR_LISTS_CONFLICT)
		return EXIT_CONFLICT;
	if (error == KWB_ERR_LISTS_INVALID)
		return EXIT_INVALID;
	return EXIT_PLATFORM;
}

static const struct command *
command_find(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	return NULL;
}

static void
usage(FILE *out)
{
	size_t i;

	fprintf(out,
	    "usage: kwbctl [--platform URL] [--output text|json] "
	    "[--wait-ms N] COMMAND ...\n"
	    "       kwbctl --completion   prints a script for bash\n\n");
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  kwbctl %s\n", commands[i].usage);
	fprintf(out,
	    "\nkwbctl COMMAND --help explains one.\nExit codes: 0 "
	    "done, 1 differs, 2 usage, 3 invalid lists, 4 conflict,\n"
	    "5 platform unreachable, 6 accepted but not yet in force "
	    "everywhere.\n");
}

static void
completion(void)
{
	const char *words[sizeof(commands) / sizeof(commands[0]) + 1] = {NULL};
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		words[i] = commands[i].name;
	kwb_completion_print(stdout, "kwbctl", long_options, words);
}

static void
command_usage(const struct command *command)
{
	printf("usage: kwbctl %s\n\n%s\n", command->usage, command->help);
}
