/**
 * @file
 * Validation of JSON texts beyond that of json-glib's parser, and access to
 * parts of texts that it rejects.
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
	return MIN(i + 1, text.length);
}

static size_t
skip_space(struct wv_string text, size_t i)
{
	while (i < text.length && g_ascii_isspace(text.data[i]))
		i++;
	return i;
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

bool
wv_json_text_is_shallow(struct wv_string text, unsigned max_depth)
{
	unsigned depth = 0;
	size_t i = 0;

	while (i < text.length) {
		char c = text.data[i];

		if (c == '"') {
			i = skip_string(text, i);
			continue;
		}
		i++;
		if ((c == '{' || c == '[') && ++depth > max_depth)
			return false;
		if ((c == '}' || c == ']') && depth > 0)
			depth--;
	}
	return true;
}

/*
 * Returns the index after text that is no JSON value: it ends at a comma or a
 * bracket that closes what it stands in. Those in strings and brackets of its
 * own don't count.
 */
static size_t
skip_token(struct wv_string text, size_t i)
{
	size_t depth = 0;

	while (i < text.length) {
		char c = text.data[i];

		if (depth == 0 && (c == ',' || c == ']' || c == '}'))
			break;
		if (c == '"') {
			i = skip_string(text, i);
			continue;
		}
		if (c == '{' || c == '[')
			depth++;
		else if (c == '}' || c == ']')
			depth--;
		i++;
	}
	return i;
}

/* Returns the index after the value that starts at index i. */
static size_t
skip_value(struct wv_string text, size_t i)
{
	char c = i < text.length ? text.data[i] : '\0';
	struct wv_string rest = {text.data + i, text.length - i};

	if (c == '"')
		return skip_string(text, i);
	if (c == '{' || c == '[')
		return i + skip_first_value(rest);
	return skip_token(text, i);
}

/* Returns whether the text has a character at an index. */
static bool
has_char(struct wv_string text, size_t i, char c)
{
	return i < text.length && text.data[i] == c;
}

bool
wv_json_text_find_member(
    struct wv_string object, const char *name, struct wv_string *value)
{
	size_t i = skip_space(object, 0);
	bool found = false;

	if (!has_char(object, i, '{'))
		return false;
	do {
		struct wv_string key;
		size_t start = skip_space(object, i + 1);

		if (!has_char(object, start, '"'))
			return false;
		i = skip_string(object, start);
		key.data = object.data + start + 1;
		key.length = i - start - MIN(i - start, 2);
		i = skip_space(object, i);
		if (!has_char(object, i, ':'))
			return false;
		start = skip_space(object, i + 1);
		i = skip_value(object, start);
		if (wv_string_equal(key, wv_string_borrow(name))) {
			value->data = object.data + start;
			value->length = i - start;
			found = true;
		}
		i = skip_space(object, i);
	} while (has_char(object, i, ','));
	return found && has_char(object, i, '}');
}

bool
wv_json_text_next_element(
    struct wv_string array, size_t *at, struct wv_string *element)
{
	size_t start = skip_space(array, *at);

	if (!has_char(array, start, *at == 0 ? '[' : ','))
		return false;
	start = skip_space(array, start + 1);
	*at = skip_value(array, start);
	element->data = array.data + start;
	element->length = *at - start;
	return element->length > 0;
}

bool
wv_json_text_is_array(struct wv_string text)
{
	struct wv_string element;
	size_t at = 0;

	while (wv_json_text_next_element(text, &at, &element))
		;
	return has_char(text, skip_space(text, at), ']');
}
