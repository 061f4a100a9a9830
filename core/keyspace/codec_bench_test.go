package keyspace_test

import (
	"fmt"
	"testing"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

// newLargeAssignment returns the assignment of a service with the given number of holders,
// some of whose ranges are moving.
func newLargeAssignment(holders int) keyspace.Assignment {
	a := keyspace.Assignment{}
	for i := range holders {
		witnesses := make([]membership.Witness, 0, 3)
		for j := range 3 {
			witnesses = append(witnesses, membership.NewWitness(identity.Incarnation(uint64(3*i+j+1)*0x9e3779b97f4a7c15), fmt.Sprintf("10.1.%d.41:7600", j)))
		}
		instance := membership.NewInstance(fmt.Sprintf("instance-%03d", i), "", fmt.Sprintf("10.2.0.%d:7600", i), identity.NewLocation("region", "domain"))
		member := membership.RestoreMember(identity.Incarnation(uint64(i+1)*0xbf58476d1ce4e5b9), instance, 3, witnesses)
		a = a.AddHolder(keyspace.NewHolder(member, keyspace.NewProcess(fmt.Sprintf("i-%06x", i*7919), int64(1700000000000+i)), 7))
	}
	a = a.AssignUnowned()
	for i := range 100 {
		r := a.Ranges()[i*len(a.Ranges())/100]
		a = a.StartMove(r.Owner(), r.Span, a.Holders()[i%holders].InstanceName())
	}
	return a
}

// BenchmarkCodec measures what each sidecar spends on a change of the assignment.
func BenchmarkCodec(b *testing.B) {
	for _, holders := range []int{6, 30, 115, 400} {
		a := newLargeAssignment(holders)
		data, err := a.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode-%d", holders), func(b *testing.B) {
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				if _, err := a.Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("decode-%d", holders), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := keyspace.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
