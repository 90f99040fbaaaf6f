/*
 * Runs fault sessions, several in parallel: each fault alone, pairs of faults,
 * and the same fault at two targets.
 *
 *   faults                       the fixed set that CI runs
 *   faults FAULT [FAULT] [SEED]  one session; FAULT "none" for load alone
 *   faults --soak N              N sessions of random pairs
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "session.h"

#define PARALLEL_SESSIONS 4
#define SESSIONS_MAX 512
#define KNOWN_FAILURES_FILE "KNOWN-RED.txt"

/* A session to run, as on the command line: one or two faults and a seed. */
struct session_line {
	const char *first;
	const char *second; /* NULL for a single fault */
	uint64_t seed;
};

/* Pairs of faults, and the same fault twice, at different targets. */
static const struct session_line pairs[] = {
    {"kill_entry", "table_down", 11},
    {"kill_llm", "table_down", 12},
    {"kill_shop", "table_loses", 13},
    {"freeze_entry", "kill_llm", 14},
    {"freeze_shop", "kill_entry", 15},
    {"silent_shop", "table_down", 16},
    {"cut_llm", "kill_engine", 17},
    {"oneway_back", "late_service", 18},
    {"stop_llm", "stop_entry", 19},
    {"swap_fails", "kill_llm", 20},
    {"kill_entry", "kill_entry", 21},
    {"kill_llm", "kill_llm", 22},
    {"kill_shop", "kill_shop", 23},
    {"silent_llm", "silent_llm", 24},
    {"table_loses", "table_down", 25},
    {"listed_gone", "kill_entry", 26},
    {"late_service", "kill_shop", 27},
    {"vm_lost", "table_down", 28},
};

static const struct fault *find_fault(const char *name);
static int run_session(const struct session_line *line);
static int run_sessions(const struct session_line *lines, unsigned count);
static bool is_known_failure(const struct session_line *line);
static void line_print(
    const struct session_line *line, char *text, size_t capacity_bytes);

int
main(int argc, char **argv)
{
	static struct session_line lines[SESSIONS_MAX];
	unsigned i, count = 0, state = (unsigned)time(NULL);

	kwb_log_init("faults", KWB_LOG_ERROR);
	kwb_http_init();
	signal(SIGPIPE, SIG_IGN);
	if (argc == 3 && strcmp(argv[1], "--soak") == 0) {
		count = (unsigned)atoi(argv[2]) % SESSIONS_MAX;
		for (i = 0; i < count; i++) {
			lines[i].first =
			    session_faults[(unsigned)rand_r(&state) %
				session_faults_count]
				.name;
			lines[i].second =
			    session_faults[(unsigned)rand_r(&state) %
				session_faults_count]
				.name;
			lines[i].seed = (unsigned)rand_r(&state);
		}
		return run_sessions(lines, count);
	}
	if (argc > 1) {
		const char *last = argv[argc - 1];

		lines[0].first = argv[1];
		lines[0].seed = find_fault(last) ? 1 : strtoull(last, NULL, 10);
		if (argc > 2 && find_fault(argv[2]))
			lines[0].second = argv[2];
		return run_session(&lines[0]);
	}
	for (i = 0; i < session_faults_count; i++) {
		lines[count].first = session_faults[i].name;
		lines[count++].seed = i + 1;
	}
	for (i = 0; i < sizeof(pairs) / sizeof(pairs[0]); i++)
		lines[count++] = pairs[i];
	return run_sessions(lines, count);
}

static const struct fault *
find_fault(const char *name)
{
	unsigned i;

	for (i = 0; name != NULL && i < session_faults_count; i++)
		if (strcmp(session_faults[i].name, name) == 0)
			return &session_faults[i];
	return NULL;
}

/* Runs a session and prints its result. Returns 0, 1 failed or 2 misused. */
static int
run_session(const struct session_line *line)
{
	static struct session session;
	char text[128];
	unsigned i;
	bool passed;

	line_print(line, text, sizeof(text));
	if (find_fault(line->first) == NULL && strcmp(line->first, "none")) {
		fprintf(stderr, "unknown fault \"%s\"\n", line->first);
		return 2;
	}
	passed = session_run(&session, find_fault(line->first),
	    find_fault(line->second), line->seed);
	printf("%s %-40s steps=%u samples=%u answers=%u refused=%u orders=%u "
	       "step_after_ms=%u order_after_ms=%u\n",
	    passed ? "ok    " : "FAILED", text, session.complete_steps,
	    session.samples, session.answers, session.refused_requests,
	    session.orders_count,
	    (unsigned)(session.step_recovery_ns / KWB_MS_NS),
	    (unsigned)(session.order_recovery_ns / KWB_MS_NS));
	for (i = 0; i < session.failures_count; i++)
		printf("         %s\n", session.failures[i]);
	if (!passed)
		printf(
		    "         again with: build/tests/faults %s; logs in %s\n",
		    text, session.cluster.directory);
	fflush(stdout);
	return passed ? 0 : 1;
}

/*
 * Runs PARALLEL_SESSIONS sessions at a time, each in a process and on ports of
 * its own. Returns 0 when all passed but for known failures, otherwise 1.
 */
static int
run_sessions(const struct session_line *lines, unsigned count)
{
	pid_t pids[PARALLEL_SESSIONS] = {0};
	unsigned running_line[PARALLEL_SESSIONS] = {0}, next = 0, done = 0,
		 slot;
	unsigned passed = 0, failed = 0, known_failures = 0;
	int status;
	pid_t pid;

	fflush(stdout);
	while (done < count) {
		for (slot = 0; slot < PARALLEL_SESSIONS; slot++) {
			if (pids[slot] != 0 || next == count)
				continue;
			running_line[slot] = next;
			pids[slot] = fork();
			if (pids[slot] == 0)
				_exit(run_session(&lines[next]));
			next++;
		}
		pid = wait(&status);
		for (slot = 0; slot < PARALLEL_SESSIONS; slot++) {
			if (pids[slot] != pid)
				continue;
			pids[slot] = 0;
			done++;
			if (WIFEXITED(status) && WEXITSTATUS(status) == 0)
				passed++;
			else if (is_known_failure(&lines[running_line[slot]]))
				known_failures++;
			else
				failed++;
		}
	}
	printf("fault sessions: %u passed, %u failed, %u known red\n", passed,
	    failed, known_failures);
	return failed > 0;
}

/* Whether the session is listed in KNOWN_FAILURES_FILE; prints it then. */
static bool
is_known_failure(const struct session_line *line)
{
	char wanted[128], text[512];
	FILE *file = fopen(KNOWN_FAILURES_FILE, "r");
	bool is_listed = false;

	line_print(line, wanted, sizeof(wanted));
	while (file != NULL && fgets(text, sizeof(text), file) != NULL)
		if (strstr(text, "build/tests/faults ") != NULL &&
		    strstr(text, wanted) != NULL)
			is_listed = true;
	if (file != NULL)
		fclose(file);
	if (is_listed)
		printf("known red: %s\n", wanted);
	return is_listed;
}

static void
line_print(const struct session_line *line, char *text, size_t capacity_bytes)
{
	snprintf(text, capacity_bytes, "%s%s%s %llu", line->first,
	    line->second ? " " : "", line->second ? line->second : "",
	    (unsigned long long)line->seed);
}
