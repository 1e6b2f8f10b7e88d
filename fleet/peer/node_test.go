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

// holder remembers the copies that it accepted.
type holder struct {
	mutex  sync.Mutex
	copies map[string][]Copy
	refuse error
}

func (h *holder) AcceptCopy(from string, c Copy) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.refuse != nil {
		return h.refuse
	}
	if h.copies == nil {
		h.copies = make(map[string][]Copy)
	}
	h.copies[from] = append(h.copies[from], c)
	return nil
}

// taken returns what was accepted so far.
func (h *holder) taken() map[string][]Copy {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return maps.Clone(h.copies)
}

// refuseWith lets further copies be refused; nil accepts them again.
func (h *holder) refuseWith(reason error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.refuse = reason
}

func (h *holder) Configuration(next platform.Offset) []platform.Entry {
	return []platform.Entry{{Offset: next, Payload: []byte("ticket")}}
}

// end is a node of the test with its files.
type end struct {
	node    *Node
	holder  *holder
	files   Credentials
	address Address
}

// startEnd starts a node whose certificate was issued by the authority to the instance.
func startEnd(t *testing.T, authority Pair, instance string) *end {
	t.Helper()
	e := &end{holder: &holder{}}
	directory := t.TempDir()
	e.files = Credentials{
		CertificateFile: filepath.Join(directory, "certificate.pem"),
		KeyFile:         filepath.Join(directory, "key.pem"),
		AuthorityFile:   filepath.Join(directory, "authority.pem"),
	}
	e.write(t, authority, instance)
	e.node = NewNode("127.0.0.1:0", e.files, e.holder, metrics.NewRegistry())
	address, err := e.node.Listen(context.Background())
	assert.NoError(t, err)
	e.address = Address{Instance: instance, Address: address}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return e
}

// write puts a new certificate of the authority into the end's files.
func (e *end) write(t *testing.T, authority Pair, instance string) {
	t.Helper()
	pair, err := authority.Issue(instance, time.Hour)
	assert.NoError(t, err)
	assert.NoError(t, os.WriteFile(e.files.CertificateFile, pair.Certificate, 0o600))
	assert.NoError(t, os.WriteFile(e.files.KeyFile, pair.Key, 0o600))
	assert.NoError(t, os.WriteFile(e.files.AuthorityFile, authority.Certificate, 0o600))
}

// send hands a copy from one end to another.
func (e *end) send(to Address, payload string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return e.node.SendCopy(ctx, to, Copy{Payload: []byte(payload)})
}

func newAuthority(t *testing.T) Pair {
	t.Helper()
	authority, err := NewAuthority("site", time.Hour)
	assert.NoError(t, err)
	return authority
}

func TestCopies(t *testing.T) {
	authority := newAuthority(t)
	a, b := startEnd(t, authority, "router-a"), startEnd(t, authority, "router-b")
	t.Run("taken over under the sender's name", func(t *testing.T) {
		assert.NoError(t, a.send(b.address, "one"))
		assert.NoError(t, a.send(b.address, "two"))
		assert.NoError(t, b.send(a.address, "three"))
		assert.Equal(t, map[string][]Copy{"router-a": {{Payload: []byte("one")}, {Payload: []byte("two")}}}, b.holder.taken())
		assert.Equal(t, map[string][]Copy{"router-b": {{Payload: []byte("three")}}}, a.holder.taken())
	})
	t.Run("refusals keep their reason", func(t *testing.T) {
		for _, reason := range refusals() {
			b.holder.refuseWith(fmt.Errorf("holding a copy: %w", reason))
			assert.ErrorIs(t, a.send(b.address, "four"), reason)
		}
		b.holder.refuseWith(errors.New("a reason of a later version"))
		assert.ErrorIs(t, a.send(b.address, "four"), ErrRefused)
		b.holder.refuseWith(nil)
	})
	t.Run("too long", func(t *testing.T) {
		assert.ErrorIs(t, a.send(b.address, string(make([]byte, MaxRequestBytes))), ErrMalformed)
	})
	t.Run("configuration", func(t *testing.T) {
		entries, err := a.node.FetchConfiguration(context.Background(), b.address, 7)
		assert.NoError(t, err)
		assert.Equal(t, []platform.Entry{{Offset: 7, Payload: []byte("ticket")}}, entries)
	})
}

func TestIdentity(t *testing.T) {
	authority := newAuthority(t)
	a, b := startEnd(t, authority, "router-a"), startEnd(t, authority, "router-b")
	t.Run("another instance answers at the address", func(t *testing.T) {
		assert.Fails(t, a.send(Address{Instance: "router-c", Address: b.address.Address}, "one"))
	})
	t.Run("a foreign authority", func(t *testing.T) {
		stranger := startEnd(t, newAuthority(t), "router-a")
		assert.Fails(t, stranger.send(b.address, "one"))
		assert.Fails(t, b.send(stranger.address, "one"))
	})
	t.Run("an instance can't act as an authority", func(t *testing.T) {
		issued, err := authority.Issue("router-a", time.Hour)
		assert.NoError(t, err)
		_, err = issued.Issue("router-b", time.Hour)
		assert.ErrorIs(t, err, ErrNoAuthority)
	})
	assert.Equal(t, 0, len(b.holder.taken()))
}

func TestRotationWithoutRestart(t *testing.T) {
	former, next := newAuthority(t), newAuthority(t)
	a, b := startEnd(t, former, "router-a"), startEnd(t, former, "router-b")
	assert.NoError(t, a.send(b.address, "one"))
	a.write(t, next, "router-a")
	b.write(t, next, "router-b")
	for _, n := range []*Node{a.node, b.node} {
		n.mutex.Lock()
		for _, c := range n.dialled {
			_ = c.CloseWithError(0, "cut by the test")
		}
		n.mutex.Unlock()
	}
	assert.NoError(t, a.send(b.address, "two"))
	assert.Equal(t, 2, len(b.holder.taken()["router-a"]))
}

func TestCredentials(t *testing.T) {
	e := startEnd(t, newAuthority(t), "router-a")
	name, err := e.files.Check()
	assert.NoError(t, err)
	assert.Equal(t, "router-a", name)
	broken := e.files
	broken.AuthorityFile = broken.KeyFile
	_, err = broken.Check()
	assert.Fails(t, err)
	broken.CertificateFile = "missing"
	_, err = broken.Check()
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// FuzzRequest feeds arbitrary bytes to the answer of requests: it must neither fail nor accept garbage.
func FuzzRequest(f *testing.F) {
	for _, r := range []request{{}, {Kind: copyMessage, Payload: []byte("group")}, {Kind: configurationMessage, Next: 3}} {
		data, err := r.MarshalMsg(nil)
		assert.Must(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		h := &holder{}
		n := NewNode("", Credentials{}, h, metrics.NewRegistry())
		a := n.answer(t.Context(), "router-a", data)
		accepted := len(h.copies) > 0
		if accepted && a.Refusal != "" {
			t.Errorf("a copy was accepted and refused with %q", a.Refusal)
		}
		r := request{}
		if _, err := r.UnmarshalMsg(data); err != nil && a.Refusal != ErrMalformed.Error() {
			t.Errorf("garbage was answered with %q", a.Refusal)
		}
	})
}
