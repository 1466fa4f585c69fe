package exemplifier

import (
	"net/http"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/composer"
)

// Koshe returns the configuration of Koshe Pitch Permits.
func Koshe(s Settings) composer.Config {
	almaty := region("almaty")
	astana := region("astana")
	shymkent := region("shymkent")
	regions := []composer.Region{almaty, astana, shymkent}
	target := composer.Target{Slots: targetSlots, Connections: connectionsKoshe}

	return composer.Config{
		Lookup:  composer.Lookup{TimeToLive: 5 * time.Second},
		Regions: regions,
		Links:   composer.Mesh(linkKoshe, regions...),
		Pools: s.addresses([]composer.Pool{
			pool("pitch_map", 25*time.Millisecond, composer.Spread("pitch_map", 16, target, regions...)),
			pool("fee_ledger", 80*time.Millisecond, composer.Spread("fee_ledger", 12, target, regions...)),
			pool("booking_desk", 60*time.Millisecond, composer.Spread("booking_desk", 12, target, regions...)),
		}),
		Routes: []composer.Route{
			{
				Name:       "pitch",
				PathPrefix: "/pitches",
				Methods:    []string{http.MethodGet, http.MethodHead},
				Pool:       "pitch_map",
				Open:       true,
				Idempotent: true,
				Deadline:   500 * time.Millisecond,
			},
			{
				Name:       "permit",
				PathPrefix: "/permits",
				Methods:    []string{http.MethodGet, http.MethodHead},
				Pool:       "pitch_map",
				Idempotent: true,
				Deadline:   500 * time.Millisecond,
			},
			{
				Name:       "booking_state",
				PathPrefix: "/bookings",
				Methods:    []string{http.MethodGet},
				Pool:       "booking_desk",
				Idempotent: true,
				Deadline:   time.Second,
			},
			{
				Name:       "booking",
				PathPrefix: "/bookings",
				Methods:    []string{http.MethodPost},
				Pool:       "booking_desk",
				Deadline:   5 * time.Second,
			},
			{
				Name:       "fee",
				PathPrefix: "/fees",
				Methods:    []string{http.MethodPost},
				Pool:       "fee_ledger",
				Deadline:   5 * time.Second,
			},
			{
				Name:       "renewal",
				PathPrefix: "/renewals",
				Methods:    []string{http.MethodPost},
				Pool:       "fee_ledger",
				Deadline:   30 * time.Second,
			},
		},
		Accounts: []composer.Account{
			s.account("almaty-markets", 240, 480),
			s.account("astana-markets", 160, 320),
			s.account("street-food-union", 120, 240),
			s.account("shymkent-bazaar", 40, 80),
			s.account("craft-fairs", 20, 40),
			s.account("flower-sellers", 12, 24),
			s.account("book-stalls", 6, 12),
			s.account("winter-fair", 2, 4),
		},
		Blocks: slices.Concat(
			blocks(1, almaty, [8]float64{90, 60, 45, 35, 30, 20, 12, 8}),
			blocks(2, astana, [8]float64{60, 40, 30, 20, 15, 10, 3, 2}),
			blocks(3, shymkent, [8]float64{40, 25, 20, 15, 10, 5, 3, 2}),
		),
	}
}
