package region

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// processPauseGap is the time without events that shows that the process was
// paused: a running process receives ticks several times a second.
const processPauseGap = 2 * time.Second

// vmsListed retires members that cannot be reached and whose VM has been absent from
// the platform's list for longer than ListLag. A VM that was running when it was first
// absent would be listed by then. The runtime delivers unchanged lists too, so that a
// VM that stays absent is noticed.
func (c *core) vmsListed(e event.VMsListed) {
	names := make([]string, 0, len(e.VMs))
	for _, vm := range e.VMs {
		names = append(names, vm.Name)
	}
	vmsListed := set.New(names...)
	for _, m := range c.doc.Members {
		id := event.Member(m)
		p, known := c.peers[id]
		if id == c.settings.Self || vmsListed.Has(m.VM) || (known && p.live) {
			delete(c.absentSince, id)

			continue
		}
		since, wasAbsent := c.absentSince[id]
		if !wasAbsent {
			c.absentSince[id] = c.now
		}
		if wasAbsent && c.now-since > c.settings.ListLag {
			c.retired[id] = true
		}
	}
}

// forgetDepartedMembers deletes the data of members that are neither in the
// document nor live. The sequence numbers of the transfers received from such a
// member are kept until the own cut number is above that of the transfers, because
// late copies are then dropped anyway.
func (c *core) forgetDepartedMembers() {
	for id, p := range c.peers {
		if !p.live && p.receivedTransfers.cut < c.cut && !slices.Contains(c.doc.Members, member(id)) {
			delete(c.peers, id)
			delete(c.announcements, id)
		}
	}
	for id := range c.retired {
		if !slices.Contains(c.doc.Members, member(id)) {
			delete(c.retired, id)
		}
	}
	for id := range c.absentSince {
		if !slices.Contains(c.doc.Members, member(id)) {
			delete(c.absentSince, id)
		}
	}
}
