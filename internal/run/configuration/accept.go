package configuration

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/config/change"
)

// The holders of a new version are counted every 50 ms for 10 s, which is
// longer than a version needs to be in force everywhere (9 s).
const (
	acceptPoll  = 50 * time.Millisecond
	acceptPolls = 200
)

// accept brings the version into force here, copies it to the audit trail and
// waits until enough availability zones hold it.
func (a *attempt) accept(ctx context.Context, out Outcome) Outcome {
	c := a.c
	if a.root.Version > 0 {
		own := func(_ context.Context, _ []string, have map[string][]byte) {
			for hash, content := range a.parts {
				have[hash] = content
			}
		}
		if err := c.adopt(ctx, a.root, own); err != nil {
			c.Log.Error("accepted configuration not in force here", zap.Uint64("version", a.root.Version), zap.Error(err))
		}
		if c.Root().Version >= a.root.Version {
			c.sawVersion(a.newest)
		}
	} else if err := c.refresh(ctx); err != nil {
		c.Log.Warn("configuration not read from the store", zap.Error(err))
	}
	if err := c.flush(ctx, c.Root()); err != nil {
		// The root itself holds the record until a later change copies it.
		c.Log.Warn("audit trail not written", zap.Error(err))
	}
	for range acceptPolls {
		out.Zones = c.zonesWith(out.Version)
		if len(out.Zones) >= c.zonesNeeded() {
			return out
		}
		if !c.pause(context.WithoutCancel(ctx), acceptPoll) {
			break
		}
	}
	out.Result = change.Unknown
	out.Detail = fmt.Sprintf("version %d is stored and will come into force, but only entries in %d availability zones (%s) are known to hold it",
		out.Version, len(out.Zones), strings.Join(out.Zones, ", "))

	return out
}

// zonesWith returns the sorted availability zones that hold a version.
func (c *Configuration) zonesWith(version uint64) []string {
	zones := slices.Clone(c.Peers.ZonesHolding(version))
	if c.Root().Version >= version {
		zones = append(zones, c.Zone)
	}
	slices.Sort(zones)

	return slices.Compact(zones)
}

// zonesNeeded is MinZones, or fewer when the configuration in force has fewer
// zones.
func (c *Configuration) zonesNeeded() int {
	if c.Config().Version == 0 {
		return c.MinZones
	}
	zones := 0
	for _, r := range c.Config().Regions {
		zones += len(r.Zones)
	}

	return max(1, min(c.MinZones, zones))
}
