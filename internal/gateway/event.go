package gateway

import (
	"bytes"
	"strconv"
)

// eventNumber returns the number in the field id of an event. It reports false if the event
// has no such field or the field is not a number.
func eventNumber(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
