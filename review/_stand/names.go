package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// pauseBesideKill pauses one instance for some seconds and kills another one meanwhile, and checks that the directory of a third one,
// which is not disturbed, does not name the killed one for longer than the bound.
func pauseBesideKill(f *fleet, trouble bool) (int, error) {
	const (
		pause = 4 * time.Second
		lead  = 300 * time.Millisecond
		// bound is contact and 3 s.
		bound    = 6 * time.Second
		watch    = 9 * time.Second
		interval = 20 * time.Millisecond
		allowed  = 3
	)
	f.instanceCount = 4
	f.configure(1, []route{{"/lepu270/", "safe", "huvo11a"}}, []tenant{{"sese880", "9anu6wsjnbanfqasnmgk"}})
	if err := f.addTargets("huvo11a", 50*time.Millisecond); err != nil {
		return 0, err
	}
	if err := f.startInstances(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	asked, paused, killed := f.instances[0], f.instances[1], f.instances[3]
	resumed := time.Now().Add(pause)
	if trouble {
		f.record.addf("%s is paused for %v", paused.name, pause)
		paused.process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(lead)
	f.record.addf("%s is killed and does not come back", killed.name)
	killed.process.Kill()
	at := time.Now()
	named := 0
	for time.Since(at) < watch {
		if trouble && !time.Now().Before(resumed) {
			f.record.addf("%s runs on", paused.name)
			paused.process.Signal(syscall.SIGCONT)
			resumed = at.Add(time.Hour)
		}
		as, err := f.lookup(asked, killed)
		if err != nil {
			return 0, err
		}
		d := time.Since(at)
		dead, alive := slices.Contains(as, f.at(killed, portFront)), slices.Contains(as, f.at(asked, portFront))
		f.record.addf("%s names %v", asked.name, as)
		if dead && alive && d > bound {
			named++
			f.record.addf("BROKEN (the %d. answer): %s is named %v after it was killed", named, killed.name, d)
		}
		time.Sleep(interval)
	}
	f.record.addf("%d answers named the killed instance beside a running one after %v", named, bound)
	if named <= allowed {
		return 0, nil
	}
	return named, nil
}

// lookup asks the directory of an instance as a client in the failure domain of another one.
func (f *fleet) lookup(n, near *instance) ([]string, error) {
	c := http.Client{Timeout: time.Second}
	p, err := c.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", f.at(n, portDirectory), host, near.region, near.zone))
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	var t struct {
		Addresses []string `json:"addresses"`
	}
	return t.Addresses, json.NewDecoder(p.Body).Decode(&t)
}
