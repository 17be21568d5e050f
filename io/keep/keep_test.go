package keep_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/answer"
	"azurelane/io/flight"
	"azurelane/io/keep"
)

func put(k *keep.Keep, account, key string, n int) {
	f, _ := k.Begin(account, key, &flight.Flight{})
	f.End("whole", nil)
	k.Keep(account, key, &answer.Answer{Body: make([]byte, n)})
}

// One account sends keyed requests with large answers without end. The answers
// that others keep must stay: pushed out, their second submissions would get
// answer-gone through no doing of their own.
func TestAccountPushesOutItsOwn(t *testing.T) {
	var k keep.Keep
	k.Limit(100<<10, time.Hour)
	put(&k, "small", "k", 10<<10)
	for i := range 100 {
		put(&k, "large", strconv.Itoa(i), 20<<10)
	}
	must.NotNil(t, k.Find("small", "k"))
	must.Nil(t, k.Find("large", "0"))
	must.NotNil(t, k.Find("large", "99"))
	must.Nil(t, k.Find("small", "99"), must.Sprint("another account's key"))
	must.LessEq(t, 100<<10, k.Bytes())
}

// A run whose end is not on record stays, whatever it takes: a peer that asks
// and hears that nothing is held would free its key.
func TestUnrecordedRunStays(t *testing.T) {
	var k keep.Keep
	f, first := k.Begin("a", "k", &flight.Flight{})
	must.True(t, first)
	f.End("whole", nil)
	put(&k, "b", "k", 10)
	must.Eq(t, f, k.Find("a", "k"))
	k.Keep("a", "k", &answer.Answer{})
	must.Nil(t, k.Find("a", "k"), must.Sprint("nothing may be kept at a limit of zero"))
	must.Eq(t, 0, k.Bytes())
}

func TestAnswersAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var k keep.Keep
		k.Limit(1<<20, time.Minute)
		put(&k, "a", "k", 10)
		time.Sleep(59 * time.Second)
		must.NotNil(t, k.Find("a", "k"))
		time.Sleep(3 * time.Second)
		must.Nil(t, k.Find("a", "k"))
		must.Eq(t, 0, k.Bytes())
	})
}
