package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["continue"] = interleaved }

// interleaved sends an idempotent request with a body behind another one before that is
// answered, on the same connection, and looks whether the answers are those of the backends.
func interleaved(w *world) string {
	for range 3 {
		b := w.startBackend("agenda", 3, 120*time.Millisecond)
		b.answer = inPieces
	}
	w.putConfig([]route{{name: "visit-lookup", host: "hulo84.example", prefix: "/leny950/", kind: "idempotent", service: "agenda",
		timeout: 1.2, target: 0.3, priority: 1, attempts: 2}}, []string{"agenda"})
	w.startVMs(2)
	wrong, pairs := 0, 0
	for i := range 30 {
		pairs++
		if text := w.sendPair(w.vms[i%2], time.Duration(i%10)*50*time.Millisecond); text != "" {
			wrong++
			w.log("pair %d: %s", i, text)
		}
	}
	w.log("%d of %d pairs had an answer with other bytes than the backend's", wrong, pairs)
	if wrong > 0 {
		return fmt.Sprintf("MIXED: %d of %d successes had a body that is not the backend's", wrong, pairs)
	}
	return ""
}

// inPieces answers with a body that is written in six pieces, 50 ms apart.
func inPieces(b *backend, c net.Conn, _ *http.Request, _ []byte, id string) bool {
	time.Sleep(b.work)
	body := bodyOf(id, 6000)
	if _, err := fmt.Fprint(c, b.head(id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))); err != nil {
		return false
	}
	for piece := range 6 {
		if _, err := c.Write(body[piece*1000 : (piece+1)*1000]); err != nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// sendPair sends a GET and, after a pause or after its answer, a PUT that expects
// 100 (Continue) as RFC 9110, 10.1.1 has it: its body is sent 0.3 s later, with or without an
// interim response. It returns what is wrong with the first answer.
func (w *world) sendPair(v *vm, pause time.Duration) string {
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		w.fatal("no connection to %s", v.name)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	first, second := w.newID(), w.newID()
	upload := bytes.Repeat([]byte("u"), 2000)
	sendSecond := func() {
		w.log("client sends PUT %s behind GET %s", second, first)
		fmt.Fprintf(c, "PUT /leny950/u HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", second, len(upload))
	}
	w.log("client sends GET %s to %s", first, v.name)
	fmt.Fprintf(c, "GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n\r\n", first)
	sent := make(chan struct{})
	if w.trouble {
		// The request behind is sent before the first one is answered.
		time.AfterFunc(pause, func() { sendSecond(); close(sent) })
	}
	reader := bufio.NewReader(c)
	text := readAnswer(reader, first, bodyOf(first, 6000))
	if text != "" {
		return "GET " + first + ": " + text
	}
	if w.trouble {
		<-sent
	} else {
		sendSecond()
	}
	time.AfterFunc(300*time.Millisecond, func() { _, _ = c.Write(upload) })
	if text := readAnswer(reader, second, bodyOf(second, 6000)); text != "" {
		return "PUT " + second + ": " + text
	}
	return ""
}

// readAnswer reads a final answer and returns what is wrong with it.
func readAnswer(reader *bufio.Reader, id string, want []byte) string {
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Sprintf("bytes that are no answer: %v", err)
		}
		body, err := io.ReadAll(response.Body)
		switch {
		case response.StatusCode < 200:
			continue
		case response.StatusCode >= 300:
			// A failure or refusal bears no body of a backend.
			return ""
		case response.Header.Get("Request-Id") != id:
			return fmt.Sprintf("the answer is to %s", response.Header.Get("Request-Id"))
		case err != nil:
			return ""
		case !bytes.Equal(body, want):
			at := 0
			for at < min(len(body), len(want)) && body[at] == want[at] {
				at++
			}
			return fmt.Sprintf("status %d, %d bytes as promised, but from byte %d on they are %q, not %q", response.StatusCode, len(body), at,
				strings.ToValidUTF8(string(body[at:min(len(body), at+30)]), "?"), want[at:min(len(want), at+30)])
		}
		return ""
	}
}
