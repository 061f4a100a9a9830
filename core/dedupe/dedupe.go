// Package dedupe keeps the first outcome of each request ID at the owner.
package dedupe

// Table holds the first outcomes.
type Table struct{}
