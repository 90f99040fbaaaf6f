/*
 * What the measurements share.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "measure.h"

static double metric_read(
    struct cluster *world, const char *name, const char *metric);
static int by_value(const void *a, const void *b);

void
account_take(struct cluster *world, const char *name, struct account *account)
{
	struct cluster_process *process = cluster_find_process(world, name);
	char path[64], text[1024];
	struct timespec cpu = {0};
	clockid_t clock;
	FILE *file;

	memset(account, 0, sizeof(*account));
	if (clock_getcpuclockid(process->pid, &clock) == 0)
		clock_gettime(clock, &cpu);
	account->cpu_ms = (double)cpu.tv_sec * 1e3 + (double)cpu.tv_nsec / 1e6;
	snprintf(path, sizeof(path), "/proc/%d/status", (int)process->pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(text, sizeof(text), file) != NULL)
		if (strncmp(text, "VmRSS:", 6) == 0)
			account->rss_kb = atof(text + 6);
	if (file != NULL)
		fclose(file);
	account->control_bytes =
	    metric_read(world, name, "\nkwb_control_bytes_total ");
}

void
line_add(struct line *line, double x, double y)
{
	if (line->count == POINTS_MAX)
		return;
	line->x[line->count] = x;
	line->y[line->count++] = y;
}

void
line_print(const struct line *line, const char *what, const char *per,
    const char *unit)
{
	double n = line->count, sx = 0, sy = 0, sxx = 0, sxy = 0, slope;
	unsigned i;

	printf("%-34s", what);
	for (i = 0; i < line->count; i++) {
		printf(" %g:%.4g", line->x[i], line->y[i]);
		sx += line->x[i];
		sy += line->y[i];
		sxx += line->x[i] * line->x[i];
		sxy += line->x[i] * line->y[i];
	}
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	printf(" | %.4g %s per %s, from %.4g\n", slope, unit, per,
	    (sy - slope * sx) / n);
	fflush(stdout);
}

double
percentile(double *values, unsigned count, double part)
{
	if (count == 0)
		return 0;
	qsort(values, count, sizeof(*values), by_value);
	return values[(unsigned)((count - 1) * part)];
}

/* An entry serves its counters itself, an agent at its metrics address. */
static double
metric_read(struct cluster *world, const char *name, const char *metric)
{
	char url[128];
	struct kwb_buf text;
	const char *at;
	double value = 0;

	cluster_print_metrics_url(world, name, url, sizeof(url));
	kwb_buf_init(&text);
	if (cluster_http_request("GET", url, NULL, NULL, &text, NULL, 2000) ==
		200 &&
	    (at = strstr(text.data, metric)) != NULL)
		value = atof(at + strlen(metric));
	kwb_buf_finish(&text);
	return value;
}

static int
by_value(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}
