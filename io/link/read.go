package link

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"azurelane/core/wire"
)

// read takes the frames of the common stream until the link ends.
func (l *Link) read() {
	defer func() { _ = l.Close() }()
	r := bufio.NewReaderSize(l.stream, bufSize)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		l.take(f)
	}
}

func readFrame(r *bufio.Reader) (*wire.Frame, error) {
	f := &wire.Frame{}
	return f, protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r, f)
}

// accept takes the streams of bulk frames.
func (l *Link) accept() {
	for {
		s, err := l.sess.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.readBulk(s) })
	}
}

func (l *Link) readBulk(s net.Conn) {
	defer func() { _ = s.Close() }()
	select {
	case l.bulk <- struct{}{}:
		defer func() { <-l.bulk }()
	case <-l.ctx.Done():
		return
	}
	l.open.add(s)
	l.open.until(s.SetReadDeadline, time.Now().Add(bulkLimit))
	defer l.open.drop(s)
	f, err := readFrame(bufio.NewReaderSize(s, bufSize))
	if err != nil {
		return
	}
	l.take(f)
}

// take hands a frame on and never waits: were it to wait for a handler, a
// handler that calls the same peer would wait for a reply that no one reads.
func (l *Link) take(f *wire.Frame) {
	l.pulse.heard(time.Now(), f.GetPing())
	switch {
	case f.GetPing() != nil:
	case f.GetReply():
		l.mu.Lock()
		ch := l.calls[f.GetId()]
		delete(l.calls, f.GetId())
		l.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	case f.GetId() != 0:
		l.pulse.busy(time.Now())
		l.serving.Add(1)
		if l.later == nil || !l.later(l.ctx, f, func(r *wire.Frame) { l.reply(f.GetId(), r) }) {
			go l.answer(f)
		}
	default:
		if f.GetProbe() == nil {
			l.pulse.busy(time.Now())
		}
		select {
		case l.oneWay <- f:
		default:
			// The frame is lost. Whoever sends one-way frames bears their loss
			// on a broken link anyway.
		}
	}
}

// work handles the one-way frames, in order.
func (l *Link) work() {
	for {
		select {
		case f := <-l.oneWay:
			_, _ = l.handle(l.ctx, f)
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Link) answer(f *wire.Frame) {
	r, err := l.handle(l.ctx, f)
	if err != nil {
		var fault *wire.Fault
		if !errors.As(err, &fault) {
			fault = &wire.Fault{Code: "error", Text: err.Error()}
		}
		r = &wire.Frame{Body: &wire.Frame_Fault{Fault: fault}}
	}
	if r == nil {
		r = &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}}
	}
	l.sent(&wire.Frame{Id: f.GetId(), Reply: true, Body: r.GetBody()})
}

// reply sends the answer of a call that has no goroutine. Only where the queue of
// the link fills up, one is begun that waits for room in it.
func (l *Link) reply(id uint64, r *wire.Frame) {
	f := &wire.Frame{Id: id, Reply: true, Body: r.GetBody()}
	if len(l.out) < cap(l.out)/2 {
		l.sent(f)
		return
	}
	go l.sent(f)
}

// sent ends the serving of a call with its answer. An answer that can't be put has
// lost its link, and with it who asked.
func (l *Link) sent(f *wire.Frame) {
	_ = l.put(l.ctx, f)
	l.serving.Add(-1)
}
