// Command gone has a backend leave whose entry the store lost.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/platform/imitator"
	"celeryhead.dev/celeryhead/review/_rig3/rig"
)

const (
	host   = "jepu9.example"
	config = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"sese880","api_keys":["key-1"],"rate_per_s":0,"burst":0}],
"listeners":[{"host":"jepu9.example","rules":[{"name":"r-map","kind":"safe","target_latency":"600ms","match":{"prefix":"/map/"},"action":{"service":"mapdesk","timeout":"1200ms","max_attempts":2,"allowed_regions":[]}}]}],
"clusters":[{"name":"mapdesk","health_path":"/healthz","max_conns":330,"cold_start":"3s","cold_per_s":2.9}]}`
	zone   = "ast-baiterek"
	joined = "i-joined"
	// lapse is the time after the store's return from which on a missing entry is to be treated as gone, and drain that in which
	// a backend that is gone gets its last request.
	lapse = 2 * time.Second
	drain = 2500 * time.Millisecond
)

func main() {
	daemon := flag.String("daemon", "target/celeryheadd", "program")
	dir := flag.String("dir", "", "temporary folder")
	record := flag.String("record", "record.txt", "what happened")
	flag.Parse()
	code, err := run(*daemon, *dir, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

type arrival struct {
	at         time.Duration
	id, target string
}

func run(daemon, dir, path string, trouble bool) (int, error) {
	r, err := rig.NewRecord(path)
	if err != nil {
		return 2, err
	}
	defer r.Close()
	store := imitator.NewStore()
	address, stop, err := rig.Serve(store)
	if err != nil {
		return 2, err
	}
	defer stop()
	var mu sync.Mutex
	var arrivals []arrival
	via := map[string]string{}
	arrived := func(b *rig.Backend) func(imitator.Request) {
		return func(q imitator.Request) {
			mu.Lock()
			arrivals = append(arrivals, arrival{at: r.Now(), id: q.ID, target: b.Name})
			mu.Unlock()
			r.Line("request %s reached backend %s", q.ID, b.Name)
		}
	}
	for i := range 12 {
		z := rig.Zones[i%len(rig.Zones)].Name
		b, stop, err := rig.NewBackend(fmt.Sprintf("i-%02d", i), "mapdesk", z)
		if err != nil {
			return 2, err
		}
		defer stop()
		b.Arrived = arrived(b)
		store.Put("servers", b.Name, b.Row("ready", "0ms", 1))
	}
	store.Put("op", "config", config)
	is, err := rig.NewFleet(rig.FleetConfig{Daemon: daemon, Dir: dir, Count: 7, Store: func(int) string { return address }})
	defer func() {
		for _, i := range is {
			i.Kill()
		}
	}()
	if err != nil {
		return 2, err
	}
	if err := rig.WaitReady(is, 20*time.Second); err != nil {
		return 2, err
	}
	r.Note("all instances are ready")
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for _, i := range is {
		g.Add(1)
		go func() {
			defer g.Done()
			c := rig.Client(3 * time.Second)
			for n := 0; ctx.Err() == nil; n++ {
				id := rig.ID()
				mu.Lock()
				via[id] = i.Name
				mu.Unlock()
				r.Line("request %s is sent to %s", id, i.Name)
				s, _, _, err := rig.Do(ctx, c, "GET", fmt.Sprintf("http://%s/map/%d", i.Front(), n%24), host, id, "key-1", fmt.Sprint(n%600), 2*time.Second, "")
				r.Line("request %s is answered with %d %v", id, s, err)
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	defer func() { cancel(); g.Wait() }()
	sleep := time.Sleep
	sleep(3 * time.Second)
	copied := store.Snapshot()
	r.Note("the store is copied")
	sleep(time.Second)
	b, stop, err := rig.NewBackend(joined, "mapdesk", zone)
	if err != nil {
		return 2, err
	}
	defer stop()
	b.Arrived = arrived(b)
	store.Put("servers", b.Name, b.Row("ready", "0ms", 1))
	r.Note("backend %s joins in %s, acknowledged", b.Name, zone)
	sleep(4 * time.Second)
	if trouble {
		r.Note("the store goes away for 1.7 s")
		store.Restore(copied, 1700*time.Millisecond)
		r.Note("the store is back from the copy of 5 s before it went, era %d", store.Era())
	} else {
		sleep(1700 * time.Millisecond)
		store.Remove("servers", b.Name)
	}
	// The backend leaves without a report, like some do: its entry is missing from here on. All others have theirs.
	back := r.Now()
	r.Note("backend %s leaves; the store has no entry of it", b.Name)
	from := back + lapse + rig.Contact + drain
	sleep(40 * time.Second)
	r.Note("judged are requests that reach it from %.3f on", from.Seconds())
	cancel()
	g.Wait()
	mu.Lock()
	defer mu.Unlock()
	wrong, all := map[string]int{}, 0
	for _, a := range arrivals {
		if a.at < from {
			continue
		}
		all++
		if a.target == joined {
			wrong[via[a.id]]++
		}
	}
	n := 0
	for name, k := range wrong {
		r.Note("%s sent %d requests to the backend that was gone", name, k)
		n += k
	}
	r.Note("%d of %d requests reached it", n, all)
	if all < 100 {
		return 2, fmt.Errorf("only %d requests were judged", all)
	}
	if n > 0 {
		return 1, nil
	}
	return 0, nil
}
