package daisyplatform

import (
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

// Paths of the platform's HTTP interface.
const (
	rowPath    = "/v1/row"
	rowsPath   = "/v1/rows"
	objectPath = "/v1/object"
	vmsPath    = "/v1/vms"
)

// Query parameters of the paths.
const (
	keyParameter    = "key"
	prefixParameter = "prefix"
	nameParameter   = "name"
)

const (
	// platformHeader is set on the response to every operation. Without it, a 404 from
	// another server at a wrong address would look like a missing row or object.
	platformHeader      = "Daisy-Platform"
	platformHeaderValue = "v1"

	// eraHeader is the Era of the platform on the response to a read; 0 is omitted.
	eraHeader = "Daisy-Platform-Era"

	// anyVersion in If-None-Match requires that the row does not exist yet (RFC 9110, 13.1.2).
	anyVersion = "*"
)

type rowDocument struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type vmDocument struct {
	Name    string `json:"name"`
	Zone    string `json:"availability-zone,omitempty"`
	Peers   string `json:"peers"`
	Leaving bool   `json:"leaving,omitempty"`
}

func formatVersionTag(v Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func parseVersionTag(tag string) (Version, bool) {
	text, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return 0, false
	}
	text, ok = strings.CutSuffix(text, `"`)
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return Version(v), err == nil && v > 0
}

func setEra(header http.Header, era Era) {
	if era > 0 {
		header.Set(eraHeader, strconv.FormatUint(uint64(era), 10))
	}
}

func parseEra(header http.Header) (Era, bool) {
	text := header.Get(eraHeader)
	if text == "" {
		return 0, true
	}
	era, err := strconv.ParseUint(text, 10, 64)
	return Era(era), err == nil
}

func encodeRows(rows []Row) []rowDocument {
	documents := make([]rowDocument, 0, len(rows))
	for _, r := range rows {
		documents = append(documents, rowDocument{Key: r.Key, Version: uint64(r.Version), Value: r.Value})
	}
	return documents
}

func decodeRows(documents []rowDocument) []Row {
	var rows []Row
	for _, d := range documents {
		rows = append(rows, Row{Key: d.Key, Version: Version(d.Version), Value: d.Value})
	}
	return rows
}

func encodeVM(vm ListedVM) vmDocument {
	d := vmDocument{Name: string(vm.Name), Peers: vm.Peers.String(), Leaving: vm.Leaving}
	if vm.Zone != (daisyfleet.ZoneID{}) {
		d.Zone = vm.Zone.String()
	}
	return d
}

func (d vmDocument) decode() (ListedVM, error) {
	vm := ListedVM{Name: daisyvm.Name(d.Name), Leaving: d.Leaving}
	if d.Name == "" {
		return vm, daisyerror.InvalidRequest.New("a VM without a name")
	}
	var err error
	if d.Zone != "" {
		if vm.Zone, err = daisyfleet.ParseZoneID(d.Zone); err != nil {
			return vm, daisyerror.InvalidRequest.Wrap(err, "VM %s", d.Name)
		}
	}
	if vm.Peers, err = netip.ParseAddrPort(d.Peers); err != nil {
		return vm, daisyerror.InvalidRequest.Wrap(err, "VM %s", d.Name)
	}
	return vm, nil
}

func decodeVMs(documents []vmDocument) ([]ListedVM, error) {
	var vms []ListedVM
	for _, d := range documents {
		vm, err := d.decode()
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func queryOf(name, value string) url.Values { return url.Values{name: {value}} }
