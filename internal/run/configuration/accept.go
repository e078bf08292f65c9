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

// finishAccepted counts the availability zones that hold a new version every 50 ms for
// at most 10 s. That is longer than the 9 s within which the version must be in force
// everywhere.
const (
	zonesPollInterval = 50 * time.Millisecond
	maxZonesPolls     = 200
)

// finishAccepted brings the accepted version into force here, copies its record to the
// audit trail and waits until enough availability zones hold it. If that takes longer
// than 10 s, the result becomes change.Unknown.
func (a *applier) finishAccepted(ctx context.Context, outcome Outcome) Outcome {
	c := a.c
	if a.newRoot.Version > 0 {
		ownParts := func(_ context.Context, _ []string, partsByHash map[string][]byte) {
			for hash, content := range a.newParts {
				partsByHash[hash] = content
			}
		}
		if err := c.adopt(ctx, a.newRoot, ownParts); err != nil {
			c.Log.Error("accepted configuration did not come into force here", zap.Uint64("version", a.newRoot.Version), zap.Error(err))
		}
		if c.Root().Version >= a.newRoot.Version {
			c.noteDocumentVersion(a.documentVersion)
		}
	} else if err := c.adoptFromStore(ctx); err != nil {
		c.Log.Warn("reading the configuration from the store failed", zap.Error(err))
	}
	if err := c.auditAccepted(ctx, c.Root()); err != nil {
		// The root holds the record until a later change copies it to the trail.
		c.Log.Warn("writing the audit trail failed", zap.Error(err))
	}
	for range maxZonesPolls {
		outcome.Zones = c.zonesHolding(outcome.Version)
		if len(outcome.Zones) >= c.requiredZones() {
			return outcome
		}
		if !c.pause(context.WithoutCancel(ctx), zonesPollInterval) {
			break
		}
	}
	outcome.Result = change.Unknown
	outcome.Detail = fmt.Sprintf("version %d is stored and will come into force, but only entries in %d availability zones (%s) are known to hold it",
		outcome.Version, len(outcome.Zones), strings.Join(outcome.Zones, ", "))

	return outcome
}

// zonesHolding returns the availability zones, sorted by name, that hold the
// version or a later one.
func (c *Configuration) zonesHolding(version uint64) []string {
	zones := slices.Clone(c.Peers.ZonesHolding(version))
	if c.Root().Version >= version {
		zones = append(zones, c.Zone)
	}
	slices.Sort(zones)

	return slices.Compact(zones)
}

// requiredZones returns MinZones, or the number of zones in the configuration in force
// if that number is lower, but at least 1. Without a configuration in force, it returns
// MinZones.
func (c *Configuration) requiredZones() int {
	if c.Config().Version == 0 {
		return c.MinZones
	}
	zones := 0
	for _, r := range c.Config().Regions {
		zones += len(r.Zones)
	}

	return max(1, min(c.MinZones, zones))
}
