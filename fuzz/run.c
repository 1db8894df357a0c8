/**
 * @file
 * Runs a fuzz target over inputs that are mutated with a fixed random seed.
 */
#include <string.h>

#include "fuzz/fuzz.h"

/* Tokens that are special to the parsers, or at the limits of number types. */
static const char *const special_tokens[] = {"null", "true", "-1", "1e999", "0",
    "18446744073709551616", "\"\"", "{}", "[]", "\\u0000", "\\ud800", "\"", ",",
    ":", "\xff", "1.5", "{\"a\":{\"a\":{", "[[[[", "9007199254740993"};

/* Size beyond which repetition does not grow an input, bytes. */
#define MAX_INPUT_SIZE 16384

static void
overwrite_byte(GRand *rand, GString *input)
{
	gsize at;

	if (input->len == 0)
		return;
	at = (gsize)g_rand_int_range(rand, 0, (gint32)input->len);
	input->str[at] = (char)g_rand_int_range(rand, 0, 256);
}

static void
insert_token(GRand *rand, GString *input)
{
	gint32 at = g_rand_int_range(rand, 0, (gint32)input->len + 1);
	gint32 token = g_rand_int_range(rand, 0, G_N_ELEMENTS(special_tokens));

	g_string_insert(input, at, special_tokens[token]);
}

static void
erase_range(GRand *rand, GString *input)
{
	gint32 from, length;

	if (input->len == 0)
		return;
	from = g_rand_int_range(rand, 0, (gint32)input->len);
	length = g_rand_int_range(rand, 1, 16);
	g_string_erase(input, from, MIN(length, (gint32)input->len - from));
}

static void
repeat_range(GRand *rand, GString *input)
{
	gint32 from, length;
	char *part;

	if (input->len == 0 || input->len > MAX_INPUT_SIZE / 2)
		return;
	from = g_rand_int_range(rand, 0, (gint32)input->len);
	length = g_rand_int_range(rand, 1, (gint32)input->len - from + 1);
	part = g_memdup2(input->str + from, (gsize)length);
	g_string_insert_len(input, from, part, length);
	g_free(part);
}

/* Replaces one number by a token, which keeps most of the JSON valid. */
static void
replace_number(GRand *rand, GString *input)
{
	gint32 token = g_rand_int_range(rand, 0, G_N_ELEMENTS(special_tokens));
	gsize at, end;

	if (input->len == 0)
		return;
	at = (gsize)g_rand_int_range(rand, 0, (gint32)input->len);
	while (at < input->len && !g_ascii_isdigit(input->str[at]))
		at++;
	for (end = at; end < input->len && g_ascii_isdigit(input->str[end]);)
		end++;
	g_string_erase(input, (gssize)at, (gssize)(end - at));
	g_string_insert(input, (gssize)at, special_tokens[token]);
}

/* Applies 0 to 3 random mutations. */
static void
mutate(GRand *rand, GString *input)
{
	static void (*const mutations[])(GRand *, GString *) = {overwrite_byte,
	    insert_token, erase_range, repeat_range, replace_number};
	gint32 n = g_rand_int_range(rand, 0, 4);

	for (gint32 i = 0; i < n; i++)
		mutations[g_rand_int_range(rand, 0, G_N_ELEMENTS(mutations))](
		    rand, input);
}

static bool
run_one(const struct fuzz_target *target, const GString *input)
{
	struct wv_string bytes;
	bool accepted;

	/* In a copy of exact size AddressSanitizer detects any overread. */
	bytes.length = input->len;
	bytes.data = g_malloc(MAX(input->len, 1));
	memcpy(bytes.data, input->str, input->len);
	accepted = target->run(bytes);
	g_free(bytes.data);
	return accepted;
}

unsigned
fuzz_run(const struct fuzz_target *target, unsigned max_inputs,
    gint64 time_limit, guint32 seed, unsigned *n_run)
{
	GRand *rand = g_rand_new_with_seed(seed);
	gint64 end = g_get_monotonic_time() + time_limit;
	unsigned accepted = 0, n_seeds = 0;

	while (target->seeds[n_seeds] != NULL)
		n_seeds++;
	*n_run = 0;
	g_return_val_if_fail(n_seeds > 0, 0);
	for (unsigned i = 0; i < max_inputs; i++) {
		GString *input = g_string_new(target->seeds[i % n_seeds]);

		/* The unchanged seeds come first. */
		if (i >= n_seeds)
			mutate(rand, input);
		accepted += run_one(target, input) ? 1 : 0;
		(*n_run)++;
		g_string_free(input, TRUE);
		if (g_get_monotonic_time() > end)
			break;
	}
	g_rand_free(rand);
	return accepted;
}
