// Package part describes what one client account gets of a pool.
package part

// Part is the standing of one client account in one pool. Slots are a rate of slot time: one slot is one
// second of slot time per second.
type Part struct {
	Weight  float64 // Relative to the other accounts.
	Held    int     // Slots held now.
	Used    float64 // Slots used on average over the last seconds.
	Usual   float64 // Slots used on average while the pool had room.
	Waiting float64 // Slot time of the waiting tickets, in seconds.
	Share   float64 // Slots that it may use before others go first; infinite while nothing waits.
	Credit  float64 // Slot time that it left of its share, in seconds.
	Beyond  bool    // It holds more than its share and its credit allow.
	Urgent  int32   // No waiting ticket has a priority below this; a smaller number is more urgent.

	RefusedWithin, RefusedBeyond uint64 // Tickets refused for lack of room while it was within its share, and beyond it.
}
