// Command evac evacuates a zone right after the store came back from a copy.
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
	zone  = "ast-baiterek"
	order = "evacuate/" + zone
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
	at               time.Duration
	id, target, zone string
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
	for i := range 12 {
		z := rig.Zones[i%len(rig.Zones)].Name
		b, stop, err := rig.NewBackend(fmt.Sprintf("i-%02d", i), "mapdesk", z)
		if err != nil {
			return 2, err
		}
		defer stop()
		b.Arrived = func(q imitator.Request) {
			mu.Lock()
			arrivals = append(arrivals, arrival{at: r.Now(), id: q.ID, target: b.Name, zone: z})
			mu.Unlock()
			r.Line("request %s reached backend %s in %s", q.ID, b.Name, z)
		}
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
	sleep(time.Second)
	store.Put("op", order, "{}")
	r.Note("the operator evacuates %s, acknowledged", zone)
	sleep(4 * time.Second)
	copied := store.Snapshot()
	r.Note("the store is copied")
	sleep(time.Second)
	store.Remove("op", order)
	r.Note("the operator takes the evacuation back, acknowledged")
	sleep(5 * time.Second)
	away := make(chan struct{})
	if trouble {
		r.Note("the store goes away for 1.7 s")
		go func() {
			store.Restore(copied, 1700*time.Millisecond)
			r.Note("the store is back from the copy of 6 s before it went, era %d", store.Era())
			close(away)
		}()
	} else {
		go func() {
			sleep(1700 * time.Millisecond)
			close(away)
		}()
	}
	// The operator wants the zone evacuated again, and tries each 100 ms. What it wrote since the copy is written again first.
	sleep(950 * time.Millisecond)
	r.Note("the operator orders the evacuation again")
	for done := false; !done; {
		select {
		case <-away:
			done = true
		default:
			sleep(100 * time.Millisecond)
		}
	}
	if trouble {
		store.Remove("op", order)
		r.Note("the operator writes again that the first evacuation is taken back, acknowledged")
	}
	store.Put("op", order, "{}")
	acknowledged := r.Now()
	r.Note("the operator evacuates %s, acknowledged", zone)
	from := acknowledged + rig.Evacuate + rig.MaxStretch
	sleep(rig.Evacuate + rig.MaxStretch + 15*time.Second)
	r.Note("judged are requests that reach a backend from %.3f on", from.Seconds())
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
		if a.zone == zone {
			wrong[via[a.id]]++
		}
	}
	n := 0
	for name, k := range wrong {
		r.Note("%s sent %d requests to backends in %s, later than %v after its evacuation was acknowledged", name, k, zone, rig.Evacuate+rig.MaxStretch)
		n += k
	}
	r.Note("%d of %d requests reached the evacuated zone", n, all)
	if all < 100 {
		return 2, fmt.Errorf("only %d requests were judged", all)
	}
	if n > 0 {
		return 1, nil
	}
	return 0, nil
}
