package main

import (
	"fmt"
	"os"
	"time"
)

// allCases has the cases by name.
var allCases = map[string]func(trouble bool) (broken bool){}

// route is a route of the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Timeout  float64 `json:"timeout_s"`
	Target   float64 `json:"target_latency_s"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"attempts"`
}

const host = "mapy.example"

func (s site) configuration(version int, routes []route) map[string]any {
	var services []map[string]any
	for _, v := range s.services {
		services = append(services, map[string]any{"name": v.name, "health_path": "/health", "connection_limit": s.connections, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// hrbitovniPlanyGrown has the backends of the grown site, and the VMs of the small one.
func hrbitovniPlanyGrown() site {
	s := hrbitovniPlany()
	s.services = []service{{"planovka", 178}, {"poplatky", 81}, {"objednavky", 39}, {"archiv", 138}}
	s.connections = 1120
	return s
}

// deployment is a small deployment: the store, the backends of hrbitovni-plany and entry VMs.
type deployment struct {
	dir      string
	store    *store
	backends []*backend
	vms      []*vm
}

// service is a service of a deployment and the number of its backends.
type service struct {
	name string
	size int
}

// site is a deployment of the pages.
type site struct {
	services     []service
	routes       []route
	slots, queue int
	connections  int
	vms          int
}

// hrbitovniPlany and vigialarGW are the small sites.
func hrbitovniPlany() site {
	return site{
		services: []service{{"planovka", 10}, {"poplatky", 6}, {"objednavky", 6}, {"archiv", 8}},
		routes: []route{
			{"r-plan", host, "/plan/", "idempotent", 1.5, 0.6, 1, "planovka", 2},
			{"r-fee", host, "/fee/", "non_idempotent", 1.2, 0.8, 1, "poplatky", 2},
			{"r-order", host, "/order/", "non_idempotent", 1.2, 0.4, 0, "objednavky", 2},
			{"r-index", host, "/index/", "idempotent", 4, 4, 2, "archiv", 2},
		},
		slots: 2, queue: 4, connections: 220, vms: 5,
	}
}

func vigialarGW() site {
	return site{
		services: []service{{"agenda", 15}, {"fecho", 8}, {"faturacao", 8}, {"relatorios", 12}},
		routes: []route{
			{"r-lookup", host, "/lookup/", "idempotent", 2.5, 0.3, 1, "agenda", 2},
			{"r-close", host, "/close/", "non_idempotent", 3, 0.4, 1, "fecho", 2},
			{"r-order", host, "/order/", "non_idempotent", 1.5, 0.25, 0, "faturacao", 2},
			{"r-report", host, "/report/", "idempotent", 8, 2.5, 2, "relatorios", 2},
		},
		slots: 3, queue: 6, connections: 260, vms: 7,
	}
}

// deploy starts a deployment; prepare changes its backends before they serve.
func deploy(s site, prepare func(b *backend)) *deployment {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		cannotRun("%v", err)
	}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	d := &deployment{dir: dir, store: newStore()}
	cleanups = append(cleanups, d.store.close)
	d.store.put("op", "config", s.configuration(7, s.routes))
	for _, v := range s.services {
		for i := range v.size {
			b := newBackend(fmt.Sprintf("i-%s-%02d", v.name, i), v.name, zones[i%len(zones)], s.slots, s.queue)
			if prepare != nil {
				prepare(b)
			}
			b.serve()
			d.backends = append(d.backends, b)
			d.store.put("servers", b.id, b.registration())
		}
	}
	cleanups = append(cleanups, func() {
		for _, b := range d.backends {
			b.end()
		}
	})
	d.vms = newVMs(s.vms, d.store, dir)
	cleanups = append(cleanups, func() {
		for _, v := range d.vms {
			v.stop()
			if keep := os.Getenv("RIG_LOGS"); keep != "" {
				data, _ := os.ReadFile(v.log.Name())
				_ = os.WriteFile(keep+"/"+v.name+".log", data, 0o600)
			}
		}
	})
	awaitReady(d.vms)
	// Traffic starts 8 s after the machines do.
	time.Sleep(3 * time.Second)
	return d
}
