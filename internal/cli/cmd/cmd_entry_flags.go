package cmd

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/run/logging"
	"github.com/greengagetally/greengagetally/internal/run/process"
)

const (
	defaultLookupTTL = 10 * time.Second
	defaultListLag   = 30 * time.Second
)

// baselinePolicies are the values of --policy. They select simpler kinds of steering,
// with which experiments compare the normal steering.
var baselinePolicies = []string{"round-robin", "least-in-flight", "two-choices", "no-hedging", "no-limits"}

// entryFlags holds the flags of the entry command. set.parse checks each flag by
// itself; the method settings checks the flags against each other.
type entryFlags struct {
	set *settings

	vm, zone, region, site                                                    *string
	lookupAddress, requestAddress, peerAddress, carryAddress, operatorAddress *netip.AddrPort
	advertiseLookup, advertiseRequest, advertisePeer, advertiseCarry          *netip.AddrPort
	platformURL, operatorTokens, seedPeers, policy                            *string
	tlsCert, tlsKey, tlsCA, logFormat, logLevel                               *string
	callerCert, callerKey                                                     *string
	lookupTTL, listLag                                                        *time.Duration
	insecurePlaintext                                                         *bool
}

func newEntryFlags() *entryFlags {
	s := newSettings("entry [flags]",
		"Runs the process of an entry VM: it answers lookups, forwards requests and\nworks with the other entry VMs until SIGTERM starts its graceful shutdown.",
		"  greengagetally entry --vm entry-1 --zone finistere-1 --region finistere \\\n"+
			"    --platform-url http://127.0.0.1:7000 --tls-cert vm.pem --tls-key vm.key --tls-ca ca.pem\n"+
			"  GREENGAGETALLY_LOG_LEVEL=debug greengagetally entry --vm entry-1 --zone a1 --region a \\\n"+
			"    --platform-url http://127.0.0.1:7000 --insecure-plaintext\n")

	return &entryFlags{
		set:               s,
		vm:                s.text("vm", "", true, "Name of this VM; the certificate's DNS name must be the same."),
		zone:              s.text("zone", "", true, "Availability zone of this VM."),
		region:            s.text("region", "", true, "Region of this VM."),
		site:              s.text("site", "", false, "Site of this VM; client blocks may be steered to it."),
		lookupAddress:     s.address("lookup-address", "127.0.0.1:7100", true, "Listener for lookups."),
		requestAddress:    s.address("request-address", "127.0.0.1:7101", true, "Listener for callers' requests."),
		peerAddress:       s.address("peer-address", "127.0.0.1:7102", true, "Listener for control messages of other entry VMs."),
		carryAddress:      s.address("carry-address", "127.0.0.1:7103", true, "Listener for requests that other entry VMs carry here."),
		operatorAddress:   s.address("operator-address", "127.0.0.1:7104", true, "Listener for operators and metrics."),
		advertiseLookup:   s.address("advertise-lookup", "", false, "Address of the lookup listener as others see it; the listener's when empty."),
		advertiseRequest:  s.address("advertise-request", "", false, "Address of the request listener as others see it; the listener's when empty."),
		advertisePeer:     s.address("advertise-peer", "", false, "Address of the peer listener as others see it; the listener's when empty."),
		advertiseCarry:    s.address("advertise-carry", "", false, "Address of the carry listener as others see it; the listener's when empty."),
		platformURL:       s.text("platform-url", "http://127.0.0.1:7000", true, "URL of the platform's key-value service, such as http://127.0.0.1:7000."),
		tlsCert:           s.file("tls-cert", false, "PEM file of the certificate; it is read again when it changes."),
		tlsKey:            s.file("tls-key", false, "PEM file of the certificate's key."),
		tlsCA:             s.file("tls-ca", false, "PEM file of the CA that signs the certificates of entry VMs."),
		insecurePlaintext: s.boolean("insecure-plaintext", "Speak to other entry VMs and operators without TLS, for tests on one machine."),
		callerCert:        s.file("caller-cert", false, "PEM file of the certificate for lookups and callers' requests, which use plain HTTP without it; it is read again when it changes."),
		callerKey:         s.file("caller-key", false, "PEM file of the key of --caller-cert."),
		operatorTokens:    s.file("operator-tokens", false, "File of the bearer tokens of operators, one name and token a line."),
		logFormat:         s.choice("log-format", logging.FormatJSON, []string{logging.FormatJSON, logging.FormatConsole}, "Format of log entries."),
		logLevel:          s.choice("log-level", "info", []string{"debug", "info", "warn", "error"}, "Lowest level of log entries."),
		lookupTTL:         s.duration("lookup-ttl", defaultLookupTTL, 0, time.Hour, "How long callers may use a lookup response; the graceful shutdown waits as long."),
		listLag:           s.duration("list-lag", defaultListLag, 0, time.Hour, "Longest delay of changes in the platform's list of VMs."),
		seedPeers:         s.text("seed-peers", "", false, "Peer addresses of other entry VMs, separated by commas."),
		policy:            s.text("policy", "", false, "Baselines for experiments, separated by commas: "+strings.Join(baselinePolicies, ", ")+"."),
	}
}

// settings checks the flags against each other and returns the settings of the
// process. The error is a usageError.
func (f *entryFlags) settings() (process.Settings, error) {
	seedPeers, err := parseSeedPeers(*f.seedPeers)
	if err != nil {
		return process.Settings{}, err
	}
	if err := f.check(); err != nil {
		return process.Settings{}, err
	}

	return process.Settings{
		VM: *f.vm, Zone: *f.zone, Region: *f.region, Site: *f.site,
		LookupAddress: f.lookupAddress.String(), RequestAddress: f.requestAddress.String(), PeerAddress: f.peerAddress.String(),
		CarryAddress: f.carryAddress.String(), OperatorAddress: f.operatorAddress.String(),
		AdvertiseLookup: addressOrEmpty(*f.advertiseLookup), AdvertiseRequest: addressOrEmpty(*f.advertiseRequest),
		AdvertisePeer: addressOrEmpty(*f.advertisePeer), AdvertiseCarry: addressOrEmpty(*f.advertiseCarry),
		PlatformURL: *f.platformURL, TLSCert: *f.tlsCert, TLSKey: *f.tlsKey, TLSCA: *f.tlsCA, InsecurePlaintext: *f.insecurePlaintext,
		CallerCert: *f.callerCert, CallerKey: *f.callerKey,
		OperatorTokens: *f.operatorTokens, LogFormat: *f.logFormat, LogLevel: *f.logLevel,
		LookupTTL: *f.lookupTTL, ListLag: *f.listLag, SeedPeers: seedPeers, Policy: *f.policy,
	}, nil
}

// check reports a wrong URL or policy and missing PEM files. The error is a usageError.
func (f *entryFlags) check() error {
	if u, err := url.Parse(*f.platformURL); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return usageError(fmt.Sprintf("--platform-url %q: a URL such as http://127.0.0.1:7000 is expected", *f.platformURL))
	}
	for _, name := range splitList(*f.policy) {
		if !slices.Contains(baselinePolicies, name) {
			return usageError(fmt.Sprintf("--policy %q: a list of %s is expected", *f.policy, strings.Join(baselinePolicies, ", ")))
		}
	}
	if (*f.callerCert == "") != (*f.callerKey == "") {
		return usageError("--caller-cert and --caller-key: both or neither are expected")
	}
	if *f.insecurePlaintext {
		return nil
	}
	for _, file := range []struct{ name, value string }{{"tls-cert", *f.tlsCert}, {"tls-key", *f.tlsKey}, {"tls-ca", *f.tlsCA}} {
		if file.value == "" {
			return usageError(fmt.Sprintf("--%s or %s is required unless --insecure-plaintext is set: the path of a PEM file", file.name, envVariable(file.name)))
		}
	}

	return nil
}

// parseSeedPeers splits and checks the value of --seed-peers. The error is a usageError.
func parseSeedPeers(list string) ([]string, error) {
	seedPeers := splitList(list)
	for _, seed := range seedPeers {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return nil, usageError(fmt.Sprintf("--seed-peers %q: numeric addresses and ports such as 127.0.0.1:7102, separated by commas, are expected", list))
		}
	}

	return seedPeers, nil
}

// splitList splits a list at its commas; an empty text gives nil.
func splitList(list string) []string {
	if list == "" {
		return nil
	}

	return strings.Split(list, ",")
}

// addressOrEmpty returns the address as text, or "" when it was not given.
func addressOrEmpty(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}

	return a.String()
}
