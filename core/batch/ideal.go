package batch

import "time"

// ideal is the best that any upstream could do if nothing ran there: what tells a
// request that is late for the lack of a place from one that would be late
// anyway, such as one with a prompt that takes longer to read than its objective.
// Passed over like the former, the latter would wait until it is refused, though no
// wait can help it.
type ideal struct {
	base, perToken time.Duration
}

func (i *ideal) add(p *pace) {
	if i.perToken == 0 {
		i.base, i.perToken = p.base(), p.perToken()
		return
	}
	i.base, i.perToken = min(i.base, p.base()), min(i.perToken, p.perToken())
}

// soonest is the time to the first piece of a prompt that takes so many times as
// long to read as an answer token to make.
func (i *ideal) soonest(reads float64) time.Duration {
	return i.base + time.Duration(reads*float64(i.perToken))
}
