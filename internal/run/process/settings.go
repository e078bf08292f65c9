package process

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Settings are the values of the flags and environment variables of
// `greengagetally entry`.
type Settings struct {
	VM     string
	Zone   string
	Region string
	Site   string

	// Listener addresses are "IP address:port"; port 0 chooses a free port.
	LookupAddress   string
	RequestAddress  string
	PeerAddress     string
	CarryAddress    string
	OperatorAddress string

	// Callers and other entry VMs are told the advertised addresses. An empty address
	// stands for the listener's address.
	AdvertiseLookup  string
	AdvertiseRequest string
	AdvertisePeer    string
	AdvertiseCarry   string

	PlatformURL string
	// TLSCert, TLSKey and TLSCA are the PEM files for connections of entry VMs and
	// operators.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// InsecurePlaintext turns TLS off between entry VMs and for operators.
	InsecurePlaintext bool
	// CallerCert and CallerKey are the PEM files for the lookup and request
	// listeners, which speak plain HTTP when both are empty.
	CallerCert string
	CallerKey  string
	// OperatorTokens is the file of the operators' bearer tokens, or "" for none.
	OperatorTokens string

	LogFormat string
	LogLevel  string
	// LookupTTL is how long callers may use a lookup response.
	LookupTTL time.Duration
	// ListLag is the longest delay of a change in the platform's list of VMs.
	ListLag time.Duration
	// SeedPeers are the peer addresses of other entry VMs.
	SeedPeers []string
	// Policy names simpler baselines, separated by commas. In experiments, they replace
	// parts of the steering. Policy is empty in production.
	Policy string
}

// self returns this entry VM's own record at its start.
func (s Settings) self(incarnation uint64, l *listeners) event.EntryView {
	return event.EntryView{
		Member:         event.Member{VM: s.VM, Incarnation: incarnation},
		Region:         s.Region,
		Zone:           s.Zone,
		Site:           s.Site,
		PeerAddress:    advertisedAddress(s.AdvertisePeer, l.peer),
		CarryAddress:   advertisedAddress(s.AdvertiseCarry, l.carry),
		RequestAddress: advertisedAddress(s.AdvertiseRequest, l.request),
		LookupAddress:  advertisedAddress(s.AdvertiseLookup, l.lookup),
		State:          peerpb.EntryState_ENTRY_STATE_STARTING,
	}
}
