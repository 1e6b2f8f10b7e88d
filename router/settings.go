package main

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// Settings are the flags and environment variables of the router. There is no settings file.
type Settings struct {
	Listen           string `help:"Listen address (IP and port) for callers." env:"DRAGONFLY_LISTEN" default:"127.0.0.1:8080"`
	AdminListen      string `help:"Listen address (IP and port) for operators." env:"DRAGONFLY_ADMIN_LISTEN" default:"127.0.0.1:8081"`
	Platform         string `help:"Base URL of the platform's log and instance list; its host must be an IP address." env:"DRAGONFLY_PLATFORM" required:""`
	Instance         string `help:"Name of this instance, unique within the site." env:"DRAGONFLY_INSTANCE" required:""`
	Region           string `help:"Region of this instance." env:"DRAGONFLY_REGION" required:""`
	AvailabilityZone string `help:"Availability zone of this instance." env:"DRAGONFLY_AVAILABILITY_ZONE" required:""`

	PeerListen     string `help:"Listen address (IP and UDP port) for other routers, for example to receive copies of their ledger records; empty disables connections between routers." env:"DRAGONFLY_PEER_LISTEN"`
	TLSCertificate string `help:"PEM file with this instance's certificate; its first DNS name must be the instance name." env:"DRAGONFLY_TLS_CERTIFICATE"`
	TLSKey         string `help:"PEM file with the certificate's private key." env:"DRAGONFLY_TLS_KEY"`
	TLSAuthority   string `help:"PEM file with the site's certificate authority." env:"DRAGONFLY_TLS_AUTHORITY"`

	Lease                 time.Duration `help:"Lease duration: time without a record in the log after which a router may no longer spend from its working shares." env:"DRAGONFLY_LEASE" default:"10s"`
	LeaseMargin           time.Duration `help:"Time that other routers wait beyond the lease before they fence an unresponsive router." env:"DRAGONFLY_LEASE_MARGIN" default:"2s"`
	FleetAppendsPerSecond float64       `help:"Maximum number of appends per second of the whole fleet, divided equally among the routers." env:"DRAGONFLY_FLEET_APPENDS_PER_SECOND" default:"240"`
	SnapshotInterval      time.Duration `help:"Mean time between two snapshots, across the whole fleet, of each of the ledger, the configuration and the orders." env:"DRAGONFLY_SNAPSHOT_INTERVAL" default:"10m"`

	HeaderBytes int           `help:"Maximum size of the headers of a request, in bytes." env:"DRAGONFLY_HEADER_BYTES" default:"16384"`
	Memory      int64         `help:"Memory that the router may take, in MiB; 0 for half of the machine's. Bodies of requests, heads and connections that exceed their parts of it are refused." env:"DRAGONFLY_MEMORY" default:"0"`
	Sockets     int           `help:"Maximum number of sockets, of which callers may have three quarters; 0 for what the limit on open files allows." env:"DRAGONFLY_SOCKETS" default:"0"`
	BodyTimeout time.Duration `help:"Maximum time to receive the body of a request." env:"DRAGONFLY_BODY_TIMEOUT" default:"10s"`

	DrainDelay   time.Duration `help:"Time after SIGTERM during which new requests are still accepted, so that the balancer can notice that the router is not ready." env:"DRAGONFLY_DRAIN_DELAY" default:"5s"`
	DrainMaximum time.Duration `help:"Maximum time for requests in progress to finish after the drain delay." env:"DRAGONFLY_DRAIN_MAXIMUM" default:"3m"`

	LogFormat string `help:"Log format: json or text." env:"DRAGONFLY_LOG_FORMAT" default:"json"`
	LogLevel  string `help:"Minimum log level: debug, info, warn or error." env:"DRAGONFLY_LOG_LEVEL" default:"info"`
	Version   bool   `help:"Print the version and exit."`
}

// settingsErrors is the errorx namespace of errors about settings.
//
//nolint:gochecknoglobals // an errorx namespace is a constant that Go can't declare as one
var settingsErrors = errorx.NewNamespace("settings")

// errNotAllowed is the error type for a flag whose value is not allowed.
//
//nolint:gochecknoglobals // an errorx type is a constant that Go can't declare as one
var errNotAllowed = settingsErrors.NewType("not_allowed")

// settingCheck is the result of validating the value of a flag, with a description of the allowed values.
type settingCheck struct {
	flag    string
	value   any
	valid   bool
	allowed string
}

// Check returns an error for the first flag whose value is not allowed. The error names the flag, its value and the allowed
// values.
func (s *Settings) Check() error {
	for _, c := range s.checks() {
		if !c.valid {
			return errNotAllowed.New("--%s is %q; allowed: %s", c.flag, fmt.Sprint(c.value), c.allowed)
		}
	}
	return nil
}

// Bounds of the settings. The bounds catch values with a wrong unit, such as a snapshot interval of 10ms instead of 10m.
const (
	leaseMinimum            = time.Second
	leaseMarginMinimum      = 500 * time.Millisecond
	leaseMaximum            = 5 * time.Minute
	appendsMaximum          = 100_000
	snapshotIntervalMinimum = time.Second
	snapshotIntervalMaximum = 24 * time.Hour
	headerBytesMinimum      = 1 << 10
	headerBytesMaximum      = 1 << 20
	memoryMinimum           = 64
	memoryMaximum           = 1 << 20
	socketsMinimum          = 100
	socketsMaximum          = 1 << 20
	bodyTimeoutMaximum      = 10 * time.Minute
	drainDelayMaximum       = 10 * time.Minute
	drainMaximumMaximum     = time.Hour
)

func (s *Settings) checks() []settingCheck {
	const name = "1 to 64 letters, digits, dots and dashes"
	return []settingCheck{
		{"listen", s.Listen, isValidAddress(s.Listen), "an IP address with a port"},
		{"admin-listen", s.AdminListen, isValidAddress(s.AdminListen) && (s.AdminListen != s.Listen || hasEphemeralPort(s.Listen)), "an IP address with a port, other than --listen"},
		{"platform", s.Platform, isValidURL(s.Platform), "an http or https URL whose host is an IP address"},
		{"instance", s.Instance, isValidName(s.Instance), name},
		{"region", s.Region, isValidName(s.Region), name},
		{"availability-zone", s.AvailabilityZone, isValidName(s.AvailabilityZone), name},
		{"peer-listen", s.PeerListen, s.PeerListen == "" || isValidAddress(s.PeerListen), "an IP address with a port, or nothing"},
		{"tls-certificate", s.TLSCertificate, s.PeerListen == "" || s.certificateMatches(s.Instance), "a PEM file, with --tls-key and --tls-authority, whose certificate names --instance; needed with --peer-listen"},
		{"tls-key", s.TLSKey, true, "a PEM file; needed with --peer-listen"},
		{"tls-authority", s.TLSAuthority, true, "a PEM file; needed with --peer-listen"},
		{"lease", s.Lease, isWithin(s.Lease, leaseMinimum, leaseMaximum), "1s to 5m"},
		{"lease-margin", s.LeaseMargin, isWithin(s.LeaseMargin, leaseMarginMinimum, s.Lease/2), "500ms to half of the lease"},
		{"fleet-appends-per-second", s.FleetAppendsPerSecond, s.FleetAppendsPerSecond >= 1 && s.FleetAppendsPerSecond <= appendsMaximum, "1 to 100000"},
		{"snapshot-interval", s.SnapshotInterval, isWithin(s.SnapshotInterval, snapshotIntervalMinimum, snapshotIntervalMaximum), "1s to 24h"},
		{"header-bytes", s.HeaderBytes, s.HeaderBytes >= headerBytesMinimum && s.HeaderBytes <= headerBytesMaximum, "1024 to 1048576"},
		{"memory", s.Memory, s.Memory == 0 || s.Memory >= memoryMinimum && s.Memory <= memoryMaximum, "64 to 1048576, or 0"},
		{"sockets", s.Sockets, s.Sockets == 0 || s.Sockets >= socketsMinimum && s.Sockets <= socketsMaximum, "100 to 1048576, or 0"},
		{"body-timeout", s.BodyTimeout, isWithin(s.BodyTimeout, time.Millisecond, bodyTimeoutMaximum), "1ms to 10m"},
		{"drain-delay", s.DrainDelay, isWithin(s.DrainDelay, 0, drainDelayMaximum), "0s to 10m"},
		{"drain-maximum", s.DrainMaximum, isWithin(s.DrainMaximum, time.Second, drainMaximumMaximum), "1s to 1h"},
		{"log-format", s.LogFormat, s.LogFormat == "json" || s.LogFormat == "text", "json or text"},
		{"log-level", s.LogLevel, isValidLogLevel(s.LogLevel), "debug, info, warn or error"},
	}
}

// credentials returns the names of the TLS files for connections between routers.
func (s *Settings) credentials() peer.Credentials {
	return peer.Credentials{CertificateFile: s.TLSCertificate, KeyFile: s.TLSKey, AuthorityFile: s.TLSAuthority}
}

// certificateMatches reports whether the credentials can be loaded and the certificate was issued to the given instance.
func (s *Settings) certificateMatches(instance string) bool {
	name, err := s.credentials().Validate()
	return err == nil && name == instance
}

func isValidAddress(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

// hasEphemeralPort reports whether an address has port 0. The operating system then chooses the port, so two listeners may be
// given the same address.
func hasEphemeralPort(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Port() == 0
}

func isValidURL(value string) bool {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

func isValidName(value string) bool {
	return regexp.MustCompile(`^[A-Za-z0-9.-]{1,64}$`).MatchString(value)
}

func isWithin(value, low, high time.Duration) bool {
	return value >= low && value <= high
}

func isValidLogLevel(value string) bool {
	switch value {
	case "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}
