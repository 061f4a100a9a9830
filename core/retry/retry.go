// Package retry decides whether and when a failed request is sent again.
package retry

// Budget bounds retries to a share of first attempts.
type Budget struct{}
