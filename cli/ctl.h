/*
 * Inside of kwbctl: one function a subcommand.
 */
#ifndef KWB_CLI_CTL_H
#define KWB_CLI_CTL_H

#include "kwb.h"

#define FILES_MAX 8

/* Exit codes that scripts can use. */
enum {
	EXIT_DONE = 0,
	EXIT_DIFFERS = 1, /* diff found a difference */
	EXIT_USAGE = 2,
	EXIT_INVALID = 3,     /* the lists have faults */
	EXIT_CONFLICT = 4,    /* another edit came first */
	EXIT_PLATFORM = 5,    /* the platform can't be reached */
	EXIT_NOT_IN_FORCE = 6 /* accepted, not seen in force everywhere */
};

struct ctl {
	struct kwb_platform platform;
	bool is_json;
	uint32_t wait_ms;
	int arguments_count;
	char **arguments;
};

int ctl_get(struct ctl *ctl);
int ctl_check(struct ctl *ctl);
int ctl_diff(struct ctl *ctl);
int ctl_apply(struct ctl *ctl);
int ctl_edit(struct ctl *ctl);
int ctl_history(struct ctl *ctl);
int ctl_status(struct ctl *ctl);

/* files.c */
struct ctl_files {
	unsigned count;
	struct kwb_buf texts[FILES_MAX];
	struct kwb_lists_source sources[FILES_MAX];
};

int ctl_files_load(struct ctl *ctl, struct ctl_files *files,
    struct kwb_lists **lists, struct kwb_faults *faults);
void ctl_files_finish(struct ctl_files *files);
int ctl_publish(struct ctl *ctl, const struct kwb_lists *ours);

/* status.c */
int ctl_wait_in_force(struct ctl *ctl, uint64_t revision);

int ctl_print_error(int error, const char *what);
void ctl_faults_print(const struct ctl *ctl, const struct kwb_faults *faults);

#endif
