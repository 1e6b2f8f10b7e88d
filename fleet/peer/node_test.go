package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// copyRecorder is a Handler that records the copies that it accepts, by sender, and returns one configuration entry. With a
// refusal set, it refuses copies.
type copyRecorder struct {
	mutex   sync.Mutex
	copies  map[string][]Copy
	refusal error
}

func (r *copyRecorder) AcceptCopy(from string, c Copy) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.refusal != nil {
		return r.refusal
	}
	if r.copies == nil {
		r.copies = make(map[string][]Copy)
	}
	r.copies[from] = append(r.copies[from], c)
	return nil
}

// acceptedCopies returns the copies accepted so far, by sender.
func (r *copyRecorder) acceptedCopies() map[string][]Copy {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.copies)
}

// refuseWith makes AcceptCopy return an error from now on, or accept copies again if the error is nil.
func (r *copyRecorder) refuseWith(reason error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusal = reason
}

func (r *copyRecorder) Configuration(next platform.Offset) []platform.Entry {
	return []platform.Entry{{Offset: next, Payload: []byte("ticket")}}
}

// testNode is a running node with its handler, its credential files and its address.
type testNode struct {
	node    *Node
	handler *copyRecorder
	files   Credentials
	address Address
}

// startNode runs a node, until the test ends, with a certificate that the authority issues to the instance.
func startNode(t *testing.T, authority KeyPair, instance string) *testNode {
	t.Helper()
	recorder := &copyRecorder{}
	n := startNodeWith(t, authority, instance, recorder)
	n.handler = recorder
	return n
}

// startNodeWith runs a node with a handler.
func startNodeWith(t *testing.T, authority KeyPair, instance string, handler Handler) *testNode {
	t.Helper()
	n := &testNode{}
	directory := t.TempDir()
	n.files = Credentials{
		CertificateFile: filepath.Join(directory, "certificate.pem"),
		KeyFile:         filepath.Join(directory, "key.pem"),
		AuthorityFile:   filepath.Join(directory, "authority.pem"),
	}
	n.writeFiles(t, authority, instance)
	n.node = NewNode("127.0.0.1:0", n.files, handler, metrics.NewRegistry())
	address, err := n.node.Listen(context.Background())
	assert.NoError(t, err)
	n.address = Address{Instance: instance, Address: address}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return n
}

// writeFiles replaces the node's credential files with a new certificate and key from an authority.
func (n *testNode) writeFiles(t *testing.T, authority KeyPair, instance string) {
	t.Helper()
	pair, err := authority.Issue(instance, time.Hour)
	assert.NoError(t, err)
	assert.NoError(t, os.WriteFile(n.files.CertificateFile, pair.Certificate, 0o600))
	assert.NoError(t, os.WriteFile(n.files.KeyFile, pair.Key, 0o600))
	assert.NoError(t, os.WriteFile(n.files.AuthorityFile, authority.Certificate, 0o600))
}

// sendCopy sends a copy with the payload to another node.
func (n *testNode) sendCopy(to Address, payload string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return n.node.SendCopy(ctx, to, Copy{Payload: []byte(payload)})
}

// newAuthority returns the certificate and key of a new authority.
func newAuthority(t *testing.T) KeyPair {
	t.Helper()
	authority, err := NewAuthority("site", time.Hour)
	assert.NoError(t, err)
	return authority
}

func TestCopies(t *testing.T) {
	authority := newAuthority(t)
	a, b := startNode(t, authority, "router-a"), startNode(t, authority, "router-b")
	t.Run("accepted under the sender's instance", func(t *testing.T) {
		assert.NoError(t, a.sendCopy(b.address, "one"))
		assert.NoError(t, a.sendCopy(b.address, "two"))
		assert.NoError(t, b.sendCopy(a.address, "three"))
		assert.Equal(t, map[string][]Copy{"router-a": {{Payload: []byte("one")}, {Payload: []byte("two")}}}, b.handler.acceptedCopies())
		assert.Equal(t, map[string][]Copy{"router-b": {{Payload: []byte("three")}}}, a.handler.acceptedCopies())
	})
	t.Run("refusals preserve the reason", func(t *testing.T) {
		for _, reason := range refusals() {
			b.handler.refuseWith(fmt.Errorf("holding a copy: %w", reason))
			assert.ErrorIs(t, a.sendCopy(b.address, "four"), reason)
		}
		b.handler.refuseWith(errors.New("unknown reason of a later version"))
		assert.ErrorIs(t, a.sendCopy(b.address, "four"), ErrRefused)
		b.handler.refuseWith(nil)
	})
	t.Run("request too long", func(t *testing.T) {
		assert.ErrorIs(t, a.sendCopy(b.address, string(make([]byte, MaxRequestBytes))), ErrMalformed)
	})
	t.Run("configuration", func(t *testing.T) {
		entries, err := a.node.FetchConfiguration(context.Background(), b.address, 7)
		assert.NoError(t, err)
		assert.Equal(t, []platform.Entry{{Offset: 7, Payload: []byte("ticket")}}, entries)
	})
}

func TestIdentity(t *testing.T) {
	authority := newAuthority(t)
	a, b := startNode(t, authority, "router-a"), startNode(t, authority, "router-b")
	t.Run("another instance has the address", func(t *testing.T) {
		assert.Fails(t, a.sendCopy(Address{Instance: "router-c", Address: b.address.Address}, "one"))
	})
	t.Run("certificate of another authority", func(t *testing.T) {
		stranger := startNode(t, newAuthority(t), "router-a")
		assert.Fails(t, stranger.sendCopy(b.address, "one"))
		assert.Fails(t, b.sendCopy(stranger.address, "one"))
	})
	t.Run("an instance's certificate can't issue certificates", func(t *testing.T) {
		issued, err := authority.Issue("router-a", time.Hour)
		assert.NoError(t, err)
		_, err = issued.Issue("router-b", time.Hour)
		assert.ErrorIs(t, err, ErrNoAuthority)
	})
	assert.Equal(t, 0, len(b.handler.acceptedCopies()))
}

// Guards against credentials that are read only once: a rotation then needs a restart. The test replaces the files of both
// nodes and closes their connections; the next request must succeed with the new certificates.
func TestRotationWithoutRestart(t *testing.T) {
	oldAuthority, rotatedAuthority := newAuthority(t), newAuthority(t)
	a, b := startNode(t, oldAuthority, "router-a"), startNode(t, oldAuthority, "router-b")
	assert.NoError(t, a.sendCopy(b.address, "one"))
	a.writeFiles(t, rotatedAuthority, "router-a")
	b.writeFiles(t, rotatedAuthority, "router-b")
	for _, n := range []*Node{a.node, b.node} {
		n.mutex.Lock()
		for _, c := range n.dialled {
			_ = c.CloseWithError(0, "closed by the test")
		}
		n.mutex.Unlock()
	}
	assert.NoError(t, a.sendCopy(b.address, "two"))
	assert.Equal(t, 2, len(b.handler.acceptedCopies()["router-a"]))
}

func TestCredentials(t *testing.T) {
	n := startNode(t, newAuthority(t), "router-a")
	name, err := n.files.Validate()
	assert.NoError(t, err)
	assert.Equal(t, "router-a", name)
	broken := n.files
	broken.AuthorityFile = broken.KeyFile
	_, err = broken.Validate()
	assert.Fails(t, err)
	broken.CertificateFile = "missing"
	_, err = broken.Validate()
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// FuzzRequest passes arbitrary bytes to Node.answer. It must not panic, must refuse bytes that are no request as malformed,
// and must not accept and refuse the same copy.
func FuzzRequest(f *testing.F) {
	for _, r := range []request{{}, {Kind: copyMessage, Payload: []byte("group")}, {Kind: configurationMessage, Next: 3}} {
		data, err := r.MarshalMsg(nil)
		assert.Must(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		recorder := &copyRecorder{}
		n := NewNode("", Credentials{}, recorder, metrics.NewRegistry())
		a := n.answer(t.Context(), "router-a", data)
		accepted := len(recorder.copies) > 0
		if accepted && a.Refusal != "" {
			t.Errorf("accepted copy got the refusal %q", a.Refusal)
		}
		r := request{}
		if _, err := r.UnmarshalMsg(data); err != nil && a.Refusal != ErrMalformed.Error() {
			t.Errorf("malformed request got the refusal %q", a.Refusal)
		}
	})
}

// TestFetchClock guards against a reading that was taken outside the reported round trip, and against connections for
// readings that stay open.
func TestFetchClock(t *testing.T) {
	authority := newAuthority(t)
	a, b := startNode(t, authority, "router-a"), startNode(t, authority, "router-b")
	before := time.Now()
	reading, err := a.node.FetchClock(context.Background(), b.address)
	after := time.Now()
	assert.NoError(t, err)
	assert.Equal(t, true, !reading.Wall.Before(before.Truncate(time.Millisecond)) && !reading.Wall.After(after))
	assert.Equal(t, true, reading.RoundTrip > 0 && reading.RoundTrip <= after.Sub(before))
	assert.Equal(t, 0, len(a.node.dialled))
	_, err = a.node.FetchClock(context.Background(), Address{Instance: "router-c", Address: b.address.Address})
	assert.Fails(t, err)
}
