package event

// LoadReported delivers the load report of a backend server. The report may be late or
// wrong.
type LoadReported struct {
	At

	Backend string
	// InFlight is the number of requests that the backend server runs.
	InFlight int
	// Slots is the number of requests that the backend server can run at a time.
	Slots int
	// Leaving is true when the backend server takes no new work.
	Leaving bool
}

// ProbeEnded reports whether a probe of a backend server succeeded.
type ProbeEnded struct {
	At

	Backend string
	OK      bool
}

// ProbeBackend asks for the health and the load report of a backend server;
// ProbeEnded and, on success, LoadReported answer it.
type ProbeBackend struct {
	effect

	Backend string
}
