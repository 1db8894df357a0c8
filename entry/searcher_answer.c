/**
 * @file
 * What a searcher's answer proves about the run of a request.
 */
#include "entry/searcher_answer.h"

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
