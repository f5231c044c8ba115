// Package jsonsplit splits JSON objects and arrays into their undecoded parts. A part that cannot be
// decoded, for example since it is nested too deeply for encoding/json, leaves the others readable.
// The package looks at brackets, commas and strings only: whether a part is sound JSON is for the
// decoder of that part to say.
package jsonsplit

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// whitespace holds the bytes that JSON allows between its tokens.
const whitespace = " \t\r\n"

// errUnbalanced is returned for a value whose brackets or strings do not end.
var errUnbalanced = errors.New("brackets or strings of the JSON value do not end")

// Array returns the elements of a JSON array.
func Array(data []byte) ([]json.RawMessage, error) {
	return split(data, '[', ']')
}

// Object returns the members of a JSON object by name. Of members with the same name it returns the
// last one, as encoding/json does.
func Object(data []byte) (map[string]json.RawMessage, error) {
	parts, err := split(data, '{', '}')
	if err != nil {
		return nil, err
	}
	members := make(map[string]json.RawMessage, len(parts))
	for _, part := range parts {
		name, value, err := member(part)
		if err != nil {
			return nil, err
		}
		members[name] = value
	}
	return members, nil
}

// member splits a member of an object into its name and its value.
func member(part []byte) (string, json.RawMessage, error) {
	if len(part) == 0 || part[0] != '"' {
		return "", nil, errors.New("member of a JSON object has no name")
	}
	end, err := stringEnd(part, 0)
	if err != nil {
		return "", nil, err
	}
	var name string
	if err := json.Unmarshal(part[:end], &name); err != nil {
		return "", nil, errors.Wrap(err, "name of a member of a JSON object")
	}
	rest := bytes.TrimLeft(part[end:], whitespace)
	if len(rest) == 0 || rest[0] != ':' {
		return "", nil, errors.New("member of a JSON object has no value")
	}
	return name, bytes.Trim(rest[1:], whitespace), nil
}

// split returns what stands between the commas of an object or array that is all of data. It takes
// time proportional to the size of data, and memory proportional to the number of parts.
func split(data []byte, opening, closing byte) ([]json.RawMessage, error) {
	data = bytes.Trim(data, whitespace)
	if len(data) < 2 || data[0] != opening || data[len(data)-1] != closing {
		return nil, errors.Errorf("JSON value does not begin with %q and end with %q", opening, closing)
	}
	inner := bytes.Trim(data[1:len(data)-1], whitespace)
	if len(inner) == 0 {
		return nil, nil
	}
	var parts []json.RawMessage
	depth, start := 0, 0
	for i := 0; i < len(inner); i++ {
		switch inner[i] {
		case '"':
			end, err := stringEnd(inner, i)
			if err != nil {
				return nil, err
			}
			i = end - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return nil, errUnbalanced
			}
		case ',':
			if depth == 0 {
				parts = append(parts, bytes.Trim(inner[start:i], whitespace))
				start = i + 1
			}
		}
	}
	if depth != 0 {
		return nil, errUnbalanced
	}
	return append(parts, bytes.Trim(inner[start:], whitespace)), nil
}

// stringEnd returns the index after the string that begins at start.
func stringEnd(data []byte, start int) (int, error) {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, errUnbalanced
}
