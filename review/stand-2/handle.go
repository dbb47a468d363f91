package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carawayrouter.example/router/platform/emulator"
)

const (
	handleInstances = 3
	handleEvents    = 20
	handleInterval  = 20 * time.Millisecond
	handleStreams   = 130 // ten seconds of the streams of hric-submit
	handlePause     = time.Second / 13
	// Two of twelve servers spoil 0.05 of their answers, within 6.97 s, the longest garble in the site files.
	spoiledEvery  = 20
	spoilingTime  = 6900 * time.Millisecond
	spoilingCount = 2
	strayID       = "5e1f00000000beef" // no client sends a request with it
)

// strayBytes are what a spoiled answer has in its handle: a piece of a handle, and of a message.
const strayBytes = "3fa0\r\nContent-Length: 0\r\n\r\nPOST " + emulator.NonIdempotentPath + "4711 HTTP/1.1\r\nHost: " + emulator.Host +
	"\r\nCarawayrouter-Attempt-Id: " + strayID + "\r\nX-Rest: "

// playHandle has two prefill engines spoil some of their answers, and looks for requests that run although no client sent them.
func playHandle(st *stage) (verdict, error) {
	st.store.Put("op", "config", configuration())
	var answers, spoiled, loadAt atomic.Int64
	sound := work{prefillTime: 20 * time.Millisecond, events: handleEvents, eventInterval: handleInterval}
	faulty := sound
	faulty.spoil = func(handle string) string {
		if time.Now().UnixNano()-loadAt.Load() > int64(spoilingTime) || answers.Add(1)%spoiledEvery != 0 {
			return handle
		}
		spoiled.Add(1)
		return strayBytes
	}
	for i := range 12 {
		w, engineStage := sound, "decode"
		if i < 4 {
			engineStage = "prefill"
		}
		if i < spoilingCount && st.trouble {
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
	sent, whole := map[string]bool{}, 0
	loadAt.Store(time.Now().UnixNano())
	for i := range handleStreams {
		id, d := emulator.NewAttemptID(), st.daemons[i%len(st.daemons)]
		sent[id] = true
		wg.Go(func() {
			client := emulator.NewClient(d.addr(0), false)
			defer client.Close()
			r := client.Do(context.Background(), emulator.Request{Method: http.MethodPost, Path: emulator.StreamPath + "x", Key: emulator.Key, Tokens: "1460,80", Body: "prompt", ID: id})
			st.printf("request %s at %s: status %d, %d events, complete %t\n", id, d.name, r.Status, len(r.Events), r.Complete)
			mu.Lock()
			defer mu.Unlock()
			if r.Status == http.StatusOK && r.Complete && len(r.Events) == handleEvents {
				whole++
			}
		})
		time.Sleep(handlePause)
	}
	wg.Wait()
	time.Sleep(time.Second)
	strays := 0
	st.mu.Lock()
	arrivals := st.arrivals
	st.mu.Unlock()
	for _, a := range arrivals {
		if a.run && !sent[a.attempt] {
			strays++
			st.printf("UNASKED: server %s ran %s %s of attempt %s for tenant %q, which no client sent\n", a.server.id, a.method, a.path, a.attempt, a.tenant)
		}
	}
	text := fmt.Sprintf("%d requests ran that no client sent; %d sent, %d answered whole, %d answers of prefills spoiled of the %d of their engines", strays, len(sent), whole, spoiled.Load(), answers.Load())
	if strays > 0 {
		return verdict{broken: true, text: "UNASKED broken: " + text}, nil
	}
	if whole < len(sent)*9/10 {
		return verdict{}, fmt.Errorf("too few streams were served: %s", text)
	}
	return verdict{text: "held: " + text}, nil
}
