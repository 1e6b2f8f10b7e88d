package operator

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Bounds of the fields of a ticket.
const (
	MaxNameLength        = 63
	MaxModelLength       = 128
	MaxPathPrefixLength  = 256
	MaxKeyDigests        = 16
	MaxFallbacks         = 8
	MaxTokens            = 1_000_000_000_000_000
	MaxBodyBytes         = 64 << 20
	MaxCompletionTokens  = 1_000_000
	MaxTimeout           = 24 * time.Hour
	MaxAttempts          = 10
	MaxTeamRate          = 1_000_000_000
	MaxWeight            = 1000
	MaxEndpointInFlights = 100_000
	MaxArtifacts         = 64
	MaxRetired           = 256
	MaxLoadLimit         = 100_000
)

// reservedPrefix is the path under which routers serve models.
const reservedPrefix = "/v1"

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// validator checks the fields of a ticket one by one; what needs other tickets is checked by the fold.
type validator struct{ *decoder }

// require reports a field unless a condition holds.
func (v *validator) require(holds bool, field, message, allowed string) {
	if !holds {
		v.report(v.lineOf(field), field, message, allowed)
	}
}

// lineOf returns the line of a field, or that of the nearest object around it.
func (v *validator) lineOf(field string) int {
	for field != "" {
		if line, found := v.lines[field]; found {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

func (v *validator) validate(t *Ticket) {
	v.require(t.Number > 0, "Number", "is missing or zero", "a whole number from 1 on, higher than that of every object of the ticket")
	v.require(len(t.objects()) > 0, ticketFieldPath, "touches no object", "at least one entry under Teams, Budgets, Routes or InstanceSets")
	for i, team := range t.Teams {
		v.validateTeam(fmt.Sprintf("Teams[%d]", i), team)
	}
	for i, budget := range t.Budgets {
		v.validateBudget(fmt.Sprintf("Budgets[%d]", i), budget)
	}
	for i, route := range t.Routes {
		v.validateRoute(fmt.Sprintf("Routes[%d]", i), route)
	}
	for i, set := range t.InstanceSets {
		v.validateInstanceSet(fmt.Sprintf("InstanceSets[%d]", i), set)
	}
	v.distinct("Teams", ".Name", namesOf(t.Teams, func(t Team) string { return t.Name }))
	v.distinct("Budgets", ".Name", namesOf(t.Budgets, func(b Budget) string { return b.Name }))
	v.distinct("Routes", ".Name", namesOf(t.Routes, func(r Route) string { return r.Name }))
	v.distinct("InstanceSets", ".Name", namesOf(t.InstanceSets, func(s InstanceSet) string { return s.Name }))
}

func (v *validator) validateTeam(path string, t Team) {
	v.name(path+".Name", t.Name)
	digests := path + ".KeyDigests"
	v.require(len(t.KeyDigests) > 0 || t.Removed, digests, "is missing or empty", "1 digest or more, unless the team is removed")
	v.require(len(t.KeyDigests) <= MaxKeyDigests, digests, fmt.Sprintf("has %d digests", len(t.KeyDigests)), fmt.Sprintf("up to %d", MaxKeyDigests))
	for i, digest := range t.KeyDigests {
		// The message doesn't repeat the value: it may be a key that was put in place of its digest.
		v.require(digestPattern.MatchString(digest), fmt.Sprintf("%s[%d]", digests, i), "isn't a digest",
			"the SHA-256 digest of the key in 64 lower-case hexadecimal digits")
	}
	v.distinct(digests, "", t.KeyDigests)
	limits := path + ".Limits"
	between(v, limits+".RequestsPerSecond", t.Limits.RequestsPerSecond, 0, MaxTeamRate)
	between(v, limits+".TokensPerSecond", t.Limits.TokensPerSecond, 0, MaxTeamRate)
	between(v, limits+".Concurrency", t.Limits.Concurrency, 0, MaxTeamRate)
	between(v, limits+".Weight", t.Limits.Weight, 0, MaxWeight)
}

func (v *validator) validateBudget(path string, b Budget) {
	v.name(path+".Name", b.Name)
	v.name(path+".Team", b.Team)
	between(v, path+".Prepaid", b.Prepaid, 0, MaxTokens)
	between(v, path+".Reserve.Share", b.Reserve.Share, 0, max(b.Prepaid, 0))
}

func (v *validator) validateRoute(path string, r Route) {
	v.name(path+".Name", r.Name)
	v.name(path+".Service", r.Service)
	v.require((r.Model == "") != (r.PathPrefix == ""), path, "has both or none of Model and PathPrefix", "exactly one of them")
	if r.Model != "" {
		v.text(path+".Model", r.Model, modelPattern, MaxModelLength, "letters, digits and . _ - : /")
	}
	if r.PathPrefix != "" {
		v.pathPrefix(path+".PathPrefix", r.PathPrefix)
	}
	v.require(len(r.Fallbacks) <= MaxFallbacks, path+".Fallbacks", fmt.Sprintf("has %d routes", len(r.Fallbacks)), fmt.Sprintf("up to %d", MaxFallbacks))
	for i, fallback := range r.Fallbacks {
		field := fmt.Sprintf("%s.Fallbacks[%d]", path, i)
		v.name(field, fallback)
		v.require(fallback != r.Name, field, "names the route itself", "the names of other routes")
	}
	v.distinct(path+".Fallbacks", "", r.Fallbacks)
	v.validateLimits(path+".Limits", r.Limits)
}

func (v *validator) pathPrefix(field, prefix string) {
	if prefix != "/" {
		v.text(field, prefix, prefixPattern, MaxPathPrefixLength, "segments of letters, digits and . _ ~ - behind a slash each, without a slash at the end")
	}
	segments := strings.Split(prefix, "/")
	v.require(!slices.Contains(segments, ".") && !slices.Contains(segments, ".."), field, "has a relative segment", "no segments . and ..")
	reserved := prefix == reservedPrefix || strings.HasPrefix(prefix, reservedPrefix+"/")
	v.require(!reserved, field, fmt.Sprintf("%q is reserved for models", prefix), "a path outside "+reservedPrefix)
}

func (v *validator) validateLimits(path string, l RouteLimits) {
	between(v, path+".BodyBytes", l.BodyBytes, 0, MaxBodyBytes)
	between(v, path+".MaxTokens", l.MaxTokens, 0, MaxCompletionTokens)
	between(v, path+".DefaultMaxTokens", l.DefaultMaxTokens, 0, max(l.WithDefaults().MaxTokens, 0))
	between(v, path+".CallCost", l.CallCost, 0, ledger.Tokens(MaxTokens))
	between(v, path+".RequestTimeout", l.RequestTimeout, 0, MaxTimeout)
	between(v, path+".HeaderTimeout", l.HeaderTimeout, 0, MaxTimeout)
	between(v, path+".FirstTokenTimeout", l.FirstTokenTimeout, 0, MaxTimeout)
	between(v, path+".TokenTimeout", l.TokenTimeout, 0, MaxTimeout)
	between(v, path+".Attempts", l.Attempts, 0, MaxAttempts)
}

func (v *validator) validateInstanceSet(path string, s InstanceSet) {
	v.name(path+".Name", s.Name)
	for i, endpoint := range s.Endpoints {
		v.validateEndpoint(fmt.Sprintf("%s.Endpoints[%d]", path, i), endpoint)
	}
	v.validateWanted(path, s.Wanted, s.Role)
	v.validateRetired(path, s)
	v.distinct(path+".Endpoints", ".Name", namesOf(s.Endpoints, func(e Endpoint) string { return e.Name }))
}

func (v *validator) validateEndpoint(path string, e Endpoint) {
	v.name(path+".Name", e.Name)
	v.name(path+".Service", e.Service)
	v.name(path+".AvailabilityZone", e.AvailabilityZone)
	v.name(path+".Region", e.Region)
	isKind := e.Kind == EngineEndpoint || e.Kind == PlainEndpoint
	v.require(isKind, path+".Kind", quoted(string(e.Kind)), fmt.Sprintf("%s or %s", EngineEndpoint, PlainEndpoint))
	address, err := netip.ParseAddrPort(e.Address)
	usable := err == nil && address.Port() > 0 && address.Addr().Zone() == "" &&
		!address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
	v.require(usable, path+".Address", quoted(e.Address), "the IP address of one machine with a port, such as 10.1.2.3:8000 or [fd00::1]:8000")
	between(v, path+".Concurrency", e.Concurrency, 0, MaxEndpointInFlights)
	v.require(len(e.Wanted) == 0 || e.Kind != PlainEndpoint, path+".Wanted", "stands at an endpoint of kind Plain", "endpoints of kind Engine")
	v.validateWanted(path, e.Wanted, e.Role)
}

func (v *validator) name(field, name string) {
	v.text(field, name, namePattern, MaxNameLength, "letters, digits and . _ -, the first one a letter or digit")
}

func (v *validator) text(field, text string, pattern *regexp.Regexp, longest int, allowed string) {
	fits := pattern.MatchString(text) && len(text) <= longest
	v.require(fits, field, quoted(text), fmt.Sprintf("1 to %d characters: %s", longest, allowed))
}

// distinct requires that no value stands twice in a list; suffix leads from an element to the value's field.
func (v *validator) distinct(list, suffix string, values []string) {
	first := make(map[string]int)
	for i, value := range values {
		if j, found := first[value]; found {
			v.report(v.lineOf(fmt.Sprintf("%s[%d]%s", list, i, suffix)), fmt.Sprintf("%s[%d]%s", list, i, suffix),
				fmt.Sprintf("is the same as %s[%d]%s", list, j, suffix), "each one once")
			continue
		}
		first[value] = i
	}
}

// between requires that a number lies between two bounds.
func between[N cmp.Ordered](v *validator, field string, value, lowest, highest N) {
	v.require(value >= lowest && value <= highest, field, fmt.Sprintf("%v is out of bounds", value), fmt.Sprintf("%v to %v", lowest, highest))
}

func quoted(value string) string {
	if value == "" {
		return "is missing or empty"
	}
	return fmt.Sprintf("%q isn't allowed", shortened(value))
}

func namesOf[T any](values []T, name func(T) string) []string {
	names := make([]string, 0, len(values))
	for _, value := range values {
		names = append(names, name(value))
	}
	return names
}
