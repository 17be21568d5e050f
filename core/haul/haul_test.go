package haul

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against moves that are taken to cost what they never cost on this deployment's links, and against one
// slow copy that makes all moves seem too long.
func TestHaul(t *testing.T) {
	var h Haul
	must.Eq(t, 150*time.Millisecond+100*defaultPerToken, h.Cost(100))
	h.AddCopy(0, time.Hour) // Nothing to learn.
	for range 30 {
		h.AddCopy(1000, 400*time.Millisecond)
		h.AddPause(50 * time.Millisecond)
	}
	must.Between(t, 440*time.Millisecond, h.Cost(1000), 460*time.Millisecond)
	h.AddCopy(1000, 2*time.Second)
	must.Less(t, 800*time.Millisecond, h.Cost(1000))
}
