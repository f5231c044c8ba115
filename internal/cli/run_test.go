package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckFindsAddressesUsedTwice guards against settings files that use one address, however it is written and
// whatever for, and against findings on addresses that may belong to different machines.
func TestCheckFindsAddressesUsedTwice(t *testing.T) {
	const settings = "[instance]\nname = %s\nfailure-domain = a\nroles = entry\ncredentials = c\n[listen]\ncallers = %s\npeers = %s:7100\nhealth = %s\n[control]\nreplicas = r@10.0.0.9:7100\n"
	for name, c := range map[string]struct {
		callers, health string // of the second file; the first listens at 10.0.0.1:8100 and 10.0.0.1:8200
		conflict        bool
	}{
		"none":          {"10.0.0.2:8100", "10.0.0.2:8200", false},
		"equal":         {"10.0.0.1:8100", "10.0.0.2:8200", true},
		"another key":   {"10.0.0.1:8200", "10.0.0.2:8200", true},
		"other text":    {"[::ffff:10.0.0.1]:8100", "10.0.0.2:8200", true},
		"any address":   {"0.0.0.0:8100", "10.0.0.2:8200", false},
		"another port":  {"10.0.0.1:8101", "10.0.0.2:8200", false},
		"as for health": {"10.0.0.2:8100", "10.0.0.1:8100", true},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			write := func(file, text string) string {
				path := filepath.Join(folder, file)
				require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
				return path
			}
			first := write("first.ini", fmt.Sprintf(settings, "first", "10.0.0.1:8100", "10.0.0.1", "10.0.0.1:8200"))
			second := write("second.ini", fmt.Sprintf(settings, "second", c.callers, "10.0.0.2", c.health))
			found, err := checkFiles([]string{first, second})
			require.NoError(t, err)
			if c.conflict {
				require.ErrorContains(t, found.Err(), "already used by")
			} else {
				require.NoError(t, found.Err())
			}
		})
	}
}
