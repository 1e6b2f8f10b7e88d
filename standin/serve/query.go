package serve

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Query parses the parameters of a control request. Err keeps the first parse error. A missing parameter has the zero value.
type Query struct {
	Values url.Values
	Err    error
}

// Bool parses a boolean.
func (q *Query) Bool(name string) bool {
	return parseParameter(q, name, strconv.ParseBool)
}

// Int parses an integer.
func (q *Query) Int(name string) int {
	return parseParameter(q, name, strconv.Atoi)
}

// Unsigned parses a non-negative integer.
func (q *Query) Unsigned(name string) uint64 {
	return parseParameter(q, name, func(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) })
}

// Fraction parses a number from 0 to 1.
func (q *Query) Fraction(name string) float64 {
	return parseParameter(q, name, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && (value < 0 || value > 1) {
			err = fmt.Errorf("not between 0 and 1")
		}
		return value, err
	})
}

// Float parses a non-negative number.
func (q *Query) Float(name string) float64 {
	return parseParameter(q, name, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && value < 0 {
			err = fmt.Errorf("negative")
		}
		return value, err
	})
}

// Duration parses a duration such as 5s.
func (q *Query) Duration(name string) time.Duration {
	return parseParameter(q, name, time.ParseDuration)
}

func parseParameter[T any](q *Query, name string, parseText func(string) (T, error)) T {
	var zero T
	text := q.Values.Get(name)
	if text == "" || q.Err != nil {
		return zero
	}
	value, err := parseText(text)
	if err != nil {
		q.Err = fmt.Errorf("parameter %s: %w", name, err)
		return zero
	}
	return value
}

// ControlHandler returns a handler that changes settings. The function read parses all parameters and returns the
// function that applies the change; apply is called only if every parameter is valid.
func ControlHandler(read func(*Query) (apply func())) http.HandlerFunc {
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
