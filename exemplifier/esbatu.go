package exemplifier

import (
	"net/http"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/composer"
)

// EsBatu returns the configuration of Es Batu Nusantara.
func EsBatu(s Settings) composer.Config {
	west := region("west_java")
	central := region("central_java")
	east := region("east_java")
	regions := []composer.Region{west, central, east}
	target := composer.Target{Slots: targetSlots, Connections: connectionsEsBatu}

	return composer.Config{
		Lookup:  composer.Lookup{TimeToLive: 5 * time.Second},
		Regions: regions,
		Links:   composer.Mesh(linkEsBatu, regions...),
		Pools: s.addresses([]composer.Pool{
			pool("stock", 30*time.Millisecond, composer.Spread("stock", 16, target, regions...)),
			pool("ordering", 90*time.Millisecond, composer.Spread("ordering", 12, target, regions...)),
			pool("delivery", 50*time.Millisecond, composer.Spread("delivery", 12, target, regions...)),
		}),
		Routes: []composer.Route{
			{
				Name:       "stock",
				PathPrefix: "/stock",
				Methods:    []string{http.MethodGet, http.MethodHead},
				Pool:       "stock",
				Open:       true,
				Idempotent: true,
				Deadline:   time.Second,
			},
			{
				Name:       "delivery_time",
				PathPrefix: "/delivery-times",
				Methods:    []string{http.MethodGet, http.MethodHead},
				Pool:       "delivery",
				Idempotent: true,
				Deadline:   time.Second,
			},
			{
				Name:       "order_state",
				PathPrefix: "/orders",
				Methods:    []string{http.MethodGet},
				Pool:       "ordering",
				Idempotent: true,
				Deadline:   2 * time.Second,
			},
			{
				Name:       "order",
				PathPrefix: "/orders",
				Methods:    []string{http.MethodPost},
				Pool:       "ordering",
				Deadline:   8 * time.Second,
			},
			{
				Name:       "confirmation",
				PathPrefix: "/confirmations",
				Methods:    []string{http.MethodPost},
				Pool:       "delivery",
				Deadline:   30 * time.Second,
			},
		},
		Accounts: []composer.Account{
			s.account("bandung-fishers", 150, 300),
			s.account("surabaya-port", 110, 220),
			s.account("semarang-market", 90, 180),
			s.account("cirebon-ice", 15, 30),
			s.account("solo-drinks", 12, 24),
			s.account("malang-dairy", 10, 20),
			s.account("tegal-makers", 5, 10),
			s.account("madura-makers", 3, 6),
		},
		Blocks: slices.Concat(
			blocks(1, west, [8]float64{60, 40, 30, 25, 15, 10, 6, 4}),
			blocks(2, central, [8]float64{35, 25, 20, 15, 10, 8, 4, 3}),
			blocks(3, east, [8]float64{40, 30, 25, 20, 12, 8, 3, 2}),
		),
	}
}
