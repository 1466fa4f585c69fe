package main

import (
	"fmt"
	"net/http"
	"time"
)

// connectionOptions sends requests whose Connection field names a field that the system sets, and checks that each run bears the
// tenant that holds the key.
func connectionOptions(f *fleet, trouble bool) (int, error) {
	tenants := []tenant{{"sese880", "9anu6wsjnbanfqasnmgk"}, {"moru114", "cuyj8pjbvk9m68k7b2ex"}}
	f.configure(1, []route{{"/lepu270/", "safe", "huvo11a"}, {"/xapu221/", "unsafe", "wuno96b"}}, tenants)
	for _, s := range []string{"huvo11a", "wuno96b"} {
		if err := f.addTargets(s, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	if err := f.startInstances(); err != nil {
		return 0, err
	}
	holder, served := map[string]string{}, 0
	for i := range 24 {
		t := tenants[i%len(tenants)]
		s := sending{method: http.MethodGet, path: "/lepu270/2f", id: fmt.Sprintf("r%015d", i), key: t.key, object: fmt.Sprint(i), left: 4 * time.Second}
		if i%4 >= 2 {
			s.method, s.path, s.body = http.MethodPost, "/xapu221/2f", "body of "+s.id
		}
		// The client marks its own Tenant field as one for this connection only.
		s.extra = []string{"Connection: keep-alive", "Tenant: nobody"}
		if trouble {
			s.extra[0] = "Connection: keep-alive, Tenant"
		}
		holder[s.id] = t.name
		c, err := f.dial(f.instances[i%len(f.instances)])
		if err != nil {
			return 0, err
		}
		if err := c.send(s); err != nil {
			return 0, err
		}
		if status, _, _ := c.receive(s); status == http.StatusOK {
			served++
		}
		c.close()
	}
	broken := 0
	for _, x := range f.runs() {
		if x.tenant != holder[x.id] {
			broken++
			f.record.addf("BROKEN: target %s ran %s with Tenant %q; tenant %s holds its key", x.target, x.id, x.tenant, holder[x.id])
		}
	}
	if served == 0 && broken == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return broken, nil
}
