/*
 * Helpers of the measurements.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "measure.h"

static double metric_read(
    struct cluster *cluster, const char *name, const char *metric);
static int compare_doubles(const void *a, const void *b);

void
usage_read(struct cluster *cluster, const char *name, struct usage *usage)
{
	struct cluster_process *process = cluster_find_process(cluster, name);
	char path[64], text[1024];
	struct timespec cpu = {0};
	clockid_t clock;
	FILE *file;

	memset(usage, 0, sizeof(*usage));
	if (clock_getcpuclockid(process->pid, &clock) == 0)
		clock_gettime(clock, &cpu);
	usage->cpu_ms = (double)cpu.tv_sec * 1e3 + (double)cpu.tv_nsec / 1e6;
	snprintf(path, sizeof(path), "/proc/%d/status", (int)process->pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(text, sizeof(text), file) != NULL)
		if (strncmp(text, "VmRSS:", 6) == 0)
			usage->rss_kb = atof(text + 6);
	if (file != NULL)
		fclose(file);
	usage->control_bytes =
	    metric_read(cluster, name, "\nkwb_control_bytes_total ");
}

void
series_add(struct series *series, double x, double y)
{
	if (series->count == POINTS_MAX)
		return;
	series->x[series->count] = x;
	series->y[series->count++] = y;
}

void
line_print(const struct series *series, const char *title, const char *x_unit,
    const char *y_unit)
{
	double points = series->count, sum_x = 0, sum_y = 0, sum_xx = 0,
	       sum_xy = 0, slope;
	unsigned i;

	printf("%-34s", title);
	for (i = 0; i < series->count; i++) {
		printf(" %g:%.4g", series->x[i], series->y[i]);
		sum_x += series->x[i];
		sum_y += series->y[i];
		sum_xx += series->x[i] * series->x[i];
		sum_xy += series->x[i] * series->y[i];
	}
	slope = (points * sum_xy - sum_x * sum_y) /
	    (points * sum_xx - sum_x * sum_x);
	printf(" | %.4g %s per %s, intercept %.4g\n", slope, y_unit, x_unit,
	    (sum_y - slope * sum_x) / points);
	fflush(stdout);
}

double
percentile(double *values, unsigned count, double fraction)
{
	if (count == 0)
		return 0;
	qsort(values, count, sizeof(*values), compare_doubles);
	return values[(unsigned)((count - 1) * fraction)];
}

/*
 * Reads a counter of an entry or agent; 0 if it does not respond. metric is
 * "\nNAME ", so that no longer name or comment matches.
 */
static double
metric_read(struct cluster *cluster, const char *name, const char *metric)
{
	char url[128];
	struct kwb_buf text;
	const char *found;
	double value = 0;

	cluster_print_metrics_url(cluster, name, url, sizeof(url));
	kwb_buf_init(&text);
	if (cluster_http_request("GET", url, NULL, NULL, &text, NULL, 2000) ==
		200 &&
	    (found = strstr(text.data, metric)) != NULL)
		value = atof(found + strlen(metric));
	kwb_buf_finish(&text);
	return value;
}

static int
compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}
