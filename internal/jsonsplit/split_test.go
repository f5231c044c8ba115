package jsonsplit_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/jsonsplit"
)

// TestArray checks that elements are found whatever they hold.
func TestArray(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for name, want := range map[string][]string{
		"none":                 {},
		"numbers":              {"1", "1e999", "-0"},
		"brackets in strings":  {`"]"`, `{"a":"}],["}`, `"\"]"`, `"\\"`},
		"nested":               {`{"a":[1,{"b":2}]}`, "[]", "{}"},
		"nested deeply":        {`{"a":1}`, deep, `{"a":2}`},
		"no JSON":              {"\xff\xfe", "nil", `{"a"}`},
		"an element too many":  {"1", ""},
		"brackets that differ": {`{"a":1]`, "2"},
	} {
		got, err := jsonsplit.Array([]byte(" [ " + strings.Join(want, " ,\n") + "]\n"))
		require.NoError(t, err, name)
		require.Len(t, got, len(want), name)
		for i := range want {
			require.Equal(t, want[i], string(got[i]), name)
		}
	}
}

// TestUnbalanced checks that a value which does not end where it should is refused.
func TestUnbalanced(t *testing.T) {
	for _, text := range []string{"", "[", "]", "{}", "[1", "[1]]", "[[1]", `["a]`, "[1] 2", `["\"]`, "[1],[2]"} {
		_, err := jsonsplit.Array([]byte(text))
		require.Error(t, err, text)
	}
	for _, text := range []string{"", "{", "[]", `{"a":1`, `{a:1}`, `{"a"}`, `{"a" 1}`, `{"a":1,}`, `{"a":1}}`, `{"\x":1}`} {
		_, err := jsonsplit.Object([]byte(text))
		require.Error(t, err, text)
	}
}

// FuzzSplit checks that sound JSON gives the parts that encoding/json gives.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[1,"a",{"b":[2]}]`, `{"a":1,"b":{"c":"}"},"a":2}`, `[]`, `{}`, `["\u005d]"]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var array []json.RawMessage
		if json.Unmarshal(data, &array) == nil && array != nil {
			got, err := jsonsplit.Array(data)
			require.NoError(t, err)
			require.Equal(t, fmt.Sprintf("%s", array), fmt.Sprintf("%s", got))
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(data, &object) == nil && object != nil {
			got, err := jsonsplit.Object(data)
			require.NoError(t, err)
			require.Equal(t, fmt.Sprintf("%s", object), fmt.Sprintf("%s", got))
		}
	})
}
