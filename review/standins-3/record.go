package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the file that says what was sent, run and answered.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Write adds a line with the time in seconds.
func (r *Record) Write(words ...any) {
	line := fmt.Sprintln(words...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), strings.TrimRight(line, "\n"))
}

// Say adds a line and prints it.
func (r *Record) Say(words ...any) {
	r.Write(words...)
	fmt.Println(words...)
}
