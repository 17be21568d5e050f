// Package follow keeps an entry's configuration up to date.
package follow

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/conf"
	"azurelane/core/sites"
	"azurelane/core/wire"
)

// BeatEvery is the interval at which an entry asks for a newer configuration.
// With it a change is in force about a second after it was accepted.
const BeatEvery = time.Second

type (
	// Follow beats at control and installs only higher versions, so that an
	// answer from a replica that lags can never bring an old one back. Its
	// exported fields are set before Serve is called.
	Follow struct {
		Site    string
		Beat    func() *wire.Beat
		Asker   asker
		Install func(version uint64, cfg *conf.Config)
		Log     logr.Logger

		now atomic.Pointer[inForce]
	}

	asker interface {
		Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error)
	}

	inForce struct {
		version uint64
		cfg     *conf.Config
	}
)

// Serve beats until ctx ends.
func (f *Follow) Serve(ctx context.Context) error {
	tick := time.NewTicker(BeatEvery)
	defer tick.Stop()
	for {
		if err := f.once(ctx); err != nil && ctx.Err() == nil {
			f.Log.Info("No answer from control.", "err", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Config returns what is in force, or nil before the first version is known.
func (f *Follow) Config() *conf.Config {
	if now := f.now.Load(); now != nil {
		return now.cfg
	}
	return nil
}

// Version returns the version in force, zero before the first.
func (f *Follow) Version() uint64 {
	if now := f.now.Load(); now != nil {
		return now.version
	}
	return 0
}

func (f *Follow) once(ctx context.Context) error {
	r, err := f.Asker.Ask(ctx, func() *wire.Frame {
		b := f.Beat()
		b.Version = f.Version()
		return &wire.Frame{Body: &wire.Frame_Beat{Beat: b}}
	})
	if err != nil {
		return err
	}
	return f.take(r.GetBeatReply())
}

func (f *Follow) take(r *wire.BeatReply) error {
	if r.GetVersion() <= f.Version() || len(r.GetDocument()) == 0 {
		return nil
	}
	set, err := sites.Parse(r.GetDocument())
	if err != nil {
		return fmt.Errorf("follow: version %d: %w", r.GetVersion(), err)
	}
	cfg, err := set.For(f.Site)
	if err != nil {
		return fmt.Errorf("follow: version %d: %w", r.GetVersion(), err)
	}
	f.now.Store(&inForce{r.GetVersion(), cfg})
	f.Install(r.GetVersion(), cfg)
	f.Log.Info("Configuration in force.", "version", r.GetVersion())
	return nil
}
