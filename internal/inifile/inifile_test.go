package inifile_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/inifile"
)

// TestRoundTrip checks that parsing the normal form of a section yields the same section.
func TestRoundTrip(t *testing.T) {
	sections, found := inifile.Parse("f", []byte("; comment\n[target a]\nkey = value ; note\nlist = x, y\n\n[fleet]\nn = 1\n"))
	require.NoError(t, found.Err())
	require.Len(t, sections, 2)
	again, found := inifile.Parse("f", []byte(sections[0].Text()))
	require.NoError(t, found.Err())
	require.Equal(t, sections[0].Text(), again[0].Text())
	k, ok := again[0].Lookup("list")
	require.True(t, ok)
	require.Equal(t, "x, y", k.Value())
	require.Equal(t, 3, k.Line())
}

// FuzzParse checks that no input makes Parse, Text or Decode panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[a b]\nc = d\n"))
	f.Add([]byte("c\n[\n]=\n[x]\n=\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		sections, _ := inifile.Parse("f", data)
		for _, s := range sections {
			_ = s.Text()
			var v struct {
				D inifile.Bytes  `ini:"d"`
				P []inifile.Peer `ini:"p"`
			}
			inifile.Decode(s, &v)
		}
	})
}
