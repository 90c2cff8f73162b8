package daisypeer

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyservice"
)

// filler sets every field of a value to a distinct non-zero value where the type allows it.
type filler struct{ next int }

func (f *filler) fill(v reflect.Value) {
	f.next++
	switch v.Interface().(type) {
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.AddrPortFrom(testEndpoint.Addr(), uint16(f.next))))
		return
	case time.Time:
		v.Set(reflect.ValueOf(testNow.Add(time.Duration(f.next) * time.Millisecond)))
		return
	case time.Duration:
		v.SetInt(int64(f.next) * int64(time.Millisecond))
		return
	case daisyfeed.Topic:
		v.SetInt(int64(f.next % daisyfeed.Topics))
		return
	case daisyconfig.Hash:
		v.SetString(fmt.Sprintf("%064x", f.next))
		return
	}
	if v.Type() == reflect.TypeFor[daisyendpoint.RateLimit]() {
		v.Set(reflect.ValueOf(daisyendpoint.Limited{Interval: time.Duration(f.next) * time.Millisecond}))
		return
	}
	if v.Type() == reflect.TypeFor[daisycrash.Finding]() {
		v.Set(f.filled(reflect.TypeFor[daisycrash.Crash]()))
		return
	}
	f.fillKind(v)
}

// filled returns a value of a type with every field set.
func (f *filler) filled(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	f.fill(v)
	return v
}

func (f *filler) fillKind(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.String:
		v.SetString(fmt.Sprintf("name-%d", f.next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(f.next))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.next))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next))
	default:
		panic("filler does not support type " + v.Type().String())
	}
}

func TestEncodeDecodeRoundTripOfEveryField(t *testing.T) {
	for _, m := range testMessages() {
		v := reflect.New(reflect.TypeOf(m)).Elem()
		(&filler{}).fill(v)
		if s, ok := v.Interface().(daisymessage.SnapshotGiven); ok {
			makeConsistent(s.Snapshot.Intent)
			s.Snapshot = withHash(s.Snapshot)
			v.Set(reflect.ValueOf(s))
		}
		e, d := testCodecs()
		later := testNow.Add(time.Hour)
		want := v.Interface().(daisymessage.Message)
		frame, err := proto.Marshal(e.encode(later, want))
		assert.NilError(t, err)
		got, err := d.decode(later, frame)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want, compareOptions...)
	}
}

// makeConsistent makes the parts of an intent agree, since decoding rejects an intent whose
// references do not match.
func makeConsistent(intent daisyconfig.Intent) {
	for _, f := range intent.Fleets {
		for i := range f.AvailabilityZones {
			f.AvailabilityZones[i].ID.Fleet = f.Name
		}
		for i := range f.Services {
			s := &f.Services[i]
			s.ID.Fleet = f.Name
			s.Ranks = f.Ranks
			s.DefaultRank = 1
			s.Protocol = daisyservice.HTTP2
			for j := range s.Endpoints {
				s.Endpoints[j].Zone.Fleet = f.Name
			}
		}
	}
}
