package buffer_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/buffer"
)

const piece = 4 << 10

// grow adds pieces to a body or an answer until there is no room, or it has a size.
func grow(b *buffer.Buffer, k buffer.Kind, size int64) (got int64) {
	for got < size && b.Grow(k, got, piece) {
		got += piece
	}
	return got
}

// Guards against endless answers or bodies that together take more than their share of the limit, or leave nothing
// to others.
func TestEndless(t *testing.T) {
	const share = 24 << 20
	for _, k := range []buffer.Kind{buffer.Answers, buffer.Bodies} {
		for _, n := range []int{1, 4, 16, 200} {
			b := &buffer.Buffer{Limit: share / 3 * 4}
			sizes := make([]int64, n)
			for more := true; more; {
				more = false
				for i := range sizes {
					if b.Grow(k, sizes[i], piece) {
						sizes[i] += piece
						more = true
					}
				}
			}
			must.LessEq(t, share, b.Used(k))
			sound := grow(b, k, 48<<10)
			must.Eq(t, 48<<10, sound, must.Sprint(n))
			b.Free(k, sound)
			for _, s := range sizes {
				must.Greater(t, int64(share/(2*(n+2))), s)
				b.Free(k, s)
			}
			must.Eq(t, 0, b.Used(k))
			must.Between(t, share/2-piece, grow(b, k, share), share/2)
		}
	}
}

// Guards against a kind that takes all memory, so that the other one makes no progress, and against both together
// taking more than the limit.
func TestEachKindLeavesMemoryToTheOther(t *testing.T) {
	for _, tc := range []struct{ first, second buffer.Kind }{{buffer.Answers, buffer.Bodies}, {buffer.Bodies, buffer.Answers}} {
		b := &buffer.Buffer{Limit: 4 << 20}
		fill := func(k buffer.Kind) {
			for b.Grow(k, 0, piece) {
			}
		}
		fill(tc.first)
		must.Between(t, 3<<20-2*piece, b.Used(tc.first), 3<<20)
		fill(tc.second)
		must.Between(t, 1<<20-2*piece, b.Used(tc.second), 1<<20)
		must.LessEq(t, b.Limit, b.Used(tc.first)+b.Used(tc.second))
	}
}

// Guards against claims that get more than there is, that are passed over although there is room, and that keep
// memory after they have ended.
func TestWait(t *testing.T) {
	const large, small = 512 << 10, 64 << 10
	b := &buffer.Buffer{Limit: 2 << 20} // Bodies may have 1.5 MB.
	held := int64(0)
	for b.Grow(buffer.Bodies, 0, small) {
		held += small
	}
	isGranted := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	first, endFirst := b.Wait(0, large)
	second, endSecond := b.Wait(0, small)
	third, endThird := b.Wait(0, small)
	must.Eq(t, 3, b.Waiting())
	b.Free(buffer.Bodies, small)
	must.True(t, !isGranted(first) && isGranted(second) && !isGranted(third))
	must.False(t, endThird())
	must.True(t, endSecond()) // It has the memory, so its caller must free it.
	b.Free(buffer.Bodies, small)
	must.False(t, isGranted(third))
	b.Free(buffer.Bodies, held-small)
	must.True(t, isGranted(first) && endFirst())
	must.Eq(t, 0, b.Waiting())
	must.Eq(t, large, b.Used(buffer.Bodies))
	b.Free(buffer.Bodies, large)
	late, endLate := b.Wait(0, large) // Memory became free between the refusal and the wait.
	must.True(t, isGranted(late) && endLate())
	b.Free(buffer.Bodies, large)
	must.Eq(t, 0, b.Used(buffer.Bodies))
}

// Guards against a zero value that has no room for answers, or bounds bodies.
func TestZeroValue(t *testing.T) {
	var b buffer.Buffer
	must.Eq(t, 16<<20, grow(&b, buffer.Answers, 16<<20))
	must.True(t, b.Grow(buffer.Bodies, 0, 1<<40))
	must.True(t, b.Grow(buffer.Answers, 0, piece))
}
