/**
 * @file
 * Validation of JSON texts beyond that of json-glib's parser.
 */
#include "src/private.h"
#include "wisteriavane/json_text.h"

/* Returns the index after the string that starts at index i. */
static size_t
skip_string(struct wv_string text, size_t i)
{
	for (i++; i < text.length && text.data[i] != '"'; i++) {
		if (text.data[i] == '\\')
			i++;
	}
	return i + 1;
}

/* Returns the index after the first object or array of the text. */
static size_t
skip_first_value(struct wv_string text)
{
	size_t depth = 0, i = 0;

	while (i < text.length) {
		char c = text.data[i];

		if (c == '"') {
			i = skip_string(text, i);
			continue;
		}
		i++;
		if (c == '{' || c == '[')
			depth++;
		else if ((c == '}' || c == ']') && (depth == 0 || --depth == 0))
			break;
	}
	return i;
}

bool
wv_json_text_is_single(struct wv_string text)
{
	for (size_t i = skip_first_value(text); i < text.length; i++) {
		if (!g_ascii_isspace(text.data[i]))
			return false;
	}
	return true;
}
