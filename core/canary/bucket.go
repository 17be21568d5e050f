package canary

import (
	"math"
	"time"
)

const (
	// Buckets is the number of buckets of a histogram of times. Their bounds grow by the square
	// root of two from 1 ms, so that the last one begins at 370 s.
	Buckets = 38
	// bucketsPerDoubling is the number of buckets over which times double.
	bucketsPerDoubling = 2
)

// Bucket returns the bucket of a time.
func Bucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(bucketsPerDoubling*math.Log2(ms)), Buckets-1)
}

// BucketTime returns the shortest time of a bucket.
func BucketTime(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/bucketsPerDoubling) * float64(time.Millisecond))
}

// SizeClass returns the size class of a request by the tokens of its prompt. Times are compared
// within a class, because a longer prompt takes longer to read.
func SizeClass(promptTokens int64) int32 {
	const doublings = 2 // Of the prompt, for each class.
	class := int32(0)
	for n := promptTokens >> 8; n > 0; n >>= doublings {
		class++
	}
	return class
}
