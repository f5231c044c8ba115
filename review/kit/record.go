package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in order of time.
type record struct {
	begun time.Time
	mu    sync.Mutex // guards file
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file}, nil
}

// since returns the time since the begin of the record.
func (r *record) since() time.Duration { return time.Since(r.begun) }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}
