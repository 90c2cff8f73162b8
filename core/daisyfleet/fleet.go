// Package daisyfleet identifies fleets and their availability zones.
//
// Two fleets may use the same names for availability zones and services, so an
// identifier always includes the fleet.
package daisyfleet

import (
	"strings"

	"daisyyoke/core/daisyerror"
)

// Name is the name of a fleet, for instance "vigia-lar".
type Name string

// ZoneID identifies an availability zone.
type ZoneID struct {
	Fleet Name
	Zone  string
}

// String returns the ID as FLEET/NAME.
func (z ZoneID) String() string { return string(z.Fleet) + "/" + z.Zone }

// ParseZoneID parses FLEET/NAME. It fails with daisyerror.InvalidSetting.
func ParseZoneID(text string) (ZoneID, error) {
	fleet, zone, ok := strings.Cut(text, "/")
	if !ok || !ValidName(fleet) || !ValidName(zone) {
		return ZoneID{}, daisyerror.InvalidSetting.New("availability zone %q: want FLEET/NAME in kebab case", text)
	}
	return ZoneID{Fleet: Name(fleet), Zone: zone}, nil
}

// AvailabilityZone is an availability zone of a fleet.
type AvailabilityZone struct {
	ID   ZoneID
	City string
	// Evacuated means that the endpoints of the zone get no new requests.
	Evacuated bool
}

// MaxNameLength is the longest allowed name in bytes, that of a DNS label.
const MaxNameLength = 63

// ValidName reports whether text is a kebab-case DNS label: lower-case letters, digits
// and inner hyphens, at most MaxNameLength bytes.
func ValidName(text string) bool {
	if text == "" || len(text) > MaxNameLength {
		return false
	}
	if text[0] == '-' || text[len(text)-1] == '-' {
		return false
	}
	for _, r := range text {
		if !isNameRune(r) {
			return false
		}
	}
	return true
}

func isNameRune(r rune) bool {
	return r == '-' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
}
