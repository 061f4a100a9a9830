package capacity

// substantialChange is the ratio of two values of the slowness from which they differ
// substantially: it is far above the noise of the estimate.
const substantialChange = 1.5

// Reasons of a change of the speed.
const (
	reasonSlower = "slower"
	reasonFaster = "faster"
)

// ChangeLog selects the changes of an estimate that are worth a log line. The zero value has
// seen none.
type ChangeLog struct {
	limit    int
	slowness float64
	// pending is the reason of a change of the speed in the last estimate, "" if none.
	pending string
}

// Observe takes the present estimate, about once per second. It returns the reason of a
// substantial change, and false if there is none. A change of the speed has to show in two
// calls, since the speed of an upstream may change several times per second.
func (l *ChangeLog) Observe(estimate Estimate) (string, bool) {
	if l.slowness == 0 {
		l.slowness = estimate.Slowness
	}
	changed := ""
	switch {
	case estimate.Slowness > substantialChange*l.slowness:
		changed = reasonSlower
	case estimate.Slowness*substantialChange < l.slowness:
		changed = reasonFaster
	}
	confirmed := changed != "" && changed == l.pending
	l.pending = changed
	switch {
	case estimate.Learned != l.limit:
		l.limit = estimate.Learned
		return string(estimate.Reason), true
	case confirmed:
		l.slowness, l.pending = estimate.Slowness, ""
		return changed, true
	default:
		return "", false
	}
}
