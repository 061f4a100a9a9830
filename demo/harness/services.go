package harness

import "time"

const (
	// lagosSlots and lagosConnections are those of section 1.3 of the design page
	// for the attire organisation; the others are for the onboarding one.
	lagosSlots               = 12
	lagosMaxConnections      = 110
	onboardingSlots          = 6
	onboardingMaxConnections = 130
)

// Bookings returns the keyed service of the example organisation "lagos".
func Bookings(orderTime time.Duration) Service {
	return Service{
		Name: "lagos/bookings", Fencing: "epoch", Slots: lagosSlots, MaxConnections: lagosMaxConnections, ServiceTime: orderTime,
	}
}

// Patterns returns the download service of the example organisation "lagos".
func Patterns(orderTime time.Duration) Service {
	return Service{
		Name: "lagos/patterns", Fencing: "deadline", Slots: lagosSlots, MaxConnections: lagosMaxConnections, Unkeyed: true, ServiceTime: orderTime,
	}
}

// SignOff returns the keyed service of the example organisation "primeiro-dia".
func SignOff(orderTime time.Duration) Service {
	return Service{
		Name: "primeiro-dia/sign-off", Fencing: "deadline", Slots: onboardingSlots, MaxConnections: onboardingMaxConnections, ServiceTime: orderTime,
	}
}
