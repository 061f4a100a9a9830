package harness

import "time"

const (
	// lagosSlots and lagosMaxConnections are the figures of section 1.3 of the design
	// page for the attire organisation; the onboarding constants are those for the
	// onboarding organisation.
	lagosSlots               = 12
	lagosMaxConnections      = 110
	onboardingSlots          = 6
	onboardingMaxConnections = 130
)

// Bookings returns the keyed service of the example organisation "lagos".
func Bookings(serviceTime time.Duration) Service {
	return Service{
		Name: "lagos/bookings", Fencing: "epoch", Slots: lagosSlots, MaxConnections: lagosMaxConnections, ServiceTime: serviceTime,
	}
}

// Patterns returns the download service of the example organisation "lagos".
func Patterns(serviceTime time.Duration) Service {
	return Service{
		Name: "lagos/patterns", Fencing: "deadline", Slots: lagosSlots, MaxConnections: lagosMaxConnections, Unkeyed: true, ServiceTime: serviceTime,
	}
}

// SignOff returns the keyed service of the example organisation "primeiro-dia".
func SignOff(serviceTime time.Duration) Service {
	return Service{
		Name: "primeiro-dia/sign-off", Fencing: "deadline", Slots: onboardingSlots, MaxConnections: onboardingMaxConnections, ServiceTime: serviceTime,
	}
}
