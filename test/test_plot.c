/**
 * @file
 * Tests the plots of the benchmark. It fails if a file is not well-formed XML,
 * which a browser refuses, if a series is missing or leaves the plot area, or
 * if texts overlap or leave the picture.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <string.h>

/*
 * Estimated width of a character relative to the font size, on the wide side
 * for a sans-serif font.
 */
#define CHARACTER_WIDTH 0.58
/* Pixels. */
#define PICTURE_WIDTH 960
#define PICTURE_HEIGHT 480

/* A text and the area that it covers, pixels. */
struct box {
	double left, top, right, bottom;
	char *text;
};

/* What the parser found in an SVG file. */
struct picture {
	GPtrArray *series; /* of char *, titles of polylines */
	GArray *boxes; /* of struct box */
	GHashTable *attributes; /* of the text being parsed, else NULL */
	bool in_title;
};

static double
get_number(GHashTable *attributes, const char *name)
{
	const char *value = g_hash_table_lookup(attributes, name);

	g_assert_nonnull(value);
	return g_ascii_strtod(value, NULL);
}

/* Checks that a series has 30 points or more, all within the plot area. */
static void
check_points(const char *points)
{
	char **pairs = g_strsplit(points, " ", -1);
	guint n = 0;

	for (guint i = 0; pairs[i] != NULL && *pairs[i] != 0; i++, n++) {
		char *end;
		double x = g_ascii_strtod(pairs[i], &end), y;

		g_assert_cmpint(*end, ==, ',');
		y = g_ascii_strtod(end + 1, &end);
		g_assert_cmpint(*end, ==, 0);
		g_assert_true(x >= 80 && x <= 720 && y >= 90 && y <= 420);
	}
	g_assert_cmpuint(n, >=, 30);
	g_strfreev(pairs);
}

static void
start_element(GMarkupParseContext *context, const char *element,
    const char **names, const char **values, void *data, GError **error)
{
	struct picture *picture = data;
	GHashTable *attributes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	(void)context;
	(void)error;
	for (size_t i = 0; names[i] != NULL; i++)
		g_hash_table_insert(
		    attributes, g_strdup(names[i]), g_strdup(values[i]));
	if (strcmp(element, "polyline") == 0)
		check_points(g_hash_table_lookup(attributes, "points"));
	if (strcmp(element, "title") == 0)
		picture->in_title = true;
	if (strcmp(element, "text") == 0)
		picture->attributes = attributes;
	else
		g_hash_table_destroy(attributes);
}

static void
end_element(GMarkupParseContext *context, const char *element, void *data,
    GError **error)
{
	struct picture *picture = data;

	(void)context;
	(void)error;
	if (strcmp(element, "title") == 0)
		picture->in_title = false;
	if (strcmp(element, "text") == 0)
		g_clear_pointer(&picture->attributes, g_hash_table_destroy);
}

/* Returns the area of a text, which may be rotated by 90 degrees. */
static struct box
text_box(GHashTable *attributes, const char *text, gsize length)
{
	double x = get_number(attributes, "x"), y = get_number(attributes, "y");
	double size = get_number(attributes, "font-size");
	double width = CHARACTER_WIDTH * size * (double)length;
	const char *anchor = g_hash_table_lookup(attributes, "text-anchor");
	struct box box = {x, y - size, x + width, y, g_strndup(text, length)};

	if (g_hash_table_contains(attributes, "transform")) {
		g_assert_cmpstr(anchor, ==, "middle");
		box.left = x - size;
		box.right = x;
		box.top = y - width / 2;
		box.bottom = y + width / 2;
	} else if (strcmp(anchor, "middle") == 0) {
		box.left -= width / 2;
		box.right -= width / 2;
	} else if (strcmp(anchor, "end") == 0) {
		box.left -= width;
		box.right -= width;
	}
	return box;
}

static void
add_text(GMarkupParseContext *context, const char *text, gsize length,
    void *data, GError **error)
{
	struct picture *picture = data;

	(void)context;
	(void)error;
	if (picture->in_title)
		g_ptr_array_add(picture->series, g_strndup(text, length));
	if (picture->attributes != NULL) {
		struct box box = text_box(picture->attributes, text, length);

		g_array_append_val(picture->boxes, box);
	}
}

/* Checks that texts are within the picture and do not overlap. */
static void
check_boxes(const GArray *boxes)
{
	for (guint i = 0; i < boxes->len; i++) {
		struct box *a = &g_array_index(boxes, struct box, i);

		if (a->left < 0 || a->top < 0 || a->right > PICTURE_WIDTH ||
		    a->bottom > PICTURE_HEIGHT)
			g_error("\"%s\" leaves the picture", a->text);
		for (guint j = 0; j < i; j++) {
			struct box *b = &g_array_index(boxes, struct box, j);

			if (a->left < b->right && b->left < a->right &&
			    a->top < b->bottom && b->top < a->bottom)
				g_error(
				    "\"%s\" covers \"%s\"", a->text, b->text);
		}
	}
}

static void
check_has_text(const GArray *boxes, const char *text)
{
	for (guint i = 0; i < boxes->len; i++) {
		if (strcmp(g_array_index(boxes, struct box, i).text, text) == 0)
			return;
	}
	g_error("no text \"%s\"", text);
}

static void
clear_box(void *data)
{
	g_free(((struct box *)data)->text);
}

/* Checks the texts and the series of a file, then deletes it. */
static void
check_picture(const char *folder, const char *name, const char *const *series)
{
	static const GMarkupParser parser = {
	    start_element, end_element, add_text, NULL, NULL};
	struct picture picture = {0};
	GMarkupParseContext *context = g_markup_parse_context_new(
	    &parser, G_MARKUP_DEFAULT_FLAGS, &picture, NULL);
	char *path = g_build_filename(folder, name, NULL), *text;
	GError *error = NULL;
	gsize length;
	guint n_series = 0;

	picture.series = g_ptr_array_new_with_free_func(g_free);
	picture.boxes = g_array_new(FALSE, FALSE, sizeof(struct box));
	g_array_set_clear_func(picture.boxes, clear_box);
	g_file_get_contents(path, &text, &length, &error);
	g_assert_no_error(error);
	g_markup_parse_context_parse(context, text, (gssize)length, &error);
	g_assert_no_error(error);
	g_markup_parse_context_end_parse(context, &error);
	g_assert_no_error(error);
	for (; series[n_series] != NULL; n_series++) {
		g_assert_cmpuint(n_series, <, picture.series->len);
		g_assert_cmpstr(
		    picture.series->pdata[n_series], ==, series[n_series]);
		check_has_text(picture.boxes, series[n_series]);
	}
	g_assert_cmpuint(picture.series->len, ==, n_series);
	check_has_text(picture.boxes, "time of arrival, s");
	check_boxes(picture.boxes);
	g_assert_cmpint(g_unlink(path), ==, 0);
	g_markup_parse_context_free(context);
	g_ptr_array_free(picture.series, TRUE);
	g_array_free(picture.boxes, TRUE);
	g_free(path);
	g_free(text);
}

/* Runs the benchmark with --plot; returns its wait status. */
static int
run_plot(char *folder)
{
	char *command[] = {
	    WV_BUILD_DIR "/wisteriavane-bench", "--plot", folder, NULL};
	GError *error = NULL;
	int status;

	g_spawn_sync(NULL, command, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL,
	    NULL, NULL, NULL, &status, &error);
	g_assert_no_error(error);
	return status;
}

static void
test_pictures(void)
{
	static const char *const latency[] = {"ours, urgent", "ours, standard",
	    "ours, background", "baseline, urgent", "baseline, standard",
	    "baseline, background", NULL};
	static const char *const coverage[] = {"ours", "baseline", NULL};
	char *folder = g_dir_make_tmp("wisteriavane-plot-XXXXXX", NULL);

	g_assert_nonnull(folder);
	g_assert_cmpint(run_plot(folder), ==, 0);
	check_picture(folder, "latency.svg", latency);
	check_picture(folder, "coverage.svg", coverage);
	g_assert_cmpint(g_rmdir(folder), ==, 0);
	g_free(folder);
}

/* The exit status must tell a script that the plots could not be written. */
static void
test_missing_folder(void)
{
	g_assert_cmpint(run_plot("/nonexistent"), !=, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plot/pictures", test_pictures);
	g_test_add_func("/plot/missing_folder", test_missing_folder);
	return g_test_run();
}
