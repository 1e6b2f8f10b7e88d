package endpoint

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

const (
	// MinRateLimit is the lowest rate, in requests a second, that an endpoint is taken to name. At a rate of zero no router would ever
	// learn that the limit has ended.
	MinRateLimit = 1.0 / 60
	// MaxRateLimit is the rate above which a limit is taken for none. No service gets more requests.
	MaxRateLimit = 1e6
)

// ErrRateLimit is the error of a rate limit that is no decimal number, or a negative one.
var ErrRateLimit = errors.New("rate limit is no decimal number from zero on")

// ParseRateLimit returns the rate that an endpoint names in a header, in requests a second. It returns zero, which stands for no limit,
// for an empty value and for rates above MaxRateLimit, infinite ones included. Rates below MinRateLimit, zero included, are raised to it.
func ParseRateLimit(value string) (float64, error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return 0, nil
	}
	rate, err := strconv.ParseFloat(value, 64)
	if isRangeError := err != nil && math.IsInf(rate, 1); err != nil && !isRangeError || math.IsNaN(rate) || rate < 0 {
		return 0, ErrRateLimit
	}
	if rate > MaxRateLimit {
		return 0, nil
	}
	return max(rate, MinRateLimit), nil
}
