package inifile_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/inifile"
)

// TestSizes guards against a size that is too large for its type being read as another one.
func TestSizes(t *testing.T) {
	for text, want := range map[string]inifile.Bytes{
		"0B": 0, "64KiB": 64 << 10, "8MiB": 8 << 20, "8589934591GiB": 8589934591 << 30,
	} {
		got, err := decodeSize(text)
		require.NoError(t, err, text)
		require.Equal(t, want, got, text)
	}
	for _, text := range []string{"8589934592GiB", "9223372036854775807KiB", "17179869184GiB", "99999999999999999999B", "-1B", "8", "MiB"} {
		_, err := decodeSize(text)
		require.Error(t, err, text)
	}
}

func decodeSize(text string) (inifile.Bytes, error) {
	var out struct {
		Size inifile.Bytes `ini:"size"`
	}
	sections, found := inifile.Parse("test", []byte("[s]\nsize = "+text+"\n"))
	if err := found.Err(); err != nil {
		return 0, err
	}
	decoded := inifile.Decode(sections[0], &out)
	return out.Size, decoded.Err()
}
