package gateway

import (
	"errors"
	"time"

	"github.com/apex/log"
)

const (
	// oddEntryLogInterval is the minimum time between two log lines about the entry of one key, maxOddEntryLines the
	// maximum number of lines in such a time.
	oddEntryLogInterval = 1 * time.Minute
	maxOddEntryLines    = 64
	// maxOddEntryErrorBytes bounds the error in such a line, which may quote the entry.
	maxOddEntryErrorBytes = 300
)

// oddEntryLog logs entries that can't be decoded. The zero value has logged none.
type oddEntryLog struct {
	loggedAt map[string]time.Time
}

// warn logs an entry that can't be decoded, unless its key was logged recently or there are too many such entries.
func (l *oddEntryLog) warn(logger log.Interface, now time.Time, key string, err error) {
	for logged, at := range l.loggedAt {
		if now.Sub(at) >= oddEntryLogInterval {
			delete(l.loggedAt, logged)
		}
	}
	if _, ok := l.loggedAt[key]; ok || len(l.loggedAt) >= maxOddEntryLines {
		return
	}
	if l.loggedAt == nil {
		l.loggedAt = make(map[string]time.Time)
	}
	l.loggedAt[key] = now
	if message := err.Error(); len(message) > maxOddEntryErrorBytes {
		err = errors.New(message[:maxOddEntryErrorBytes])
	}
	logger.WithField(fieldEndpoint, key).WithError(err).Warn("cannot decode an endpoint's entry; it names no endpoint to use")
}
