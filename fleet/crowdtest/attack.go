package crowdtest

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

const (
	// waves is the number of times that a crowd comes.
	waves = 2
	// sampleInterval is the interval at which a process is observed.
	sampleInterval = 20 * time.Millisecond
	// patience is the time after which a process that doesn't answer, or doesn't give back what it held, counts as hung.
	patience      = time.Minute
	retryInterval = 100 * time.Millisecond
	// ordinaryBody is the size of an ordinary request's body in bytes.
	ordinaryBody = 100
	// returnedDivisor is the part of the memory which a process may still hold when the crowd has left, so that the next one finds room: one in
	// returnedDivisor bytes.
	returnedDivisor = 2
)

// Target is a process that crowds attack.
type Target struct {
	PID int
	// Address is the TCP listener that is attacked, Addresses are all that belong to the process.
	Address   string
	Addresses []string
	// Memory is the memory of the machine in bytes, Sockets the number of sockets that the process may have.
	Memory, Sockets int
	// LargestBody is the size in bytes of the longest body that is allowed.
	LargestBody int
	// Ask sends an ordinary request with a body of some bytes. It fails unless the request was served.
	Ask func(bodyBytes int) error
}

// Attack lets a crowd come twice, and checks what must hold during and after it.
func (r *Target) Attack(t *testing.T, kind Kind) {
	t.Helper()
	r.attack(t, func() func() { return gather(kind, r.Address).leave })
}

// AttackAtStop lets a crowd come and tells the process to stop meanwhile. The process must end.
func (r *Target) AttackAtStop(t *testing.T, kind Kind) {
	t.Helper()
	defer gather(kind, r.Address).leave()
	assert.Must(t, syscall.Kill(r.PID, syscall.SIGTERM))
	eventually(t, "the process ends", func() error {
		if p := (&process{pid: r.PID}); !p.hasEnded() {
			return errors.New("it runs on")
		}
		return nil
	})
}

// attack checks the process while crowds gather. gather returns how they leave.
func (r *Target) attack(t *testing.T, gather func() (leave func())) {
	t.Helper()
	p := &process{pid: r.PID}
	for _, address := range r.Addresses {
		_, text, err := net.SplitHostPort(address)
		assert.Must(t, err)
		port, err := strconv.Atoi(text)
		assert.Must(t, err)
		p.ports = append(p.ports, port)
	}
	before, err := p.sockets()
	assert.Must(t, err)
	o := &observer{process: p, end: make(chan struct{})}
	o.loops.Go(o.run)
	for range waves {
		leave := gather()
		eventually(t, "an ordinary request is served beside the crowd", func() error { return r.Ask(ordinaryBody) })
		leave()
	}
	eventually(t, "the largest request is served in calm", func() error { return r.Ask(r.LargestBody) })
	o.stop()
	peak, err := PeakMemory(r.PID)
	assert.Must(t, err)
	t.Logf("peak %d MB, with unread bytes %d MB (at most %d MB of these), %d sockets", peak>>20, o.total>>20, o.unread>>20, o.sockets)
	assertAtMost(t, "peak of memory in bytes", r.Memory, peak)
	assertAtMost(t, "memory and unread bytes", r.Memory, o.total)
	assertAtMost(t, "sockets", r.Sockets, o.sockets)
	eventually(t, "the memory is given back", func() error {
		resident, err := p.memory("VmRSS")
		return errors.Join(err, exceeds("bytes", r.Memory/returnedDivisor, resident))
	})
	eventually(t, "the sockets are closed", func() error {
		sockets, err := p.sockets()
		return errors.Join(err, exceeds("sockets", before+closedTolerance, sockets))
	})
}

// closedTolerance is the number of sockets to endpoints and other routers that a process may open while a crowd is there.
const closedTolerance = 20

func assertAtMost(t *testing.T, what string, limit, got int) {
	t.Helper()
	assert.NoError(t, exceeds(what, limit, got))
}

// exceeds returns an error if a value is over its limit.
func exceeds(what string, limit, got int) error {
	if got <= limit {
		return nil
	}
	return errors.New(what + ": " + strconv.Itoa(got) + " of " + strconv.Itoa(limit))
}

// eventually waits until a condition holds, and fails the test if it never does.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(retryInterval) {
		if err = check(); err == nil {
			return
		}
	}
	t.Errorf("%s: not so: %v", what, err)
}

// observer watches a process.
type observer struct {
	process *process
	loops   sync.WaitGroup
	end     chan struct{}
	// total is the most of memory and unread bytes together, unread the most unread bytes, sockets the most sockets.
	total, unread, sockets int
}

func (o *observer) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.end:
			return
		case <-ticker.C:
			o.observe()
		}
	}
}

func (o *observer) observe() {
	resident, memoryErr := o.process.memory("VmRSS")
	unread, unreadErr := o.process.unreadBytes()
	sockets, socketsErr := o.process.sockets()
	if errors.Join(memoryErr, unreadErr, socketsErr) != nil {
		return
	}
	o.total, o.unread, o.sockets = max(o.total, resident+unread), max(o.unread, unread), max(o.sockets, sockets)
}

func (o *observer) stop() {
	close(o.end)
	o.loops.Wait()
}
