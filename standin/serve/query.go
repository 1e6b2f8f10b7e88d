package serve

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Query reads the parameters of a control request. The first one that can't be read stays in Err;
// a parameter that is left out is zero.
type Query struct {
	Values url.Values
	Err    error
}

// Bool reads true or false.
func (q *Query) Bool(name string) bool {
	return parse(q, name, strconv.ParseBool)
}

// Int reads a whole number.
func (q *Query) Int(name string) int {
	return parse(q, name, strconv.Atoi)
}

// Unsigned reads a whole number that is not negative.
func (q *Query) Unsigned(name string) uint64 {
	return parse(q, name, func(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) })
}

// Fraction reads a number from 0 to 1.
func (q *Query) Fraction(name string) float64 {
	return parse(q, name, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && (value < 0 || value > 1) {
			err = fmt.Errorf("not between 0 and 1")
		}
		return value, err
	})
}

// Float reads a number that is not negative.
func (q *Query) Float(name string) float64 {
	return parse(q, name, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && value < 0 {
			err = fmt.Errorf("negative")
		}
		return value, err
	})
}

// Duration reads a duration such as 5s.
func (q *Query) Duration(name string) time.Duration {
	return parse(q, name, time.ParseDuration)
}

func parse[T any](q *Query, name string, read func(string) (T, error)) T {
	var zero T
	text := q.Values.Get(name)
	if text == "" || q.Err != nil {
		return zero
	}
	value, err := read(text)
	if err != nil {
		q.Err = fmt.Errorf("parameter %s: %w", name, err)
		return zero
	}
	return value
}

// Control turns a change of settings into a handler: it reads all parameters first, and applies the
// change only if they could be read.
func Control(read func(*Query) (apply func())) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := &Query{Values: r.URL.Query()}
		apply := read(query)
		if query.Err != nil {
			WriteError(w, http.StatusBadRequest, query.Err)
			return
		}
		apply()
		w.WriteHeader(http.StatusNoContent)
	}
}
