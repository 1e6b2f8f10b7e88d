package endpoint

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func readEvents(r io.Reader, s Settings) (raw, data []string, err error) {
	reader := newEventReader(r, s)
	for {
		e, err := reader.next()
		if err != nil {
			return raw, data, err
		}
		raw, data = append(raw, string(e.raw)), append(data, string(e.data))
	}
}

func TestEventReader(t *testing.T) {
	small := Settings{MaxLineBytes: 16, MaxEventBytes: 32}
	cases := []struct {
		name, stream string
		data         []string
		err          error
	}{
		{"two events", "data: a\n\ndata:b\n\n", []string{"a", "b"}, io.EOF},
		{"CRLF and several data lines", "event: x\r\ndata: a\r\ndata: b\r\n\r\n", []string{"a\nb"}, io.EOF},
		{"comment", ": alive\n\n\n\ndata: a\n\n", []string{"", "a"}, io.EOF},
		{"stream ends within an event", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"long line", "data: 0123456789abcdef\n\n", nil, errLineTooLong},
		{"long event", strings.Repeat("data: 0123\n", 4), nil, errEventTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, data, err := readEvents(iotest.OneByteReader(strings.NewReader(c.stream)), small)
			assert.Equal(t, c.data, data)
			assert.Equal(t, true, errors.Is(err, c.err))
		})
	}
}

func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"data: {\"choices\":[]}\n\n", "data: [DONE]\n\n", ": c\r\n\r\n", "\n\n\n", "data", "data:\n\nid: 1\n\n", "\r\r\n\n",
	} {
		f.Add([]byte(seed))
	}
	s := Settings{MaxLineBytes: 64, MaxEventBytes: 128}
	f.Fuzz(func(t *testing.T, stream []byte) {
		raw, _, err := readEvents(bytes.NewReader(stream), s)
		if err == nil {
			t.Fatal("reader ended without an error")
		}
		for _, e := range raw {
			at := bytes.Index(stream, []byte(e))
			if at < 0 || len(e) > s.MaxEventBytes {
				t.Fatalf("event %q is not in the rest of the stream or exceeds the maximum size", e)
			}
			stream = stream[at+len(e):]
		}
		split, _, splitErr := readEvents(iotest.HalfReader(bytes.NewReader(stream)), s)
		again, _, againErr := readEvents(bytes.NewReader(stream), s)
		assert.Equal(t, again, split)
		assert.Equal(t, againErr.Error(), splitErr.Error())
	})
}

func TestCounters(t *testing.T) {
	seen := make(map[string]bool)
	for _, d := range Counters() {
		assert.Equal(t, false, seen[d.Name] || d.Meaning == "")
		seen[d.Name] = true
	}
}
