package link

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"azurelane/core/wire"
)

// read receives the frames of the common stream until the link is closed.
func (l *Link) read() {
	defer func() { _ = l.Close() }()
	r := bufio.NewReaderSize(l.stream, bufSize)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		l.dispatch(f)
	}
}

func readFrame(r *bufio.Reader) (*wire.Frame, error) {
	f := &wire.Frame{}
	return f, protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r, f)
}

// accept accepts the streams of bulk frames.
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
	l.open.register(s)
	l.open.setDeadline(s.SetReadDeadline, time.Now().Add(bulkTimeout))
	defer l.open.remove(s)
	f, err := readFrame(bufio.NewReaderSize(s, bufSize))
	if err != nil {
		return
	}
	l.dispatch(f)
}

// dispatch dispatches a frame without blocking. If it blocked on a handler, a handler that calls
// the same peer would wait for a reply that nothing reads.
func (l *Link) dispatch(f *wire.Frame) {
	l.pulse.recordReceived(time.Now(), f.GetPing())
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
		l.pulse.recordUse(time.Now())
		l.serving.Add(1)
		if l.handleCall == nil || !l.handleCall(l.ctx, f, func(r *wire.Frame) { l.reply(f.GetId(), r) }) {
			go l.answer(f)
		}
	default:
		if f.GetProbe() == nil {
			l.pulse.recordUse(time.Now())
		}
		// If the queue is full, the frame is dropped. Senders of one-way frames tolerate loss, as
		// on a broken link.
		l.oneWay.offer(f)
	}
}

// handleOneWay handles one-way frames in order.
func (l *Link) handleOneWay() {
	for l.ctx.Err() == nil {
		f, ok := l.oneWay.pop()
		if ok {
			_, _ = l.handle(l.ctx, f)
			continue
		}
		select {
		case <-l.oneWay.ready:
		case <-l.ctx.Done():
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
	l.finishCall(&wire.Frame{Id: f.GetId(), Reply: true, Body: r.GetBody()})
}

// reply sends the reply to a call that has no goroutine. It starts one to wait for room in the
// queue only if the queue is half full.
func (l *Link) reply(id uint64, r *wire.Frame) {
	f := &wire.Frame{Id: id, Reply: true, Body: r.GetBody()}
	if l.out.len() < queueLen/2 {
		l.finishCall(f)
		return
	}
	go l.finishCall(f)
}

// finishCall completes a call of the peer with its reply. If the reply can't be queued, the link is
// closed and the caller gets an error there.
func (l *Link) finishCall(f *wire.Frame) {
	_ = l.enqueue(l.ctx, f)
	l.serving.Add(-1)
}
