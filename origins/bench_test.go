package origins

import (
	"testing"
	"time"
)

func BenchmarkPut(b *testing.B) {
	b.ReportAllocs()
	r := New(fixedVersions{})
	for i := 0; b.Loop(); i++ {
		r.Put(Record{Key: KeyOf("a", uint64(i)), Attempt: first, Origin: v1, TTL: time.Minute})
	}
}
