/*
 * Golden sessions: scripts whose lines are commands with their expected
 * output below. A line that begins with "$ " is a command:
 *
 *   $ ctl ARGUMENT...            kwbctl: exit code, then its output
 *   $ http METHOD WHERE PATH [HEADER|-] [BODY]   status, outcome, body
 *   $ set NAME SWITCH VALUE      sets a stand-in's switch
 *   $ file NAME                  writes the lines up to "." to a file
 *   $ kill NAME, $ run NAME, $ settle
 *
 * "golden --write" puts the output in place of what is expected.
 */
#include <glob.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../src/core/yaml.h"
#include "world.h"

#define BASE_PORT 27000
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

static bool script_run(struct world *world, const char *path, bool write);
static const char *command_run(
    struct world *world, char *line, const char *rest, struct kwb_buf *out);
static void run_ctl(struct world *world, char **words, struct kwb_buf *out);
static void run_http(struct world *world, char **words, struct kwb_buf *out);
static const char *run_file(struct world *world, const char *name,
    const char *rest, struct kwb_buf *out);
static void normalize(const struct world *world, struct kwb_buf *text);
static void replace_all(struct kwb_buf *text, const char *from, const char *to);
static void hide_number(struct kwb_buf *text, const char *after);

int
main(int argc, char **argv)
{
	static struct world world;
	struct world_shape shape = {.entries = 2,
	    .engines = 2,
	    .services = 1,
	    .domains = 2,
	    .models = "m",
	    .slots = 8,
	    .reserve = 1,
	    .engine_args = "--token_us 2000",
	    .lists = lists_text};
	bool write = argc > 1 && strcmp(argv[1], "--write") == 0;
	unsigned passed = 0, failed = 0;
	glob_t found;
	size_t i;

	kwb_log_init("golden", KWB_LOG_ERROR);
	kwb_http_init();
	signal(SIGPIPE, SIG_IGN);
	glob("tests/scripts/*.txt", 0, NULL, &found);
	for (i = 0; i < found.gl_pathc; i++) {
		bool right = world_start(&world, &shape, BASE_PORT) == 0 &&
		    script_run(&world, found.gl_pathv[i], write);

		world_stop(&world);
		passed += right;
		failed += !right;
	}
	globfree(&found);
	printf("golden sessions: %u passed, %u failed\n", passed, failed);
	return failed > 0 || passed == 0;
}

/* Runs the commands, making the script anew as it should read. */
static bool
script_run(struct world *world, const char *path, bool write)
{
	struct kwb_buf script, made, out;
	const char *rest, *line;
	bool right;
	FILE *file;

	kwb_buf_init(&script);
	kwb_buf_init(&made);
	kwb_buf_init(&out);
	kwb_file_read(path, &script);
	for (rest = kwb_buf_text(&script); *rest != '\0';) {
		char command[1024];
		size_t length = strcspn(rest, "\n");

		line = rest;
		rest += length + (rest[length] == '\n');
		if (strncmp(line, "$ ", 2) != 0 && line[0] != '#')
			continue;
		kwb_buf_add(&made, line, length);
		kwb_buf_add(&made, "\n", 1);
		if (line[0] == '#')
			continue;
		snprintf(command, sizeof(command), "%.*s", (int)length - 2,
		    line + 2);
		kwb_buf_finish(&out);
		rest = command_run(world, command, rest, &out);
		normalize(world, &out);
		kwb_buf_add(&made, kwb_buf_text(&out), out.used_bytes);
	}
	right = strcmp(kwb_buf_text(&script), kwb_buf_text(&made)) == 0;
	if (!right && !write)
		printf("FAILED %s; this came out:\n%s\n", path, made.data);
	if (write) {
		file = fopen(path, "w");
		fputs(made.data, file);
		fclose(file);
	}
	kwb_buf_finish(&script);
	kwb_buf_finish(&made);
	kwb_buf_finish(&out);
	return right;
}

/* Returns where the script goes on. */
static const char *
command_run(
    struct world *world, char *line, const char *rest, struct kwb_buf *out)
{
	char *words[WORDS_MAX] = {NULL}, *word;
	unsigned count = 0;

	/* The last word may hold spaces: a body stands in quotes. */
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
		run_ctl(world, words, out);
	else if (strcmp(words[0], "http") == 0)
		run_http(world, words, out);
	else if (strcmp(words[0], "file") == 0)
		return run_file(world, words[1], rest, out);
	else if (strcmp(words[0], "set") == 0)
		world_set(world, words[1], words[2], atoi(words[3]));
	else if (strcmp(words[0], "kill") == 0)
		world_kill(world, words[1]);
	else if (strcmp(words[0], "run") == 0)
		world_run(world, words[1]);
	else if (strcmp(words[0], "sleep") == 0)
		kwb_clock_sleep_ns((uint64_t)atoi(words[1]) * KWB_MS_NS);
	return rest;
}

static void
run_ctl(struct world *world, char **words, struct kwb_buf *out)
{
	char path[256], paths[WORDS_MAX][256];
	const char *arguments[WORDS_MAX + 1] = {NULL};
	unsigned i;
	int code;

	for (i = 1; words[i] != NULL; i++) {
		arguments[i - 1] = words[i];
		if (strstr(words[i], ".yaml") == NULL)
			continue;
		snprintf(paths[i], sizeof(paths[i]), "%s/%s", world->directory,
		    words[i]);
		arguments[i - 1] = paths[i];
	}
	snprintf(path, sizeof(path), "%s/ctl.out", world->directory);
	remove(path);
	code = world_ctl(world, arguments, path);
	kwb_buf_printf(out, "exit %d\n", code);
	kwb_file_read(path, out);
}

static void
run_http(struct world *world, char **words, struct kwb_buf *out)
{
	char url[1024], outcome[16];
	struct kwb_buf answer;
	int status;

	world_url(world, words[2], url, 128);
	snprintf(url + strlen(url), sizeof(url) - strlen(url), "%s", words[3]);
	kwb_buf_init(&answer);
	status = world_http(words[1], url,
	    words[4] && strcmp(words[4], "-") ? words[4] : NULL,
	    words[4] ? words[5] : NULL, &answer, outcome, 10000);
	kwb_buf_printf(out, "%d %s\n%s", status, outcome[0] ? outcome : "-",
	    kwb_buf_text(&answer));
	if (answer.used_bytes > 0 && answer.data[answer.used_bytes - 1] != '\n')
		kwb_buf_add(out, "\n", 1);
	kwb_buf_finish(&answer);
}

static const char *
run_file(struct world *world, const char *name, const char *rest,
    struct kwb_buf *out)
{
	const char *end = strstr(rest, "\n.\n");
	char path[256];
	FILE *file;

	if (end == NULL)
		return rest;
	snprintf(path, sizeof(path), "%s/%s", world->directory, name);
	file = fopen(path, "w");
	fwrite(rest, 1, (size_t)(end + 1 - rest), file);
	fclose(file);
	kwb_buf_add(out, rest, (size_t)(end + 3 - rest));
	return end + 3;
}

/* Takes out what differs from run to run. */
static void
normalize(const struct world *world, struct kwb_buf *text)
{
	static const char *const numbers[] = {
	    "after ", "entry-1-", "entry-2-", "shop-3.", "\"time_ms\":"};
	char directory[256];
	size_t i;

	snprintf(directory, sizeof(directory), "%s/", world->directory);
	replace_all(text, directory, "");
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++)
		hide_number(text, numbers[i]);
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

/* Puts N in place of the digits behind a mark. */
static void
hide_number(struct kwb_buf *text, const char *after)
{
	struct kwb_buf out;
	const char *at, *rest = kwb_buf_text(text);

	kwb_buf_init(&out);
	while ((at = strstr(rest, after)) != NULL) {
		at += strlen(after);
		kwb_buf_add(&out, rest, (size_t)(at - rest));
		rest = at + strspn(at, "0123456789abcdef");
		if (rest > at)
			kwb_buf_add(&out, "N", 1);
	}
	kwb_buf_add(&out, rest, strlen(rest));
	kwb_buf_finish(text);
	*text = out;
}
