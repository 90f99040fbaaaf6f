/*
 * Shared by the files of kwbctl: one function for each subcommand.
 */
#ifndef KWB_CLI_CTL_H
#define KWB_CLI_CTL_H

#include "kwb.h"

#define FILES_MAX 8 /* of one command */

/* Exit codes that scripts can use. */
enum {
	EXIT_DONE = 0,
	EXIT_DIFFERS = 1, /* diff found a difference */
	EXIT_USAGE = 2,
	EXIT_INVALID = 3,  /* the lists have faults */
	EXIT_CONFLICT = 4, /* another edit came first */
	EXIT_PLATFORM = 5, /* the platform can't be reached, or other errors */
	EXIT_NOT_IN_FORCE = 6 /* applied, not yet in force everywhere */
};

/* A call of kwbctl. */
struct ctl {
	struct kwb_platform platform;
	bool is_json;	     /* output as JSON, else as text */
	uint32_t wait_ms;    /* for a new revision to be in force */
	int arguments_count; /* without the subcommand */
	char **arguments;
};

/* Subcommands; each returns the exit code. */
int ctl_get(struct ctl *ctl);
int ctl_check(struct ctl *ctl);
int ctl_diff(struct ctl *ctl);
int ctl_apply(struct ctl *ctl);
int ctl_edit(struct ctl *ctl);
int ctl_history(struct ctl *ctl);
int ctl_status(struct ctl *ctl);

/* files.c: lists in files */
struct ctl_files {
	unsigned count;
	struct kwb_buf texts[FILES_MAX]; /* the sources point to these */
	struct kwb_lists_source sources[FILES_MAX];
};

/*
 * Loads the files named by the arguments into one pair of lists, NULL if none
 * could be parsed. Returns 0 or KWB_ERR_LISTS_INVALID with faults.
 */
int ctl_files_load(struct ctl *ctl, struct ctl_files *files,
    struct kwb_lists **lists, struct kwb_faults *faults);
void ctl_files_finish(struct ctl_files *files);

/* Writes lists and waits until they are in force; returns the exit code. */
int ctl_publish(struct ctl *ctl, const struct kwb_lists *ours);

/*
 * status.c: waits up to wait_ms until a revision is in force everywhere, prints
 * the result and returns the exit code.
 */
int ctl_wait_in_force(struct ctl *ctl, uint64_t revision);

/* kwbctl.c: prints "PREFIX: ERROR" and returns the exit code for it. */
int ctl_print_error(int error, const char *prefix);

/* files.c: prints faults of lists to standard error. */
void ctl_faults_print(const struct ctl *ctl, const struct kwb_faults *faults);

#endif
