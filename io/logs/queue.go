package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the maximum number of lines that wait to be written. Without a queue, a blocked
	// reader of the output would block all requests.
	queueLines = 4096
	// mostLines is the maximum number of lines per second. A line costs some 20 us in all, so this is at
	// most a twentieth of a core.
	mostLines = 2000
)

// queue writes lines in the background, and drops and counts those beyond its limits.
type queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once

	mu     sync.Mutex
	second int64 // Second of the counted lines.
	count  int
}

// Queue returns a writer of complete lines that never blocks. After a second in which lines were dropped, a line
// says how many. Close writes the lines that wait.
func Queue(w io.Writer) io.WriteCloser {
	q := &queue{w: w, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line.
func (q *queue) Write(line []byte) (int, error) {
	if !q.may(time.Now().Unix()) {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// may reports whether another line may be written in this second.
func (q *queue) may(second int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.second != second {
		q.second, q.count = second, 0
	}
	q.count++
	return q.count <= mostLines
}

func (q *queue) run() {
	defer close(q.done)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-q.lines:
			if !ok {
				q.report()
				return
			}
			_, _ = q.w.Write(line)
		case <-tick.C:
			q.report()
		}
	}
}

func (q *queue) report() {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.w, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"logs: Lines dropped.\",\"count\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
}

// Close writes the lines that wait. Write must not be called afterwards.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.lines) })
	<-q.done
	return nil
}
