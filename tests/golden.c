/*
 * Golden tests: the scripts below tests/scripts hold commands, each with its
 * expected output below it, and run in a test cluster. A line that begins with
 * "$ " is a command, one that begins with "#" a comment:
 *
 *   $ ctl ARGUMENT...            runs kwbctl: exit code, then its output
 *   $ http METHOD NAME PATH [HEADER|-] [BODY]   status, outcome, body
 *   $ file NAME                  writes the lines up to "." to a file
 *   $ set NAME CONTROL VALUE     sets a control of a fake
 *   $ kill NAME                  kills a process of the cluster
 *   $ run NAME                   starts a process of the cluster
 *   $ sleep MS                   waits
 *
 * An argument may stand in '' to hold spaces. "golden --write" replaces the
 * expected output by the actual output.
 */
#include <glob.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../src/core/yaml.h"
#include "world.h"

#define WORDS_MAX 16

static const char lists_text[] =
    "plans:\n"
    "  - {name: quotes, customer: kurogane, kind: training, pool: llm, "
    "model: m, staleness_versions: 2, mixed_versions: yes}\n"
    "  - {name: search, customer: kurogane, kind: interactive, pool: llm, "
    "model: m, max_tokens: 50}\n"
    "  - name: orders\n"
    "    customer: kurogane\n"
    "    kind: service\n"
    "    pool: shop\n"
    "    rules:\n"
    "      - {method: POST, path: /orders, idempotent: no, "
    "timeout_ms: 1500}\n"
    "allowances:\n"
    "  - {plan: quotes, concurrent: 8, queue: 100}\n"
    "  - {plan: search, concurrent: 4, queue: 10}\n"
    "  - {plan: orders, concurrent: 4, queue: 10}\n";

static bool run_script(
    struct cluster *cluster, const char *path, bool is_writing);
static const char *run_command(
    struct cluster *cluster, char *line, const char *rest, struct kwb_buf *out);
static void run_kwbctl(
    struct cluster *cluster, char **words, struct kwb_buf *out);
static void run_http(
    struct cluster *cluster, char **words, struct kwb_buf *out);
static const char *run_file_command(struct cluster *cluster, const char *name,
    const char *rest, struct kwb_buf *out);
static void normalize(const struct cluster *cluster, struct kwb_buf *text);
static void replace_all(struct kwb_buf *text, const char *from, const char *to);
static void mask_numbers(struct kwb_buf *text, const char *prefix);

int
main(int argc, char **argv)
{
	static struct cluster world;
	struct cluster_spec spec = {.entries = 2,
	    .engines = 2,
	    .services = 1,
	    .failure_domains = 2,
	    .models = "m",
	    .slots = 8,
	    .interactive_reserve = 1,
	    .engine_args = "--token_us 2000",
	    .lists = lists_text};
	bool is_writing = argc > 1 && strcmp(argv[1], "--write") == 0;
	unsigned passed = 0, failed = 0;
	glob_t scripts;
	size_t i;

	kwb_log_init("golden", KWB_LOG_ERROR);
	kwb_http_init();
	signal(SIGPIPE, SIG_IGN);
	glob("tests/scripts/*.txt", 0, NULL, &scripts);
	for (i = 0; i < scripts.gl_pathc; i++) {
		bool has_passed = cluster_start(&world, &spec) == 0 &&
		    run_script(&world, scripts.gl_pathv[i], is_writing);

		cluster_stop(&world);
		passed += has_passed;
		failed += !has_passed;
	}
	globfree(&scripts);
	printf("golden sessions: %u passed, %u failed\n", passed, failed);
	return failed > 0 || passed == 0;
}

/*
 * Runs a script and rebuilds its text with the actual output. Returns whether
 * that equals the script; when writing, stores it.
 */
static bool
run_script(struct cluster *cluster, const char *path, bool is_writing)
{
	struct kwb_buf script, actual, out;
	const char *rest, *line;
	bool is_equal;
	FILE *file;

	kwb_buf_init(&script);
	kwb_buf_init(&actual);
	kwb_buf_init(&out);
	kwb_file_read(path, &script);
	for (rest = kwb_buf_text(&script); *rest != '\0';) {
		char command[1024];
		size_t length = strcspn(rest, "\n");

		line = rest;
		rest += length + (rest[length] == '\n');
		if (strncmp(line, "$ ", 2) != 0 && line[0] != '#')
			continue;
		kwb_buf_add(&actual, line, length);
		kwb_buf_add(&actual, "\n", 1);
		if (line[0] == '#')
			continue;
		snprintf(command, sizeof(command), "%.*s", (int)length - 2,
		    line + 2);
		kwb_buf_finish(&out);
		rest = run_command(cluster, command, rest, &out);
		normalize(cluster, &out);
		kwb_buf_add(&actual, kwb_buf_text(&out), out.used_bytes);
	}
	is_equal = strcmp(kwb_buf_text(&script), kwb_buf_text(&actual)) == 0;
	if (!is_equal && !is_writing)
		printf("FAILED %s; actual output:\n%s\n", path, actual.data);
	if (is_writing) {
		file = fopen(path, "w");
		fputs(actual.data, file);
		fclose(file);
	}
	kwb_buf_finish(&script);
	kwb_buf_finish(&actual);
	kwb_buf_finish(&out);
	return is_equal;
}

/*
 * Runs one command and appends its output. Returns where the script continues:
 * "file" consumes the lines below it. Unknown commands have no output.
 */
static const char *
run_command(
    struct cluster *cluster, char *line, const char *rest, struct kwb_buf *out)
{
	char *words[WORDS_MAX] = {NULL}, *word;
	unsigned count = 0;

	/* A word in '' may hold spaces, as a header or a body does. */
	while (count < WORDS_MAX - 1 && line != NULL && *line != '\0') {
		if (*line == '\'') {
			words[count++] = line + 1;
			line = strchr(line + 1, '\'');
			if (line != NULL)
				*line++ = '\0';
			if (line != NULL && *line == ' ')
				line++;
			continue;
		}
		word = strsep(&line, " ");
		words[count++] = word;
	}
	if (strcmp(words[0], "ctl") == 0)
		run_kwbctl(cluster, words, out);
	else if (strcmp(words[0], "http") == 0)
		run_http(cluster, words, out);
	else if (strcmp(words[0], "file") == 0)
		return run_file_command(cluster, words[1], rest, out);
	else if (strcmp(words[0], "set") == 0)
		cluster_set_control(
		    cluster, words[1], words[2], atoi(words[3]));
	else if (strcmp(words[0], "kill") == 0)
		cluster_kill_process(cluster, words[1]);
	else if (strcmp(words[0], "run") == 0)
		cluster_start_process(cluster, words[1]);
	else if (strcmp(words[0], "sleep") == 0)
		kwb_clock_sleep_ns((uint64_t)atoi(words[1]) * KWB_MS_NS);
	return rest;
}

/* Runs kwbctl; arguments that name a YAML file mean one of the script's. */
static void
run_kwbctl(struct cluster *cluster, char **words, struct kwb_buf *out)
{
	char path[256], paths[WORDS_MAX][256];
	const char *arguments[WORDS_MAX + 1] = {NULL};
	unsigned i;
	int code;

	for (i = 1; words[i] != NULL; i++) {
		arguments[i - 1] = words[i];
		if (strstr(words[i], ".yaml") == NULL)
			continue;
		snprintf(paths[i], sizeof(paths[i]), "%s/%s",
		    cluster->directory, words[i]);
		arguments[i - 1] = paths[i];
	}
	snprintf(path, sizeof(path), "%s/ctl.out", cluster->directory);
	remove(path);
	code = cluster_run_kwbctl(cluster, arguments, path);
	kwb_buf_printf(out, "exit %d\n", code);
	kwb_file_read(path, out);
}

/* Sends a request; prints status and outcome ("-" without), then the body. */
static void
run_http(struct cluster *cluster, char **words, struct kwb_buf *out)
{
	char url[1024], outcome[16];
	struct kwb_buf answer;
	int status;

	cluster_print_url(cluster, words[2], url, 128);
	snprintf(url + strlen(url), sizeof(url) - strlen(url), "%s", words[3]);
	kwb_buf_init(&answer);
	status = cluster_http_request(words[1], url,
	    words[4] && strcmp(words[4], "-") ? words[4] : NULL,
	    words[4] ? words[5] : NULL, &answer, outcome, 10000);
	kwb_buf_printf(out, "%d %s\n%s", status, outcome[0] ? outcome : "-",
	    kwb_buf_text(&answer));
	if (answer.used_bytes > 0 && answer.data[answer.used_bytes - 1] != '\n')
		kwb_buf_add(out, "\n", 1);
	kwb_buf_finish(&answer);
}

/* Writes the lines up to "." to a file and returns the text behind them. */
static const char *
run_file_command(struct cluster *cluster, const char *name, const char *rest,
    struct kwb_buf *out)
{
	const char *end = strstr(rest, "\n.\n");
	char path[256];
	FILE *file;

	if (end == NULL)
		return rest;
	snprintf(path, sizeof(path), "%s/%s", cluster->directory, name);
	file = fopen(path, "w");
	fwrite(rest, 1, (size_t)(end + 1 - rest), file);
	fclose(file);
	kwb_buf_add(out, rest, (size_t)(end + 3 - rest));
	return end + 3;
}

/* Removes paths and masks numbers that differ from run to run. */
static void
normalize(const struct cluster *cluster, struct kwb_buf *text)
{
	static const char *const numbers[] = {
	    "after ", "entry-1-", "entry-2-", "shop-3.", "\"time_ms\":"};
	char directory[256];
	size_t i;

	snprintf(directory, sizeof(directory), "%s/", cluster->directory);
	replace_all(text, directory, "");
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++)
		mask_numbers(text, numbers[i]);
}

static void
replace_all(struct kwb_buf *text, const char *from, const char *to)
{
	struct kwb_buf out;
	const char *at, *rest = kwb_buf_text(text);

	kwb_buf_init(&out);
	while ((at = strstr(rest, from)) != NULL) {
		kwb_buf_add(&out, rest, (size_t)(at - rest));
		kwb_buf_add(&out, to, strlen(to));
		rest = at + strlen(from);
	}
	kwb_buf_add(&out, rest, strlen(rest));
	kwb_buf_finish(text);
	*text = out;
}

/* Replaces the hexadecimal digits after each occurrence of a prefix by N. */
static void
mask_numbers(struct kwb_buf *text, const char *prefix)
{
	struct kwb_buf out;
	const char *at, *rest = kwb_buf_text(text);

	kwb_buf_init(&out);
	while ((at = strstr(rest, prefix)) != NULL) {
		at += strlen(prefix);
		kwb_buf_add(&out, rest, (size_t)(at - rest));
		rest = at + strspn(at, "0123456789abcdef");
		if (rest > at)
			kwb_buf_add(&out, "N", 1);
	}
	kwb_buf_add(&out, rest, strlen(rest));
	kwb_buf_finish(text);
	*text = out;
}
