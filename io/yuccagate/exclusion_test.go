package yuccagate

import (
	"testing"
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroster"
)

// Guards against the failure that the daemon which holds a request sends it to a target that its leader granted
// from an older list, or fetches parts of its prompt from one.
func TestGrantsAreCheckedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := &Gate{
		settings: Settings{Centre: "odessa", Regions: map[yuccaid.Centre]yuccaid.Region{"odessa": "permian", "austin": "hills", "waco": "hills"}},
		roster:   yuccaroster.New(),
	}
	for at, entry := range []yuccaroster.Entry{
		{Target: "near", Centre: "odessa", Version: "v1"},
		{Target: "far", Centre: "austin", Version: "v1"},
		{Target: "next", Centre: "austin", Version: "v2"},
		{Target: "going", Centre: "austin", Version: "v1", Leaving: true},
		{Target: "emptied", Centre: "waco", Version: "v1"},
		{Target: "nowhere", Centre: "lubbock", Version: "v1"},
		yuccaroster.Evacuation("waco", 0),
	} {
		entry.Revision = yuccaroster.Revision(at + 1)
		if !entry.IsEvacuation() {
			entry.Pool, entry.Address = "desk", "address of "+string(entry.Target)
		}
		gate.roster.Put(now, entry)
	}
	limited, unlimited := &placement{pool: "desk"}, &placement{pool: "desk"}
	limited.request.Regions, limited.request.Version = yuccaregion.Only("hills"), "v1"
	unlimited.request.FailedTargets = []yuccaid.Target{"far"}
	for _, each := range []struct {
		target             yuccaid.Target
		limited, unlimited yuccaallow.Exclusion
		fetched            bool
	}{
		{"near", yuccaallow.OtherRegion, yuccaallow.Allowed, false},
		{"far", yuccaallow.Allowed, yuccaallow.Allowed, true},
		{"next", yuccaallow.OtherVersion, yuccaallow.Allowed, true},
		{"going", yuccaallow.Leaving, yuccaallow.Leaving, true},
		{"emptied", yuccaallow.Evacuated, yuccaallow.Evacuated, false},
		{"nowhere", yuccaallow.OtherRegion, yuccaallow.Allowed, false},
		{"none", yuccaallow.Unregistered, yuccaallow.Unregistered, false},
	} {
		if got := gate.grantExclusion(limited, each.target); got != each.limited {
			t.Errorf("the limited request on %s: %q, want %q", each.target, got, each.limited)
		}
		if got := gate.grantExclusion(unlimited, each.target); got != each.unlimited {
			t.Errorf("the unlimited request on %s: %q, want %q", each.target, got, each.unlimited)
		}
		if got := gate.fetchAddress(limited, each.target) != ""; got != each.fetched {
			t.Errorf("the limited request fetches from %s: %t, want %t", each.target, got, each.fetched)
		}
	}
	if got, want := gate.excludedTargets(limited), "evacuated 1, leaving 1, region 2, version 1"; got != want {
		t.Errorf("excluded: %q, want %q", got, want)
	}
}
