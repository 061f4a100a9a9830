// Package local serves the HTTP address that the daemon offers to its own instance:
// announcements of the upstream, draining, health, readiness, metrics and, below
// /debug/pprof, profiles.
package local

import (
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/pprof"

	"briarwell.dev/core/metrics"
)

// Daemon is the daemon that the local address inspects and controls.
type Daemon interface {
	// Ready reports whether the daemon can serve callers, and the reason if not.
	Ready() (bool, string)
	// Announce processes the body of an announcement from the upstream. It returns
	// an error if the announcement is invalid or not accepted.
	Announce(body []byte) error
	// Drain makes the daemon hand over its shards and leave the cluster.
	Drain()
}

// New returns the HTTP application that serves daemon and its metrics.
func New(daemon Daemon, collector *metrics.Collector) *fiber.App {
	app := fiber.New(fiber.Config{AppName: "briarwelld local"})
	app.Use(pprof.New())
	app.Get("/healthz", func(c fiber.Ctx) error {
		return c.SendString("ok\n")
	})
	app.Get("/readyz", func(c fiber.Ctx) error {
		return handleReady(c, daemon)
	})
	app.Get("/metrics", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
		return c.Send(collector.Render())
	})
	app.Post("/briarwell/announce", func(c fiber.Ctx) error {
		return handleAnnounce(c, daemon)
	})
	app.Post("/briarwell/drain", func(c fiber.Ctx) error {
		daemon.Drain()
		return c.SendStatus(fiber.StatusAccepted)
	})
	return app
}

func handleReady(c fiber.Ctx, daemon Daemon) error {
	ok, reason := daemon.Ready()
	if !ok {
		return c.Status(fiber.StatusServiceUnavailable).SendString(reason + "\n")
	}
	return c.SendString("ready\n")
}

func handleAnnounce(c fiber.Ctx, daemon Daemon) error {
	if err := daemon.Announce(c.Body()); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	return c.SendStatus(fiber.StatusNoContent)
}
