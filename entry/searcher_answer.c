/**
 * @file
 * What a searcher's answer proves about the run of a request.
 */
#include <math.h>

#include "entry/searcher_answer.h"

/** Greatest number in a report of load. */
#define MAX_LOAD 1000000

/* Whether the expected searcher itself has answered. */
static bool
names_expected(const struct platform_adapter *adapter,
    const struct message *answer, struct wv_string expected)
{
	struct wv_string id;

	return message_find_field(answer, adapter->answering_searcher, &id) >
	    0 &&
	    wv_string_equal(id, expected);
}

enum wv_attempt_end
searcher_answer_classify(const struct platform_adapter *adapter,
    const struct message *answer, struct wv_string expected)
{
	bool says_not_run =
	    message_find_field(answer, adapter->not_run, NULL) > 0;

	if (answer->status == 421 &&
	    (says_not_run || !names_expected(adapter, answer, expected)))
		return WV_END_WRONG_SEARCHER;
	if (says_not_run)
		return WV_END_REJECTED;
	if (message_find_field(answer, adapter->signature, NULL) != 1)
		return WV_END_BROKEN;
	return answer->status < 500 ? WV_END_ANSWERED : WV_END_FAILED;
}

bool
searcher_answer_says_leaving(
    const struct platform_adapter *adapter, const struct message *answer)
{
	struct wv_string value;

	return message_find_field(answer, adapter->leaving, &value) > 0 &&
	    wv_string_equal(value, wv_string_borrow("1"));
}

/* Returns whether a text is a number of digits with at most one point. */
static bool
is_decimal(struct wv_string text)
{
	size_t points = 0;

	for (size_t i = 0; i < text.length; i++) {
		points += text.data[i] == '.';
		if (text.data[i] != '.' && !g_ascii_isdigit(text.data[i]))
			return false;
	}
	return text.length > points && points <= 1;
}

wv_msec
searcher_answer_rest(const struct message *answer)
{
	struct wv_string value;
	double seconds;
	char *text;

	if (answer->status != 503 ||
	    message_find_field(answer, "retry-after", &value) != 1 ||
	    !is_decimal(value))
		return 0;
	text = g_strndup(value.data, value.length);
	seconds = g_ascii_strtod(text, NULL);
	g_free(text);
	return fmin(seconds * 1000, MAX_REST);
}

bool
searcher_answer_cold(const struct platform_adapter *adapter,
    const struct message *answer, wv_msec *cold)
{
	struct wv_string value;
	uint64_t number;

	if (message_find_field(answer, adapter->cold, &value) != 1 ||
	    !message_parse_number(value, &number))
		return false;
	*cold = fmin((wv_msec)number, MAX_REST);
	return true;
}

/*
 * Splits a text at its commas into numbers. Returns their number, or 0 if one
 * is none or they are too many.
 */
static size_t
parse_numbers(struct wv_string text, uint32_t *numbers, size_t max)
{
	size_t n = 0, begin = 0;

	for (size_t i = 0; i <= text.length; i++) {
		struct wv_string part = {text.data + begin, i - begin};
		uint64_t number;

		if (i < text.length && text.data[i] != ',')
			continue;
		if (n == max || !message_parse_number(part, &number) ||
		    number > MAX_LOAD)
			return 0;
		numbers[n++] = (uint32_t)number;
		begin = i + 1;
	}
	return n;
}

enum load_presence
searcher_answer_load(const struct platform_adapter *adapter,
    const struct message *answer, struct wv_load_report *load)
{
	uint32_t numbers[4] = {0, 0, 0, 100};
	struct wv_string value;
	unsigned fields = message_find_field(answer, adapter->load, &value);

	if (fields == 0)
		return LOAD_ABSENT;
	if (fields > 1 ||
	    parse_numbers(value, numbers, G_N_ELEMENTS(numbers)) < 3 ||
	    numbers[2] == 0 || numbers[3] == 0)
		return LOAD_MALFORMED;
	*load = (struct wv_load_report){
	    numbers[0], numbers[1], numbers[2], numbers[3]};
	return LOAD_PRESENT;
}

bool
status_promises_not_run(unsigned status)
{
	switch (status) {
	case 408: /* Request Timeout */
	case 421: /* Misdirected Request */
	case 429: /* Too Many Requests */
	case 503: /* Service Unavailable */
		return true;
	default:
		return false;
	}
}
