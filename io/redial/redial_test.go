package redial

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

var errRefused = errors.New("refused")

// network is a peer that is down until a given time. An attempt that started before sends its next
// packet a second after its first.
type network struct {
	from, up time.Time
	refuses  bool

	mu       sync.Mutex // Guards the fields below.
	attempts int
	open     int
}

type conn struct {
	net.Conn
	n *network
}

func (c conn) Close() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.n.open--
	return nil
}

func (n *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.attempts++
	n.mu.Unlock()
	at := time.Now()
	for at.Before(n.up) {
		at = at.Add(time.Second)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Until(at)):
	}
	if n.refuses {
		return nil, errRefused
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open++
	return conn{n: n}, nil
}

// Guards against waiting for the kernel's retransmission after a second when a peer restarts during
// an attempt. Callers must wait for one interval at most, and one connection must be left.
func TestPeerComesBack(t *testing.T) {
	for _, tc := range []struct {
		name     string
		after    time.Duration // Time until the peer is up.
		limit    time.Duration
		refuses  bool
		want     time.Duration
		attempts int
		err      error
	}{
		{"there all the time", 0, time.Second, false, 0, 1, nil},
		{"back soon", 30 * time.Millisecond, time.Second, false, Every, 2, nil},
		{"back later", 450 * time.Millisecond, time.Second, false, 3 * Every, 4, nil},
		{"never back", time.Minute, 950 * time.Millisecond, false, 950 * time.Millisecond, 5, context.DeadlineExceeded},
		{"the machine is there, the program not", 0, time.Second, true, 0, 1, errRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{from: time.Now(), up: time.Now().Add(tc.after), refuses: tc.refuses}
				ctx, cancel := context.WithTimeout(t.Context(), tc.limit)
				defer cancel()
				r := Redial{dial: n.dial}
				c, err := r.DialContext(ctx, "tcp", "10.0.0.1:80")
				must.Eq(t, tc.want, time.Since(n.from))
				if tc.err != nil {
					must.ErrorIs(t, err, tc.err)
				} else {
					must.NoError(t, err)
					must.NotNil(t, c)
				}
				time.Sleep(2 * time.Second)
				n.mu.Lock()
				defer n.mu.Unlock()
				must.LessEq(t, tc.attempts, n.attempts)
				must.LessEq(t, 1, n.open)
			})
		})
	}
}
