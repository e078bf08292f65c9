package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// mapBytes is the size of a map; it is sent in mapPieces pieces.
	mapBytes  = 1 << 20
	mapPieces = 40
	// pieceGap is the pause between two pieces.
	pieceGap = 20 * time.Millisecond
	// downloads is the number of maps that the client reads.
	downloads = 8
)

func init() {
	cases["pipelined-expect"] = pipelinedExpect
}

// mapBody returns the body that an upstream sends for a request.
func mapBody(id string) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("tile of %s\n", id)), mapBytes/(len(id)+9))
}

// pipelinedExpect lets a client read maps of 1 MB and send a further safe request, with a
// body and Expect: 100-continue, before the map has been answered. Every answer must be the
// upstream's whole body.
func pipelinedExpect(e *env) (int, error) {
	e.configure(7, map[string]any{
		"r-map":    route("/maps/", "safe", "carte-sync", 5, 2, false),
		"r-search": route("/search/", "safe", "carte-sync", 5, 2, false),
	}, "carte-sync")
	for i, zone := range zones {
		u, err := newUpstream(fmt.Sprintf("i-%d", i+1), "carte-sync", zone, "127.0.0.1:0", 8, 30*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.handle = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Request-Id")
			e.log("upstream %s runs %s %s (%d bytes)", u.id, r.RequestURI, id, len(body))
			if !strings.HasPrefix(r.URL.Path, "/maps/") {
				return false
			}
			data := mapBody(id)
			w.Header().Set("X-Server-Stamp", u.id+"."+id)
			w.Header().Set("Content-Length", fmt.Sprint(len(data)))
			size := len(data)/mapPieces + 1
			for at := 0; at < len(data); at += size {
				if _, err := w.Write(data[at:min(at+size, len(data))]); err != nil {
					return true
				}
				w.(http.Flusher).Flush()
				time.Sleep(pieceGap)
			}

			return true
		}
		u.serve()
		e.atEnd(u.stop)
		e.store.put("servers/"+u.id, u.entry("ready", 0))
	}
	if err := e.addVMs(len(zones)); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	wrong, failed := 0, 0
	for i := range downloads {
		v := e.vms[i%len(e.vms)]
		verdict, err := e.download(v)
		e.say("download %d at %s: %s", i+1, v.name, verdict)
		if err != nil {
			failed++
		} else if verdict != "whole" {
			wrong++
		}
	}
	e.say("%d of %d maps are not the upstream's body, %d had no success", wrong, downloads, failed)
	if wrong > 0 {
		return exitBroken, nil
	}
	if failed == downloads {
		return exitCannot, nil
	}

	return exitHeld, nil
}

// download reads one map on a new connection. With trouble, it sends the next request
// while the map is still on its way; without, it waits for the map first.
func (e *env) download(v *vm) (string, error) {
	conn, err := net.DialTimeout("tcp", v.front(), time.Second)
	if err != nil {
		return "no connection", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	mapID, searchID := e.id(), e.id()
	query := "{\"spot\":17}"
	first := fmt.Sprintf("GET /maps/today HTTP/1.1\r\nHost: guide.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", mapID)
	second := fmt.Sprintf("POST /search/spots HTTP/1.1\r\nHost: guide.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Type: application/json\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", searchID, len(query))
	e.log("client sends GET /maps/today %s to %s", mapID, v.name)
	if _, err := io.WriteString(conn, first); err != nil {
		return "not sent", err
	}
	sent := make(chan error, 1)
	sendSecond := func() {
		e.log("client sends POST /search/spots %s on the same connection", searchID)
		if _, err := io.WriteString(conn, second); err != nil {
			sent <- err

			return
		}
		// A client may send the body without waiting for 100 Continue for long.
		time.Sleep(time.Second)
		_, err := io.WriteString(conn, query)
		sent <- err
	}
	reader := bufio.NewReader(conn)
	if e.trouble {
		time.AfterFunc(mapPieces*pieceGap/2, sendSecond)
	}
	resp, err := readFinal(reader, http.MethodGet)
	if err != nil {
		return "no answer: " + err.Error(), err
	}
	body, err := io.ReadAll(resp.Body)
	want := mapBody(mapID)
	e.log("client gets %d for %s with stamp %q: %d bytes, sha256 %x; the upstream sent %d bytes, sha256 %x", resp.StatusCode, resp.Header.Get("X-Request-Id"), resp.Header.Get("X-Server-Stamp"), len(body), sha256.Sum256(body), len(want), sha256.Sum256(want))
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d, error %v", resp.StatusCode, err), fmt.Errorf("no success")
	}
	verdict := "whole"
	if !bytes.Equal(body, want) {
		at := 0
		for at < len(body) && at < len(want) && body[at] == want[at] {
			at++
		}
		verdict = fmt.Sprintf("200 with stamp %q and a wrong body; from byte %d on: %q", resp.Header.Get("X-Server-Stamp"), at, body[at:min(at+40, len(body))])
	}
	if !e.trouble {
		sendSecond()
	}
	if err := <-sent; err == nil {
		resp, err := readFinal(reader, http.MethodPost)
		if err != nil {
			e.log("client gets no answer to %s: %v", searchID, err)
		} else {
			data, err := io.ReadAll(resp.Body)
			e.log("client gets %d for %s: %q %v", resp.StatusCode, searchID, data, err)
		}
	}

	return verdict, nil
}

// readFinal reads a response and skips interim ones.
func readFinal(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}
