package index_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/index"
	"azurelane/core/pool"
)

func config(n int) *conf.Config {
	cfg := &conf.Config{Accounts: map[string]acct.Account{}, Pools: map[string]pool.Pool{
		"engines": {Models: []string{"small", "large"}}, "notes": {Service: "notes"},
	}}
	for i := range n {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
		cfg.Accounts[fmt.Sprintf("account-%d", i)] = acct.Account{KeySHA256: hex.EncodeToString(sum[:])}
	}
	return cfg
}

func TestLookUp(t *testing.T) {
	x := index.New(config(5))
	name, a, ok := x.Account(sha256.Sum256([]byte("key-3")))
	must.True(t, ok)
	must.Eq(t, "account-3", name)
	must.Eq(t, acct.DefaultMaxConnections, a.MaxConnections)
	_, _, ok = x.Account(sha256.Sum256([]byte("none")))
	must.False(t, ok)
	p, ok := x.Model("large")
	must.True(t, ok)
	must.Eq(t, "engines", p)
	_, ok = x.Model("notes")
	must.False(t, ok)
	p, ok = x.Service("notes")
	must.True(t, ok)
	must.Eq(t, pool.DefaultMaxRun, x.Pool(p).MaxRun)
}

// A request's look-up must not grow with the number of accounts.
func BenchmarkAccount(b *testing.B) {
	for _, n := range []int{5, 50, 390, 4000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			x := index.New(config(n))
			sum := index.Digest(sha256.Sum256([]byte("key-1")))
			for b.Loop() {
				x.Account(sum)
			}
		})
	}
}
