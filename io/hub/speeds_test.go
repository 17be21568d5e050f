package hub

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	_ "azurelane/core/batch" // Registers a policy that uses current speeds.
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/wire"
	"azurelane/io/sched"
)

// Guards against speeds that entries report in vain: those that come with a release, and a log that does not show
// whether they arrive.
func TestSpeedsArrive(t *testing.T) {
	var lines []string
	s := &scheduler{id: "s", sched: &sched.Sched{}, log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	cfg := &conf.Config{Pools: map[string]pool.Pool{
		"live": {Scheduler: "batch", Slots: 4, LiveSpeed: true}, "off": {Scheduler: "batch", Slots: 4}, "plain": {LiveSpeed: true},
	}}
	s.setPools(cfg)
	must.Eq(t, []string{"live"}, s.liveSpeedPools())
	s.sched.Install(cfg)
	s.sched.Announce(&wire.Announce{Upstream: "a", Pools: []string{"live", "off"}, MaxRunning: 4, LeaseUs: time.Hour.Microseconds(), Seq: 1})
	s.logCurrentSpeeds()
	must.SliceEmpty(t, lines)
	s.handleSlots(&wire.Frame{Body: &wire.Frame_Release{Release: &wire.Release{Pool: "off", Speeds: []*wire.Speed{{Upstream: "a", Percent: 250}}}}})
	s.logCurrentSpeeds()
	must.Len(t, 1, lines)
	for _, want := range []string{"Speeds at this moment.", `"pool"="live"`, `"known"=1`, `"share-above-150"=1`} {
		must.True(t, strings.Contains(lines[0], want), must.Sprint(lines[0]))
	}
}
