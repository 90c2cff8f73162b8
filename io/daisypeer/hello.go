package daisypeer

import (
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisywire"
)

// Version is the protocol version of this VM. It is compatible with the versions one below
// and one above.
const Version = 1

// helloTimeout is the time limit for the exchange of hellos, including the TLS handshake
// before it.
const helloTimeout = 5 * time.Second

// hello is the first message in each direction of a connection.
type hello struct {
	version uint32
	vm      daisyvm.VM
	// epoch is the start time of the sender, which the times in its heartbeats are relative to.
	epoch time.Time
}

// exchangeHellos sends a hello and reads the peer's. It reads no bytes past the peer's
// hello, because they belong to the session. It fails with Malformed, Oversized,
// WrongVersion or Broken.
func exchangeHellos(conn net.Conn, own hello) (hello, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return hello{}, Broken.Wrap(err, "cannot set the deadline for the hello")
	}
	w := &daisywire.Hello{Version: own.version, Vm: encodeVM(own.vm), EpochNanoseconds: own.epoch.UnixNano()}
	frame, err := appendFrame(nil, w, maxHelloFrame)
	if err != nil {
		return hello{}, err
	}
	sent := make(chan error, 1)
	go func() {
		_, err := conn.Write(frame)
		sent <- err
	}()
	peer, err := readHello(conn)
	if err != nil {
		_ = conn.Close()
		<-sent
		return hello{}, err
	}
	if err := <-sent; err != nil {
		return hello{}, Broken.Wrap(err, "cannot send hello")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return hello{}, Broken.Wrap(err, "cannot clear the deadline after the hello")
	}
	return peer, checkVersion(own.version, peer.version)
}

func checkVersion(own, peer uint32) error {
	if max(own, peer)-min(own, peer) > 1 {
		return WrongVersion.New("incompatible protocol versions: own %d, peer's %d", own, peer)
	}
	return nil
}

func readHello(conn io.Reader) (hello, error) {
	f := &frameReader{reader: unbufferedReader{conn}, limit: maxHelloFrame}
	frame, err := f.next()
	if err == io.EOF {
		return hello{}, Broken.Wrap(err, "connection closed before the hello")
	}
	if err != nil {
		return hello{}, err
	}
	var w daisywire.Hello
	if err := proto.Unmarshal(frame, &w); err != nil {
		return hello{}, Malformed.Wrap(err, "hello")
	}
	r := &fieldReader{}
	peer := hello{version: w.Version, vm: r.vm(w.Vm), epoch: time.Unix(0, w.EpochNanoseconds)}
	return peer, r.err
}

// unbufferedReader is an io.ByteReader that does not read ahead.
type unbufferedReader struct{ io.Reader }

func (u unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(u.Reader, b[:])
	return b[0], err
}
