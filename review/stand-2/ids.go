package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carawayrouter.example/router/platform/emulator"
)

const (
	idsInstances = 3
	idsEvents    = 70
	idsInterval  = 20 * time.Millisecond
	idsStreams   = 130 // ten seconds of the streams of hric-submit
	idsPause     = time.Second / 13
	// Four of twelve servers spoil 0.05 of their answers, within 6.97 s, the longest garble in the site files.
	brokenEvery  = 20
	brokenTime   = 6 * time.Second // in which the streams begin; they break off 0.8 s later
	brokenCount  = 4
	brokenAfter  = 41  // events
	lostDigit    = 4   // the id of that event without its last digit
	doubledDigit = 411 // the same with a digit twice
)

// playIDs has four decode engines spoil the id of an event in some of their streams and break them off there, and looks for
// streams that look complete and lack pieces or have some twice.
func playIDs(st *stage) (verdict, error) {
	st.store.Put("op", "config", configuration())
	var streams, broken, loadAt atomic.Int64
	sound := work{prefillTime: 20 * time.Millisecond, events: idsEvents, eventInterval: idsInterval}
	faulty := sound
	faulty.breakOff = func() (event, spoiledID int) {
		if time.Now().UnixNano()-loadAt.Load() > int64(brokenTime) {
			return 0, 0
		}
		switch n := streams.Add(1); {
		case n%brokenEvery != 0:
			return 0, 0
		case broken.Add(1)%2 == 0:
			return brokenAfter, doubledDigit
		default:
			return brokenAfter, lostDigit
		}
	}
	for i := range 12 {
		w, engineStage := sound, "decode"
		if i < 4 {
			engineStage = "prefill"
		}
		if i >= 4 && i < 4+brokenCount && st.trouble {
			w = faulty
		}
		if _, err := st.startServer(fmt.Sprintf("i-%04x", 0x1000+i), emulator.ModelService, zoneOf(i), engineStage, w); err != nil {
			return verdict{}, err
		}
	}
	if err := st.begin(); err != nil {
		return verdict{}, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, twice, short := 0, 0, 0
	loadAt.Store(time.Now().UnixNano())
	for i := range idsStreams {
		id, d := emulator.NewAttemptID(), st.daemons[i%len(st.daemons)]
		wg.Go(func() {
			client := emulator.NewClient(d.addr(0), false)
			defer client.Close()
			r := client.Do(context.Background(), emulator.Request{Method: http.MethodPost, Path: emulator.StreamPath + "x", Key: emulator.Key, Tokens: "1460,80", Body: "prompt", ID: id})
			pieces := piecesOf(r.Body)
			again := repeated(pieces)
			st.printf("request %s at %s: status %d, %d pieces, %d of them again, complete %t\n", id, d.name, r.Status, len(pieces), again, r.Complete)
			mu.Lock()
			defer mu.Unlock()
			if r.Status != http.StatusOK || !r.Complete {
				return
			}
			switch {
			case again > 0:
				twice++
			case len(pieces) < idsEvents:
				short++
			default:
				whole++
				return
			}
			st.printf("ORDER: %s ends as complete with the pieces %v\n", id, pieces)
		})
		time.Sleep(idsPause)
	}
	wg.Wait()
	text := fmt.Sprintf("%d streams end as complete before their last piece, %d have pieces twice; %d sent, %d whole, %d broken off of the %d of their engines", short, twice, idsStreams, whole, broken.Load(), streams.Load())
	if short+twice > 0 {
		return verdict{broken: true, text: "ORDER broken: " + text}, nil
	}
	if whole < idsStreams*9/10 {
		return verdict{}, fmt.Errorf("too few streams were served: %s", text)
	}
	return verdict{text: "held: " + text}, nil
}

// piecesOf returns the numbers of the pieces in a stream's data lines.
func piecesOf(body string) (pieces []int) {
	for line := range strings.Lines(body) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[0] == "data:" {
			if n, err := strconv.Atoi(fields[2]); err == nil {
				pieces = append(pieces, n)
			}
		}
	}
	return pieces
}

// repeated returns how many pieces came before.
func repeated(pieces []int) (n int) {
	seen := map[int]bool{}
	for _, p := range pieces {
		if seen[p] {
			n++
		}
		seen[p] = true
	}
	return n
}
