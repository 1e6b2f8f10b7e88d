package operator

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Maximum values of the fields of a ticket; maximum lengths are in bytes. MaxTeamLimit applies to the rates per second
// and the concurrency of a team, MaxLedgerTokens to prepaid totals and call costs in tokens, MaxCompletionTokens to the
// completion limits of routes in tokens, and MaxTimeout to each timeout of a route. MaxKeyDigests is per team,
// MaxFallbacks per route, MaxRegions per team and per route, MaxEvacuatedZones in the whole fleet, MaxAttempts per request, MaxArtifacts per Wanted list and MaxRetiredModels per instance set.
// MaxEndpointConcurrency is in requests in flight at an endpoint, MaxLoadLimit in engines that load at the same time.
const (
	MaxNameLength          = 63
	MaxModelLength         = 128
	MaxPathPrefixLength    = 256
	MaxKeyDigests          = 16
	MaxFallbacks           = 8
	MaxRegions             = 64
	MaxEvacuatedZones      = 256
	MaxLedgerTokens        = 1_000_000_000_000_000
	MaxBodyBytes           = 64 << 20
	MaxCompletionTokens    = 1_000_000
	MaxTimeout             = 24 * time.Hour
	MaxAttempts            = 10
	MaxTeamLimit           = 1_000_000_000
	MaxWeight              = 1000
	MaxEndpointConcurrency = 100_000
	MaxArtifacts           = 64
	MaxRetiredModels       = 256
	MaxLoadLimit           = 100_000
)

// reservedPathPrefix is the path under which routers serve models; plain routes can't use it.
const reservedPathPrefix = "/v1"

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// validator checks a ticket on its own. The fold checks it against the objects of earlier tickets.
type validator struct{ *decoder }

// require records a problem with a field unless the condition is true.
func (v *validator) require(condition bool, field, message, allowed string) {
	if !condition {
		v.addProblem(v.fieldLine(field), field, message, allowed)
	}
}

// fieldLine returns the line of a field, or the line of the innermost enclosing object if the ticket lacks the field.
func (v *validator) fieldLine(field string) int {
	for field != "" {
		if line, found := v.lineByField[field]; found {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

func (v *validator) validate(t *Ticket) {
	v.require(t.Number > 0, "Number", "is missing or zero", "a whole number of at least 1, higher than the numbers of the tickets that last set its objects")
	v.require(len(t.objects()) > 0, ticketFieldPath, "touches no object", "at least one entry under Teams, Budgets, Routes or InstanceSets, or EvacuatedZones")
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
	v.validateNames(evacuatedZonesField, t.EvacuatedZones, MaxEvacuatedZones, "availability zones")
	v.requireDistinct("Teams", ".Name", mapStrings(t.Teams, func(t Team) string { return t.Name }))
	v.requireDistinct("Budgets", ".Name", mapStrings(t.Budgets, func(b Budget) string { return b.Name }))
	v.requireDistinct("Routes", ".Name", mapStrings(t.Routes, func(r Route) string { return r.Name }))
	v.requireDistinct("InstanceSets", ".Name", mapStrings(t.InstanceSets, func(s InstanceSet) string { return s.Name }))
}

func (v *validator) validateTeam(path string, t Team) {
	v.requireName(path+".Name", t.Name)
	digests := path + ".KeyDigests"
	v.require(len(t.KeyDigests) > 0 || t.Removed, digests, "is missing or empty", "1 digest or more, unless the team is removed")
	v.require(len(t.KeyDigests) <= MaxKeyDigests, digests, fmt.Sprintf("has %d digests", len(t.KeyDigests)), fmt.Sprintf("up to %d", MaxKeyDigests))
	for i, digest := range t.KeyDigests {
		// The message omits the value, which may be a secret bearer key given instead of its digest.
		v.require(digestPattern.MatchString(digest), fmt.Sprintf("%s[%d]", digests, i), "isn't a digest",
			"the SHA-256 digest of the key in 64 lower-case hexadecimal digits")
	}
	v.requireDistinct(digests, "", t.KeyDigests)
	v.validateNames(path+".Regions", t.Regions, MaxRegions, "regions")
	limits := path + ".Limits"
	requireInRange(v, limits+".RequestsPerSecond", t.Limits.RequestsPerSecond, 0, MaxTeamLimit)
	requireInRange(v, limits+".TokensPerSecond", t.Limits.TokensPerSecond, 0, MaxTeamLimit)
	requireInRange(v, limits+".Concurrency", t.Limits.Concurrency, 0, MaxTeamLimit)
	requireInRange(v, limits+".Weight", t.Limits.Weight, 0, MaxWeight)
}

func (v *validator) validateBudget(path string, b Budget) {
	v.requireName(path+".Name", b.Name)
	v.requireName(path+".Team", b.Team)
	requireInRange(v, path+".Prepaid", b.Prepaid, 0, MaxLedgerTokens)
	requireInRange(v, path+".Reserve.Share", b.Reserve.Share, 0, max(b.Prepaid, 0))
}

func (v *validator) validateRoute(path string, r Route) {
	v.requireName(path+".Name", r.Name)
	v.requireName(path+".Service", r.Service)
	v.require((r.Model == "") != (r.PathPrefix == ""), path, "has both or none of Model and PathPrefix", "exactly one of them")
	if r.Model != "" {
		v.requireText(path+".Model", r.Model, modelPattern, MaxModelLength, "letters, digits and . _ - : /")
	}
	if r.PathPrefix != "" {
		v.validatePathPrefix(path+".PathPrefix", r.PathPrefix)
	}
	v.require(len(r.Fallbacks) <= MaxFallbacks, path+".Fallbacks", fmt.Sprintf("has %d routes", len(r.Fallbacks)), fmt.Sprintf("up to %d", MaxFallbacks))
	for i, fallback := range r.Fallbacks {
		field := fmt.Sprintf("%s.Fallbacks[%d]", path, i)
		v.requireName(field, fallback)
		v.require(fallback != r.Name, field, "names the route itself", "the names of other routes")
	}
	v.requireDistinct(path+".Fallbacks", "", r.Fallbacks)
	v.validateNames(path+".Regions", r.Regions, MaxRegions, "regions")
	v.validateRouteLimits(path+".Limits", r.Limits)
}

func (v *validator) validatePathPrefix(field, prefix string) {
	if prefix != "/" {
		v.requireText(field, prefix, prefixPattern, MaxPathPrefixLength, "segments of letters, digits and . _ ~ -, each preceded by a slash, without a trailing slash")
	}
	segments := strings.Split(prefix, "/")
	v.require(!slices.Contains(segments, ".") && !slices.Contains(segments, ".."), field, "has a relative segment", "no segments . and ..")
	isReserved := prefix == reservedPathPrefix || strings.HasPrefix(prefix, reservedPathPrefix+"/")
	v.require(!isReserved, field, fmt.Sprintf("%q is reserved for models", prefix), "a path outside "+reservedPathPrefix)
}

func (v *validator) validateRouteLimits(path string, l RouteLimits) {
	requireInRange(v, path+".BodyBytes", l.BodyBytes, 0, MaxBodyBytes)
	requireInRange(v, path+".MaxTokens", l.MaxTokens, 0, MaxCompletionTokens)
	requireInRange(v, path+".DefaultMaxTokens", l.DefaultMaxTokens, 0, max(l.WithDefaults().MaxTokens, 0))
	requireInRange(v, path+".CallCost", l.CallCost, 0, ledger.Tokens(MaxLedgerTokens))
	requireInRange(v, path+".RequestTimeout", l.RequestTimeout, 0, MaxTimeout)
	requireInRange(v, path+".HeaderTimeout", l.HeaderTimeout, 0, MaxTimeout)
	requireInRange(v, path+".FirstTokenTimeout", l.FirstTokenTimeout, 0, MaxTimeout)
	requireInRange(v, path+".TokenTimeout", l.TokenTimeout, 0, MaxTimeout)
	requireInRange(v, path+".Attempts", l.Attempts, 0, MaxAttempts)
}

func (v *validator) validateInstanceSet(path string, s InstanceSet) {
	v.requireName(path+".Name", s.Name)
	for i, endpoint := range s.Endpoints {
		v.validateEndpoint(fmt.Sprintf("%s.Endpoints[%d]", path, i), endpoint)
	}
	v.validateWanted(path, s.Wanted, s.Role)
	v.validateRetiredAndLoadLimit(path, s)
	v.requireDistinct(path+".Endpoints", ".Name", mapStrings(s.Endpoints, func(e Endpoint) string { return e.Name }))
}

func (v *validator) validateEndpoint(path string, e Endpoint) {
	v.requireName(path+".Name", e.Name)
	v.requireName(path+".Service", e.Service)
	v.requireName(path+".AvailabilityZone", e.AvailabilityZone)
	v.requireName(path+".Region", e.Region)
	isKind := e.Kind == EngineEndpoint || e.Kind == PlainEndpoint
	v.require(isKind, path+".Kind", invalidValueMessage(string(e.Kind)), fmt.Sprintf("%s or %s", EngineEndpoint, PlainEndpoint))
	_, err := site.ParseAddress(e.Address)
	v.require(err == nil, path+".Address", invalidValueMessage(e.Address), "the IP address of one machine with a port, such as 10.1.2.3:8000 or [fd00::1]:8000")
	requireInRange(v, path+".Concurrency", e.Concurrency, 0, MaxEndpointConcurrency)
	v.require(len(e.Wanted) == 0 || e.Kind != PlainEndpoint, path+".Wanted", "is set for an endpoint of kind Plain", "endpoints of kind Engine")
	v.validateWanted(path, e.Wanted, e.Role)
}

// validateNames checks a list of distinct names.
func (v *validator) validateNames(list string, names []string, most int, kind string) {
	v.require(len(names) <= most, list, fmt.Sprintf("has %d %s", len(names), kind), fmt.Sprintf("up to %d", most))
	for i, name := range names {
		v.requireName(fmt.Sprintf("%s[%d]", list, i), name)
	}
	v.requireDistinct(list, "", names)
}

func (v *validator) requireName(field, name string) {
	v.requireText(field, name, namePattern, MaxNameLength, "letters, digits and . _ -, the first one a letter or digit")
}

func (v *validator) requireText(field, text string, pattern *regexp.Regexp, maxLength int, allowed string) {
	matches := pattern.MatchString(text) && len(text) <= maxLength
	v.require(matches, field, invalidValueMessage(text), fmt.Sprintf("1 to %d characters: %s", maxLength, allowed))
}

// requireDistinct records a problem for each repeated value in a list; suffix is the path from a list element to the
// value.
func (v *validator) requireDistinct(list, suffix string, values []string) {
	firstIndex := make(map[string]int)
	for i, value := range values {
		if j, found := firstIndex[value]; found {
			v.addProblem(v.fieldLine(fmt.Sprintf("%s[%d]%s", list, i, suffix)), fmt.Sprintf("%s[%d]%s", list, i, suffix),
				fmt.Sprintf("is the same as %s[%d]%s", list, j, suffix), "each one once")
			continue
		}
		firstIndex[value] = i
	}
}

// requireInRange records a problem unless the value is between minimum and maximum, both inclusive.
func requireInRange[N cmp.Ordered](v *validator, field string, value, minimum, maximum N) {
	v.require(value >= minimum && value <= maximum, field, fmt.Sprintf("%v is out of bounds", value), fmt.Sprintf("%v to %v", minimum, maximum))
}

func invalidValueMessage(value string) string {
	if value == "" {
		return "is missing or empty"
	}
	return fmt.Sprintf("%q isn't allowed", truncated(value))
}

func mapStrings[T any](values []T, name func(T) string) []string {
	names := make([]string, 0, len(values))
	for _, value := range values {
		names = append(names, name(value))
	}
	return names
}
